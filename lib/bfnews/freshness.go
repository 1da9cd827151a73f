package bfnews

import (
	"math/rand/v2"
	"sync"
	"time"

	"bilberryflow.org/lib/bffleet"
)

// clockReading is a reading of a node's clock, which counts suspensions of the machine, in
// milliseconds since an arbitrary moment that differs between processes; 0 is no reading. A clock
// that stopped while the machine was suspended would make what was sent before appear recent.
type clockReading int64

// echo is a reading of the receiver's clock in an update, which proves when the update was sent.
// The clocks of two nodes are not comparable, and the time of arrival proves nothing: what was
// sent to a suspended node or over a stalled link arrives late.
type echo struct {
	// Reading is from the receiver's latest answer to the sender, 0 before the first answer. Age is
	// the time since that answer arrived, by the sender's clock.
	Reading clockReading `json:"echo,omitempty"`
	Age     clockReading `json:"echo_age,omitempty"`
}

const (
	// maxUpdateAge is the age up to which an update counts as just sent.
	maxUpdateAge = 500 * time.Millisecond
	// clockTolerance is by how much an update may appear to come from the future: rates of clocks
	// differ slightly. More means that the receiver's clock stood still in between.
	clockTolerance = 100 * time.Millisecond
)

// age returns the time since the update with the echo was sent, at most overestimated by the time
// that the receiver's answer took; ok is false if the echo has no reading.
func (c echo) age(now clockReading) (age time.Duration, ok bool) {
	return time.Duration(now-c.Reading-c.Age) * time.Millisecond, c.Reading != 0
}

// provesFresh reports whether the update with the echo was sent just now.
func (c echo) provesFresh(now clockReading) bool {
	age, ok := c.age(now)
	return ok && -clockTolerance <= age && age <= maxUpdateAge
}

// newClockStart returns the reading at which a process's clock begins. It is random, so that the
// readings of a node's earlier process prove nothing.
func newClockStart() clockReading {
	const span = 1 << 40
	return 1 + clockReading(rand.Int64N(span))
}

// echoes holds the latest clock readings of the nodes that a node updates. It is safe for concurrent
// use.
type echoes struct {
	mu     sync.Mutex
	byPeer map[string]receivedReading
}

// receivedReading is a peer's clock reading and this node's own when it arrived.
type receivedReading struct {
	reading, arrived clockReading
}

// record stores the reading in a peer's answer. Answers can arrive out of order; the latest counts.
func (e *echoes) record(peer string, reading, now clockReading) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byPeer == nil {
		e.byPeer = map[string]receivedReading{}
	}
	// A peer that has restarted answers with readings of another clock, which may be lower.
	const reordered = clockReading(callTimeout / time.Millisecond)
	if held, found := e.byPeer[peer]; found && held.reading-reordered < reading && reading < held.reading {
		return
	}
	e.byPeer[peer] = receivedReading{reading: reading, arrived: now}
}

// to returns the echo of an update that is sent to a peer now.
func (e *echoes) to(peer string, now clockReading) echo {
	e.mu.Lock()
	defer e.mu.Unlock()
	held, found := e.byPeer[peer]
	if !found {
		return echo{}
	}
	return echo{Reading: held.reading, Age: now - held.arrived}
}

// retain drops the readings of all other nodes than members.
func (e *echoes) retain(members []bffleet.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.byPeer) <= len(members) {
		return
	}
	kept := make(map[string]receivedReading, len(members))
	for _, m := range members {
		if held, found := e.byPeer[m.Peer]; found {
			kept[m.Peer] = held
		}
	}
	e.byPeer = kept
}
