package bfnews

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// tellInterval is how often a node that others hear from tells them what it holds,
	// and silence how long they wait for that before they read the store themselves.
	// Twice lost or late is chance, three times is not; a version is due within two seconds.
	tellInterval = 400 * time.Millisecond
	silence      = 1200 * time.Millisecond
	// deputyStep is how much longer each follower of a domain waits than the one before
	// it, and mostDeputySteps for how many that counts. The first to read tells the
	// others: where both relays of a domain are killed, one of 39 reads and not all.
	deputyStep      = 300 * time.Millisecond
	mostDeputySteps = 4
	// firstMeeting is how long a node waits at the first start of a fleet until it looks
	// who is there, and meetingSpread by how much more at most. All write their rows
	// within about a second and a half of each other. The first ones that look tell the
	// relays, and those everybody else. Where each looked at once and again after two
	// seconds, 195 nodes made 930 calls before the first request came.
	firstMeeting  = 2 * time.Second
	meetingSpread = 2 * time.Second
	// firstVersionPatience is how long a node waits then for the first version.
	firstVersionPatience = 5 * time.Second
	// versionPatience is how long a node that is new to the fleet waits for another one
	// to bring the version in force. Its target takes some seconds to warm up.
	versionPatience = 500 * time.Millisecond
	// strandedAfter is from when on a node without a version that knows no member reads
	// it, whatever it waits for.
	strandedAfter = 150 * time.Millisecond
	// versionPause is the pause between its questions for a version.
	versionPause = 50 * time.Millisecond
)

// hearing is when a node last heard from others, each as how long after its start in
// nanoseconds; 0 for never. It is not a time of day, which may jump back and have one
// that is silent pass for one that was just heard.
type hearing struct {
	// any is from whoever tells it, fresh from one that reads the store or hears one that
	// does, reader from one that reads it.
	any, fresh, reader atomic.Int64
}

// Reads reports whether this node is to read the store itself.
//
// What follows from silence is counted from the first question at the earliest: a node
// that starts has just read the store when it learns from whom it will hear.
func (e *Exchange) Reads() bool {
	p := e.plan()
	if p.size == 0 {
		return !e.first || e.age() > int64(e.meeting)
	}
	switch p.standing(e.place.Inbound) {
	case source:
		return true
	case relay:
		return e.misses(&e.heard.reader, silence)
	}
	steps := min(p.rank(e.place.Inbound), mostDeputySteps)
	return e.misses(&e.heard.any, silence+time.Duration(steps)*deputyStep)
}

// ReadsVersions reports whether this node is to read the store's versions itself.
//
// A node that is started again beside its target reads its first version at once: it
// serves 25 ms after its start so, and where all are started again no other has one. A
// new one, whose target is about to start, is brought it by another node.
func (e *Exchange) ReadsVersions() bool {
	if e.state.Version() > 0 {
		return e.Reads()
	}
	p := e.plan()
	_, known := e.fleet.Member(e.place.Inbound)
	switch {
	case e.first:
		return p.size > 0 && p.standing(e.place.Inbound) == source || e.age() > int64(firstVersionPatience)
	case p.size == 0:
		return e.age() > int64(strandedAfter)
	}
	return known || e.age() > int64(versionPatience)
}

// misses reports whether nothing was heard for a time.
func (e *Exchange) misses(heard *atomic.Int64, length time.Duration) bool {
	heard.CompareAndSwap(0, e.age())
	return e.age()-heard.Load() >= int64(length)
}

// HearsFresh reports whether one that follows the store told something lately.
func (e *Exchange) HearsFresh() bool { return e.hears(&e.heard.fresh) }

func (e *Exchange) hears(heard *atomic.Int64) bool {
	told := heard.Load()
	return told > 0 && e.age()-told < int64(silence)
}

// age is how long the exchange has been there, in nanoseconds of the steady clock.
func (e *Exchange) age() int64 { return max(int64(e.timer.Now().Sub(e.began)), 1) }

// plan is the one of the members that are known now.
func (e *Exchange) plan() *plan {
	generation := e.fleet.Generation()
	if held := e.planned.Load(); held != nil && held.generation == generation {
		return held
	}
	made := makePlan(e.place.Domain, e.fleet.Members())
	made.generation = generation
	e.planned.Store(made)
	return made
}

// awaitVersion asks for the first version until there is one, where the node knows
// others and is new to them.
func (e *Exchange) awaitVersion(ctx context.Context) error {
	for e.state.Version() == 0 {
		if guides := e.plan().guides(e.place.Inbound); len(guides) > 0 && e.asksForVersion() {
			e.put(ctx, guides[rand.IntN(len(guides))].Peer, true)
		}
		if e.timer.Wait(ctx, versionPause) != nil {
			return nil
		}
	}
	return nil
}

// asksForVersion reports whether other nodes are asked for the first version.
func (e *Exchange) asksForVersion() bool {
	_, known := e.fleet.Member(e.place.Inbound)
	return !e.first && (!known || e.age() > int64(versionPatience))
}

// Writer is where the node takes calls that writes rows for all, "" where no member is known.
func (e *Exchange) Writer() string {
	p := e.plan()
	if len(p.relays) == 0 {
		return ""
	}
	return p.relays[0].Peer
}
