package bfrecord

import (
	"fmt"
	"time"
)

// Reason is why an arrival was not run.
type Reason string

// The reasons of refusals.
const (
	ReasonBarred      Reason = "barred"
	ReasonTooLate     Reason = "too late"
	ReasonMismatch    Reason = "key used with other content"
	ReasonHomeChanged Reason = "home changed"
	ReasonBookFull    Reason = "book full"
	ReasonOverload    Reason = "overload"
	ReasonLeaving     Reason = "leaving"
	ReasonDeadline    Reason = "deadline"
	ReasonCanceled    Reason = "canceled"
	ReasonTableAway   Reason = "table away"
	ReasonUnreachable Reason = "unreachable"
	// ReasonQuarantined means that several targets have ended under the request.
	ReasonQuarantined Reason = "quarantined"
)

// Refusal is the home's answer to an arrival that it did not run.
type Refusal struct {
	ID         ID            `json:"id" cbor:"1,keyasint"`
	Home       Home          `json:"home" cbor:"2,keyasint"`
	Reason     Reason        `json:"reason" cbor:"3,keyasint"`
	RetryAfter time.Duration `json:"retryAfter,omitempty" cbor:"4,keyasint,omitempty"`
	// Barred says that the home has barred every arrival of the ID, not only refused this one.
	Barred bool `json:"barred,omitempty" cbor:"5,keyasint,omitempty"`
}

// AnswerMessage is an Answer as it travels.
type AnswerMessage struct {
	Status int                 `json:"status,omitempty" cbor:"1,keyasint,omitempty"`
	Header map[string][]string `json:"header,omitempty" cbor:"2,keyasint,omitempty"`
	Body   []byte              `json:"body,omitempty" cbor:"3,keyasint,omitempty"`
	// Dropped says that header and body were not kept.
	Dropped bool `json:"dropped,omitempty" cbor:"4,keyasint,omitempty"`
	// Lost is why the outcome can't be known, if it can't.
	Lost string `json:"lost,omitempty" cbor:"5,keyasint,omitempty"`
}

// ResolveRequest asks a home what became of a request that was sent to it.
type ResolveRequest struct {
	ID   ID   `json:"id" cbor:"1,keyasint"`
	Home Home `json:"home" cbor:"2,keyasint"`
}

// ResolveState is the kind of a Resolution.
type ResolveState string

// The kinds of resolutions.
const (
	ResolvedNeverSeen ResolveState = "never seen"
	ResolvedRunning   ResolveState = "running"
	ResolvedFinished  ResolveState = "finished"
	ResolvedForgotten ResolveState = "forgotten"
	ResolvedHomeLost  ResolveState = "home lost"
)

// ResolveReply is the home's answer to a ResolveRequest.
type ResolveReply struct {
	ID     ID             `json:"id" cbor:"1,keyasint"`
	Home   Home           `json:"home" cbor:"2,keyasint"`
	State  ResolveState   `json:"state" cbor:"3,keyasint"`
	Answer *AnswerMessage `json:"answer,omitempty" cbor:"4,keyasint,omitempty"`
}

// MessageError reports a message that says nothing the receiver can act on.
type MessageError struct {
	What string
	ID   ID
}

// Error names the message and the request.
func (e *MessageError) Error() string { return fmt.Sprintf("%s for request %s", e.What, e.ID) }

// NewAnswerMessage is the answer's wire form.
func NewAnswerMessage(answer Answer) AnswerMessage {
	switch a := answer.(type) {
	case WholeAnswer:
		return AnswerMessage{Status: a.status, Header: a.header, Body: a.body}
	case DroppedAnswer:
		return AnswerMessage{Status: a.status, Dropped: true}
	case LostAnswer:
		return AnswerMessage{Lost: orUnspecified(a.reason)}
	}
	return AnswerMessage{Lost: fmt.Sprintf("answer of unknown type %T", answer)}
}

func orUnspecified(reason string) string {
	if reason == "" {
		return "unspecified"
	}
	return reason
}

// Answer is the answer that the message carries.
func (m AnswerMessage) Answer() Answer {
	switch {
	case m.Lost != "":
		return LostAnswer{reason: m.Lost}
	case m.Dropped:
		return DroppedAnswer{status: m.Status}
	}
	return WholeAnswer{status: m.Status, header: m.Header, body: m.Body}
}

// NewResolveReply is the resolution's wire form; home is who answers.
func NewResolveReply(id ID, home Home, resolution Resolution) ResolveReply {
	reply := ResolveReply{ID: id, Home: home, State: ResolvedForgotten}
	switch r := resolution.(type) {
	case NeverSeen:
		reply.State = ResolvedNeverSeen
	case Running:
		reply.State = ResolvedRunning
	case Finished:
		reply.State = ResolvedFinished
		answer := NewAnswerMessage(r.answer)
		reply.Answer = &answer
	case HomeLost:
		reply.State = ResolvedHomeLost
	case Forgotten:
	}
	return reply
}

// Resolution is the resolution that the reply carries.
func (r ResolveReply) Resolution() (Resolution, error) {
	switch r.State {
	case ResolvedNeverSeen:
		return NeverSeen{}, nil
	case ResolvedRunning:
		return Running{}, nil
	case ResolvedForgotten:
		return Forgotten{}, nil
	case ResolvedHomeLost:
		return HomeLost{home: r.Home}, nil
	case ResolvedFinished:
		if r.Answer == nil {
			return nil, &MessageError{What: "finished without an answer", ID: r.ID}
		}
		return Finished{answer: r.Answer.Answer()}, nil
	}
	return nil, &MessageError{What: fmt.Sprintf("resolution %q", r.State), ID: r.ID}
}

// NewAbortRefusal is the refusal of a request after Abort.
func NewAbortRefusal(id ID, home Home, reason Reason, retryAfter time.Duration) Refusal {
	return Refusal{ID: id, Home: home, Reason: reason, RetryAfter: retryAfter, Barred: true}
}

// NewVerdictRefusal is the refusal that a verdict asks for; Run, StillRunning and Replay are none.
func NewVerdictRefusal(id ID, home Home, verdict Verdict) (Refusal, bool) {
	refusal := Refusal{ID: id, Home: home}
	switch verdict.(type) {
	case Barred:
		refusal.Reason = ReasonBarred
		refusal.Barred = true
	case TooLate:
		refusal.Reason = ReasonTooLate
	case Mismatch:
		refusal.Reason = ReasonMismatch
	case HomeChanged:
		refusal.Reason = ReasonHomeChanged
	case Full:
		refusal.Reason = ReasonBookFull
	case Run, StillRunning, Replay:
		return Refusal{}, false
	}
	return refusal, true
}
