package bfnews

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfproof"
	"bilberryflow.org/lib/bftraffic"
)

const (
	// maxEchoAge is the age of a peer's clock reading up to which it is used: the longer it is held,
	// the less it says about the peer's clock.
	maxEchoAge = clockReading(5 * time.Second / time.Millisecond)
	// proofReaders is how many members of a failure domain read the store, on average, if their proofs
	// are stale although updates arrive: none of the senders reads the store successfully. The others
	// receive the proof from them. Others are chosen every proofReadersTime, since the store may
	// reject the calls of some for long.
	proofReaders     = 2
	proofReadersTime = 2 * time.Second
	// renewAfter is the age of a proof from which a node that reads the store in place of a source renews
	// it. Many may do so when updates are late, and each one's proof reaches others.
	renewAfter = 700 * time.Millisecond
	// settlingTime is how long after its start a node in contact with others has received the newest
	// version that any of them holds, with a large margin: polls and updates take less than three
	// seconds.
	settlingTime = 10 * time.Second
)

// proofAge is the age of a proof in milliseconds, at least 1; 0 means that there is no proof.
type proofAge int64

// proofReport is the proof in a message.
type proofReport struct {
	// version is the one that the proof is for.
	version bftraffic.Version
	// reading is a moment of this node's clock that the sender had held for a time when it sent the
	// message.
	reading, held time.Duration
	age           proofAge
}

// Proved triggers an update after this node's own read renewed the proof.
func (e *Exchange) Proved() {
	e.proved.Store(true)
	e.Changed()
}

// IsSettled reports whether the node has been in contact with others for long enough to hold the
// newest version that any of them has. Contact before a suspension of the machine doesn't count: the
// others may have adopted versions since.
func (e *Exchange) IsSettled() bool {
	last := e.contact.Load()
	return e.uptime() >= int64(settlingTime) && (e.plan().size <= 1 || last != nil && e.now()-*last < receiveTimeout)
}

// recordContact records a message of another node with the version that it has in force. The version
// must be recorded first, since IsSettled and KnowsNewerVersion are called in this order.
func (e *Exchange) recordContact(version bftraffic.Version) {
	e.observeVersion(version)
	now := e.now()
	e.contact.Store(&now)
}

// NeedsProof reports whether this node, if it reads the store, makes calls for a younger proof. Sources
// always do, because proofs reach the others from them.
func (e *Exchange) NeedsProof() bool {
	start, ok := e.proofStart()
	return !ok || e.now()-start >= renewAfter || e.plan().roleOf(e.place.Inbound) == source
}

// observeVersion records a version that another node has in force.
func (e *Exchange) observeVersion(version bftraffic.Version) {
	for held := e.newest.Load(); uint64(version) > held; held = e.newest.Load() {
		e.newest.CompareAndSwap(held, uint64(version))
	}
}

// KnowsNewerVersion reports whether another node has reported a newer version than the one in force
// here. A read of the store proves nothing then: this node has refused the version, or the store lost
// it.
func (e *Exchange) KnowsNewerVersion() bool { return e.newest.Load() > uint64(e.state.Version()) }

// proofStart returns the moment of this node's proof; ok is false if it has none.
func (e *Exchange) proofStart() (start time.Duration, ok bool) {
	if e.proof == nil {
		return 0, false
	}
	return e.proof.Start()
}

// proofAge returns the present age of a proof, rounded up.
func (e *Exchange) proofAge(start time.Duration) proofAge {
	return 1 + proofAge((e.now()-start)/time.Millisecond)
}

// addProof adds the proof's present age to an update that is sent now. It must be called after the
// echo was added: the age counts from a later moment then, and the receiver takes the proof to be
// older than it is and not younger.
func (e *Exchange) addProof(u *update) {
	if e.proof == nil {
		return
	}
	if u.echo.Age > maxEchoAge {
		// The answer to this update renews the reading.
		u.echo = echo{}
	}
	u.ProofAge = 0
	if u.hasProof {
		u.ProofAge = e.proofAge(u.proof)
	}
}

// takeProof takes the proof in a message if this node's version in force is at least the sender's.
func (e *Exchange) takeProof(r proofReport, source bfproof.Source) {
	if e.proof == nil || r.age <= 0 || e.state.Version() < r.version {
		return
	}
	// The era must be known before the present moment is read, see bfproof.
	era := e.era()
	e.proof.TakeMessage(e.now(), bfproof.Sent(r.reading, r.held, time.Duration(r.age)*time.Millisecond), era, source)
}

// moment returns the moment of a reading of this node's clock.
func (e *Exchange) moment(reading clockReading) time.Duration {
	return e.clockBegan + time.Duration(reading-e.clockStart)*time.Millisecond
}

// seeksProof reports whether this node polls peers for a younger proof.
func (e *Exchange) seeksProof() bool { return e.proof != nil && e.proof.IsStale(e.now()) }

// readsForProof reports whether this node reads the store because its proof is stale although
// updates arrive. Only a few nodes of a domain do so, and one after the other, so that the first one's
// read can renew the proofs of all.
func (e *Exchange) readsForProof() bool {
	if e.proof == nil {
		return false
	}
	size := uint64(max(len(e.plan().domain), 1))
	period := e.uptime() / int64(proofReadersTime)
	turn := hash(e.place.Inbound+"/"+strconv.FormatInt(period, 10)) % size
	return turn < proofReaders && e.proof.IsStaleFor(e.now(), time.Duration(turn+1)*followerStagger)
}

// waitForPollOrStaleProof blocks until the next poll is due, or until the proof is stale.
func (e *Exchange) waitForPollOrStaleProof(ctx context.Context) error {
	due := e.timer.Now().Add(e.timer.Jittered(connectedPollInterval, pollJitter)())
	for {
		if err := e.timer.Wait(ctx, e.timer.Jittered(disconnectedPollInterval, pollJitter)()); err != nil {
			return err
		}
		if e.seeksProof() || !e.state.Current() || !e.timer.Now().Before(due) {
			return nil
		}
	}
}

// otherPeer returns the chosen peer, or another one if a stale proof makes this node poll often and
// the chosen one was polled last. Only Run uses it.
func (e *Exchange) otherPeer(chosen string, members []bffleet.Member) string {
	if e.proof == nil {
		return chosen
	}
	if others := slices.DeleteFunc(members, func(m bffleet.Member) bool { return m.Peer == e.self || m.Peer == e.polled }); chosen == e.polled && len(others) > 0 {
		chosen = others[rand.IntN(len(others))].Peer
	}
	e.polled = chosen
	return chosen
}
