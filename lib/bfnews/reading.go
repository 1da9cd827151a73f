package bfnews

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pushInterval is the time between the periodic updates of a relay or source.
	// receiveTimeout is how long others wait for one before they read the store themselves: it
	// tolerates two lost or late updates, and stays below the two seconds allowed for a
	// version.
	pushInterval   = 400 * time.Millisecond
	receiveTimeout = 1200 * time.Millisecond
	// followerStagger is how much longer each follower of a domain waits than the one before
	// it, for at most maxStaggerSteps steps. The first to read the store updates the others, so
	// that the loss of both relays does not make every follower read.
	followerStagger = 300 * time.Millisecond
	maxStaggerSteps = 4
	// firstStartDelay is how long a node waits at the first start of a fleet before it reads
	// the member list, plus a random part of firstStartJitter. The nodes write their rows
	// within about 1.5 s of each other; the first that read the list inform the relays, which
	// update the rest. If all nodes read at once and again two seconds later, 195 of them make
	// 930 calls to the store before their first request.
	firstStartDelay  = 2 * time.Second
	firstStartJitter = 2 * time.Second
	// firstStartVersionTimeout is how long a node waits for the first version at the first
	// start of a fleet.
	firstStartVersionTimeout = 5 * time.Second
	// versionTimeout is how long a node that is new to the fleet waits for the version in force
	// from a peer. Its own target takes longer to warm up.
	versionTimeout = 500 * time.Millisecond
	// isolatedVersionTimeout is how long a node without a member list waits before it reads its
	// first version.
	isolatedVersionTimeout = 150 * time.Millisecond
	// versionRetryInterval is the time between polls for the first version.
	versionRetryInterval = 50 * time.Millisecond
)

// receiptTimes holds when a node last received updates, in nanoseconds since its start; 0 for
// never. The time is monotonic: if the wall clock jumped back, a failed sender would appear
// active.
type receiptTimes struct {
	// any is from any sender, fresh from one that reads the store or receives updates from such
	// a node, reader from one that reads the store.
	any, fresh, reader atomic.Int64
}

// activeReaders holds when each node that reads the store last sent an update. It is safe for
// concurrent use.
type activeReaders struct {
	mu       sync.Mutex
	lastSent map[string]int64
}

// observe records an update, and returns the time of the latest update from a reader, 0 for none
// within the receive timeout. stopped reports whether the sender was a reader before this update.
func (a *activeReaders) observe(u update, now int64) (latest int64, stopped bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastSent == nil {
		a.lastSent = map[string]int64{}
	}
	_, wasReader := a.lastSent[u.Peer]
	delete(a.lastSent, u.Peer)
	if u.Reader {
		a.lastSent[u.Peer] = now
	}
	for peer, at := range a.lastSent {
		if now-at >= int64(receiveTimeout) {
			delete(a.lastSent, peer)
			continue
		}
		latest = max(latest, at)
	}
	return latest, wasReader && !u.Reader
}

// ReadsStore reports whether this node should read the store itself.
//
// A timeout starts at the first call at the earliest: a node that starts has just read the
// store when it determines from which nodes it receives updates. A node that left the member list
// has no timeout: it receives none, and a version must not wait for it to notice.
func (e *Exchange) ReadsStore() bool {
	p := e.plan()
	if p.size == 0 {
		return !e.firstStart || e.uptime() > int64(e.firstStartDelay)
	}
	if e.withdrawn() {
		return true
	}
	switch p.roleOf(e.place.Inbound) {
	case source:
		return true
	case relay:
		return e.timedOut(&e.received.reader, receiveTimeout)
	}
	steps := min(p.rank(e.place.Inbound), maxStaggerSteps)
	return e.timedOut(&e.received.any, receiveTimeout+time.Duration(steps)*followerStagger)
}

// ReadsVersions reports whether this node should read the store's versions itself.
//
// A node that restarts beside its running target reads its first version at once, to serve
// without delay; if all nodes restart, no peer has a version. A new node, whose target is still
// starting, receives the version from a peer, and so does any node if the store was restored from
// a copy, which may hold an older version than the one in force.
func (e *Exchange) ReadsVersions() bool {
	if e.state.Version() > 0 {
		return e.ReadsStore() || e.readsForProof()
	}
	p := e.plan()
	_, isMember := e.fleet.Member(e.place.Inbound)
	switch {
	case e.firstStart:
		return p.size > 0 && p.roleOf(e.place.Inbound) == source || e.uptime() > int64(firstStartVersionTimeout)
	case p.size == 0:
		return e.uptime() > int64(isolatedVersionTimeout)
	}
	return isMember && !e.state.StoreRestored() || e.uptime() > int64(versionTimeout)
}

// timedOut reports whether nothing was received for at least timeout.
func (e *Exchange) timedOut(received *atomic.Int64, timeout time.Duration) bool {
	received.CompareAndSwap(0, e.uptime())
	return e.uptime()-received.Load() >= int64(timeout)
}

// ReceivesFresh reports whether an update from a node that follows the store arrived within the
// receive timeout.
func (e *Exchange) ReceivesFresh() bool { return e.receivedRecently(&e.received.fresh) }

func (e *Exchange) receivedRecently(received *atomic.Int64) bool {
	last := received.Load()
	return last > 0 && e.uptime()-last < int64(receiveTimeout)
}

// uptime returns the monotonic time since the start in nanoseconds, at least 1.
func (e *Exchange) uptime() int64 { return max(int64(e.timer.Now().Sub(e.started)), 1) }

// clock returns the reading of this node's clock.
func (e *Exchange) clock() clockReading {
	return e.clockStart + clockReading((e.now()-e.clockBegan)/time.Millisecond)
}

// plan returns the plan for the current member list.
func (e *Exchange) plan() *plan {
	generation := e.fleet.Generation()
	if cached := e.cachedPlan.Load(); cached != nil && cached.generation == generation {
		return cached
	}
	current := makePlan(e.place.Domain, e.fleet.Members())
	current.generation = generation
	e.cachedPlan.Store(current)
	return current
}

// fetchFirstVersion polls the upstream nodes until the node has its first version, if it is new
// to a running fleet.
func (e *Exchange) fetchFirstVersion(ctx context.Context) error {
	for e.state.Version() == 0 {
		if upstream := e.plan().upstream(e.place.Inbound); len(upstream) > 0 && e.fetchesVersion() {
			e.poll(ctx, upstream[rand.IntN(len(upstream))].Peer, true)
		}
		if e.timer.Wait(ctx, versionRetryInterval) != nil {
			return nil
		}
	}
	return nil
}

// fetchesVersion reports whether the first version is fetched from other nodes.
func (e *Exchange) fetchesVersion() bool {
	_, isMember := e.fleet.Member(e.place.Inbound)
	return !e.firstStart && (!isMember || e.state.StoreRestored() || e.uptime() > int64(versionTimeout))
}

// BatchWriter returns the peer address of the node that writes rows for all nodes, "" if the
// member list is empty.
func (e *Exchange) BatchWriter() string {
	p := e.plan()
	if len(p.relays) == 0 {
		return ""
	}
	return p.relays[0].Peer
}
