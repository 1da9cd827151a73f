package bfrecord

import (
	"fmt"
	"time"
)

// Reason is the reason why an arrival was not run.
type Reason string

// The reasons of a Refusal or NotRun.
const (
	ReasonBarred           Reason = "barred"
	ReasonTooLate          Reason = "too late"
	ReasonMismatch         Reason = "key used with other content"
	ReasonHomeChanged      Reason = "home changed"
	ReasonTrackerFull      Reason = "book full"
	ReasonOverload         Reason = "overload"
	ReasonLeaving          Reason = "leaving"
	ReasonDeadline         Reason = "deadline"
	ReasonCanceled         Reason = "canceled"
	ReasonTableUnavailable Reason = "table away"
	ReasonUnreachable      Reason = "unreachable"
	// ReasonQuarantined means that several targets crashed while running the request.
	ReasonQuarantined Reason = "quarantined"
)

// Refusal is the home's response to an arrival that it did not run.
type Refusal struct {
	ID         ID              `json:"id" cbor:"1,keyasint"`
	Home       NodeIncarnation `json:"home" cbor:"2,keyasint"`
	Reason     Reason          `json:"reason" cbor:"3,keyasint"`
	RetryAfter time.Duration   `json:"retryAfter,omitempty" cbor:"4,keyasint,omitempty"`
	// Barred reports that no arrival of the ID has run or will run at the home, not only this one.
	Barred bool `json:"barred,omitempty" cbor:"5,keyasint,omitempty"`
}

// AnswerMessage is the wire form of an Answer.
type AnswerMessage struct {
	Status int                 `json:"status,omitempty" cbor:"1,keyasint,omitempty"`
	Header map[string][]string `json:"header,omitempty" cbor:"2,keyasint,omitempty"`
	Body   []byte              `json:"body,omitempty" cbor:"3,keyasint,omitempty"`
	// Dropped reports that header and body were not kept.
	Dropped bool `json:"dropped,omitempty" cbor:"4,keyasint,omitempty"`
	// Lost is the reason why the outcome is unknown; empty if it is known.
	Lost string `json:"lost,omitempty" cbor:"5,keyasint,omitempty"`
}

// ResolveRequest queries a home for the state of a request that was sent to it.
type ResolveRequest struct {
	ID   ID              `json:"id" cbor:"1,keyasint"`
	Home NodeIncarnation `json:"home" cbor:"2,keyasint"`
}

// ResolveState is the wire form of a Resolution's type.
type ResolveState string

// The states in a ResolveReply.
const (
	ResolvedNeverSeen ResolveState = "never seen"
	ResolvedRunning   ResolveState = "running"
	ResolvedFinished  ResolveState = "finished"
	ResolvedForgotten ResolveState = "forgotten"
	ResolvedHomeLost  ResolveState = "home lost"
)

// ResolveReply is the home's response to a ResolveRequest.
type ResolveReply struct {
	ID     ID              `json:"id" cbor:"1,keyasint"`
	Home   NodeIncarnation `json:"home" cbor:"2,keyasint"`
	State  ResolveState    `json:"state" cbor:"3,keyasint"`
	Answer *AnswerMessage  `json:"answer,omitempty" cbor:"4,keyasint,omitempty"`
}

// MessageError reports a message that is invalid or of another request.
type MessageError struct {
	What string
	ID   ID
}

// Error includes the problem and the request ID.
func (e *MessageError) Error() string { return fmt.Sprintf("%s for request %s", e.What, e.ID) }

// NewAnswerMessage returns the wire form of an answer.
func NewAnswerMessage(answer Answer) AnswerMessage {
	switch a := answer.(type) {
	case WholeAnswer:
		return AnswerMessage{Status: a.status, Header: a.header, Body: a.body}
	case DroppedAnswer:
		return AnswerMessage{Status: a.status, Dropped: true}
	case LostAnswer:
		return AnswerMessage{Lost: reasonOrDefault(a.reason)}
	}
	return AnswerMessage{Lost: fmt.Sprintf("answer of unknown type %T", answer)}
}

func reasonOrDefault(reason string) string {
	if reason == "" {
		return "unspecified"
	}
	return reason
}

// Answer returns the decoded answer.
func (m AnswerMessage) Answer() Answer {
	switch {
	case m.Lost != "":
		return LostAnswer{reason: m.Lost}
	case m.Dropped:
		return DroppedAnswer{status: m.Status}
	}
	return WholeAnswer{status: m.Status, header: m.Header, body: m.Body}
}

// NewResolveReply returns the wire form of a resolution; home is the responding incarnation.
func NewResolveReply(id ID, home NodeIncarnation, resolution Resolution) ResolveReply {
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

// Resolution returns the decoded resolution, or a *MessageError.
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

// NewAbortRefusal returns the refusal of a request after Tracker.Abort.
func NewAbortRefusal(id ID, home NodeIncarnation, reason Reason, retryAfter time.Duration) Refusal {
	return Refusal{ID: id, Home: home, Reason: reason, RetryAfter: retryAfter, Barred: true}
}

// NewVerdictRefusal returns the refusal for a verdict, and false for Run, StillRunning and Replay.
func NewVerdictRefusal(id ID, home NodeIncarnation, verdict Verdict) (Refusal, bool) {
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
		refusal.Reason = ReasonTrackerFull
	case Run, StillRunning, Replay:
		return Refusal{}, false
	}
	return refusal, true
}
