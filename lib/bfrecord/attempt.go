package bfrecord

import (
	"fmt"
	"time"
)

// KeyKind is the kind of idempotency key of a request.
type KeyKind uint8

// The kinds of idempotency keys.
const (
	// KeyNone marks a request without a key; the caller sends it once.
	KeyNone KeyKind = iota
	// KeyCaller marks a key chosen by the caller, claimed in the platform's table.
	KeyCaller
	// KeyMinted marks a MintedKey.
	KeyMinted
)

// Attempt tracks, at the entry node, one request sent to one home.
//
// It settles once, on the first conclusive message, and only that outcome is
// reported to the caller. It is not safe for concurrent use.
type Attempt struct {
	id      ID
	home    NodeIncarnation
	key     KeyKind
	sends   int
	outcome Outcome
	err     error
}

// NewAttempt returns the attempt to run id at home.
func NewAttempt(id ID, home NodeIncarnation, key KeyKind) *Attempt {
	return &Attempt{id: id, home: home, key: key}
}

// ID returns the request ID.
func (a *Attempt) ID() ID { return a.id }

// Home returns the incarnation to which the request is sent.
func (a *Attempt) Home() NodeIncarnation { return a.home }

// Outcome returns the settled outcome, or nil while the attempt is open.
func (a *Attempt) Outcome() Outcome { return a.outcome }

// Err returns a *ContradictionError if a later message contradicted the outcome,
// or a *MessageError if a message was invalid.
func (a *Attempt) Err() error { return a.err }

// RecordSend records a send; call it before writing the first byte of each send to a connection.
func (a *Attempt) RecordSend() { a.sends++ }

// OnAnswer processes the target's answer and returns the outcome.
func (a *Attempt) OnAnswer(answer Answer) Outcome {
	if _, lost := answer.(LostAnswer); lost {
		return a.settle(Unknown{id: a.id})
	}
	return a.settle(Done{answer: answer})
}

// OnRefusal processes the home's refusal and returns the outcome.
func (a *Attempt) OnRefusal(refusal Refusal) Outcome {
	if refusal.ID != a.id {
		return a.recordInvalid("refusal of another request")
	}
	if !a.provesNotRun(refusal) {
		return a.settle(Unknown{id: a.id})
	}
	proof := RefusedBeforeRun{id: a.id, home: refusal.Home}
	return a.notRun(proof, refusal.Reason, refusal.RetryAfter)
}

// provesNotRun reports whether a refusal proves that no arrival of the request
// has run or will run.
//
// Unless the home has barred the ID, a refusal covers one arrival only. That
// suffices if there can be no other: the request was sent once, and its ID is
// not a minted key, which another node may have sent too.
func (a *Attempt) provesNotRun(refusal Refusal) bool {
	if refusal.Barred {
		return refusal.Home == a.home
	}
	if refusal.Reason == ReasonMismatch {
		// The ID is registered with other content, so the content of this send never runs.
		return a.sends == 1
	}
	return a.sends == 1 && a.key != KeyMinted
}

// OnStillRunning processes a response that the key's request other is still running, and returns the outcome.
func (a *Attempt) OnStillRunning(other ID) Outcome {
	if other == a.id && a.key != KeyMinted {
		return a.outcome
	}
	return a.settle(InProgress{id: other})
}

// OnResolveReply processes a ResolveReply; the outcome stays nil while the request runs.
func (a *Attempt) OnResolveReply(reply ResolveReply) Outcome {
	resolution, err := reply.Resolution()
	if err != nil || reply.ID != a.id {
		return a.recordInvalid("unusable resolution")
	}
	switch r := resolution.(type) {
	case NeverSeen:
		// A "never seen" of another incarnation is no proof: the addressed one may have run it.
		if reply.Home != a.home {
			return a.settle(Unknown{id: a.id})
		}
		return a.notRun(BarredProof{id: a.id, home: reply.Home}, ReasonBarred, 0)
	case Finished:
		return a.OnAnswer(r.answer)
	case Forgotten, HomeLost:
		return a.settle(Unknown{id: a.id})
	case Running:
	}
	return a.outcome
}

// Abandon settles an attempt for which no further message is expected: NotRun if nothing was sent, else Unknown.
func (a *Attempt) Abandon(reason Reason, retryAfter time.Duration) Outcome {
	if a.sends == 0 {
		return a.notRun(NeverSent{id: a.id}, reason, retryAfter)
	}
	return a.settle(Unknown{id: a.id})
}

func (a *Attempt) notRun(proof Proof, reason Reason, retryAfter time.Duration) Outcome {
	return a.settle(notRun{proof: proof, reason: reason, retryAfter: retryAfter, earlierMayHaveRun: a.earlierMayHaveRun(proof, reason)})
}

// earlierMayHaveRun reports whether the key's request may have run in another
// send. A proof covers one ID: a caller's key has a new ID with each send, and a
// minted key not sent from this node may have been sent from another.
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

// ContradictionError reports a message that contradicts the settled outcome.
type ContradictionError struct {
	ID    ID
	First Outcome
	Later Outcome
}

// Error includes the request ID and both outcomes.
func (e *ContradictionError) Error() string {
	return fmt.Sprintf("request %s: contradictory outcomes %T, then %T", e.ID, e.First, e.Later)
}

func (a *Attempt) settle(outcome Outcome) Outcome {
	if a.outcome == nil {
		a.outcome = outcome
		return outcome
	}
	_, wasNotRun := a.outcome.(NotRun)
	_, isDone := outcome.(Done)
	if wasNotRun && isDone {
		a.err = &ContradictionError{ID: a.id, First: a.outcome, Later: outcome}
	}
	return a.outcome
}

func (a *Attempt) recordInvalid(what string) Outcome {
	if a.err == nil {
		a.err = &MessageError{What: what, ID: a.id}
	}
	return a.outcome
}
