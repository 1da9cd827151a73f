package bfrecord

import (
	"fmt"
	"time"
)

// KeyKind is what kind of idempotency key a request has.
type KeyKind uint8

// The kinds of keys.
const (
	// KeyNone is a request of which there is one sending.
	KeyNone KeyKind = iota
	// KeyCaller is a caller's own key, claimed in the table.
	KeyCaller
	// KeyMinted is a MintedKey.
	KeyMinted
)

// Attempt is what the entry node knows of one request that it sends to one home.
//
// It settles once, on the first message that decides; the caller is told that
// and nothing else. It is not safe for concurrent use.
type Attempt struct {
	id       ID
	home     Home
	key      KeyKind
	sendings int
	outcome  Outcome
	err      error
}

// NewAttempt begins the attempt to run id at home.
func NewAttempt(id ID, home Home, key KeyKind) *Attempt {
	return &Attempt{id: id, home: home, key: key}
}

// ID is the request ID.
func (a *Attempt) ID() ID { return a.id }

// Home is where the request is sent.
func (a *Attempt) Home() Home { return a.home }

// Outcome is what the caller is told; nil while that is open.
func (a *Attempt) Outcome() Outcome { return a.outcome }

// Err is a ContradictionError if a later message contradicted the outcome.
func (a *Attempt) Err() error { return a.err }

// Sending must be called before the first byte of each sending is handed to a connection.
func (a *Attempt) Sending() { a.sendings++ }

// Answered takes the target's answer.
func (a *Attempt) Answered(answer Answer) Outcome {
	if _, lost := answer.(LostAnswer); lost {
		return a.settle(Unknown{id: a.id})
	}
	return a.settle(Done{answer: answer})
}

// Refused takes the home's refusal.
func (a *Attempt) Refused(refusal Refusal) Outcome {
	if refusal.ID != a.id {
		return a.mistaken("refusal of another request")
	}
	if !a.proves(refusal) {
		return a.settle(Unknown{id: a.id})
	}
	proof := RefusedBeforeRun{id: a.id, home: refusal.Home}
	return a.notRun(proof, refusal.Reason, refusal.RetryAfter)
}

// proves reports whether no arrival of the request can have run or ever will.
//
// A home that has not barred the ID speaks of one arrival only. That is enough
// where there can be no other: the request was sent once, and its ID is not a
// minted key that another node may have sent.
func (a *Attempt) proves(refusal Refusal) bool {
	if refusal.Barred {
		return refusal.Home == a.home
	}
	if refusal.Reason == ReasonMismatch {
		// This sending is not what the ID stands for; its own content never runs.
		return a.sendings == 1
	}
	return a.sendings == 1 && a.key != KeyMinted
}

// StillRunning takes the home's word that another sending of the key is running.
func (a *Attempt) StillRunning(other ID) Outcome {
	if other == a.id && a.key != KeyMinted {
		return a.outcome
	}
	return a.settle(InProgress{id: other})
}

// Resolved takes the home's answer to "what became of it?"; the outcome stays nil while it runs.
func (a *Attempt) Resolved(reply ResolveReply) Outcome {
	resolution, err := reply.Resolution()
	if err != nil || reply.ID != a.id {
		return a.mistaken("unusable resolution")
	}
	switch r := resolution.(type) {
	case NeverSeen:
		// Another incarnation's "never seen" is no proof: this one may have run it.
		if reply.Home != a.home {
			return a.settle(Unknown{id: a.id})
		}
		return a.notRun(BarredProof{id: a.id, home: reply.Home}, ReasonBarred, 0)
	case Finished:
		return a.Answered(r.answer)
	case Forgotten, HomeLost:
		return a.settle(Unknown{id: a.id})
	case Running:
	}
	return a.outcome
}

// GiveUp ends an attempt that can learn no more.
func (a *Attempt) GiveUp(reason Reason, retryAfter time.Duration) Outcome {
	if a.sendings == 0 {
		return a.notRun(NeverSent{id: a.id}, reason, retryAfter)
	}
	return a.settle(Unknown{id: a.id})
}

func (a *Attempt) notRun(proof Proof, reason Reason, retryAfter time.Duration) Outcome {
	return a.settle(notRun{proof: proof, reason: reason, retryAfter: retryAfter, earlier: a.earlierMayHaveRun(proof, reason)})
}

// earlierMayHaveRun: a proof speaks of one ID. A caller's key has a new ID with
// each sending, and a minted key that never left this node may have left another.
func (a *Attempt) earlierMayHaveRun(proof Proof, reason Reason) bool {
	if reason == ReasonMismatch {
		return true
	}
	switch a.key {
	case KeyCaller:
		return true
	case KeyMinted:
		_, neverSent := proof.(NeverSent)
		return neverSent
	case KeyNone:
	}
	return false
}

// ContradictionError reports a message that can't be true beside what the caller was told.
type ContradictionError struct {
	ID    ID
	First Outcome
	Later Outcome
}

// Error names the request and both outcomes.
func (e *ContradictionError) Error() string {
	return fmt.Sprintf("request %s was %T and then %T", e.ID, e.First, e.Later)
}

func (a *Attempt) settle(outcome Outcome) Outcome {
	if a.outcome == nil {
		a.outcome = outcome
		return outcome
	}
	_, toldNotRun := a.outcome.(NotRun)
	_, saysDone := outcome.(Done)
	if toldNotRun && saysDone {
		a.err = &ContradictionError{ID: a.id, First: a.outcome, Later: outcome}
	}
	return a.outcome
}

func (a *Attempt) mistaken(what string) Outcome {
	if a.err == nil {
		a.err = &MessageError{What: what, ID: a.id}
	}
	return a.outcome
}
