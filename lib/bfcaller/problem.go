package bfcaller

import (
	"encoding/json"
	"net/http"
	"time"

	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfrecord"
)

// Problem is the body of every response that does not come from a target (RFC 9457).
type Problem struct {
	// Type is a fixed identifier that callers' code can match.
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// RequestID is the request's ID, empty if it was rejected before it got one.
	RequestID string `json:"requestId,omitempty"`
	// Outcome is not-run, unknown or done, as in the header.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	// RetryAfter is the delay before a retry, in milliseconds.
	RetryAfter int64 `json:"retryAfterMs,omitempty"`
	// EarlierMayHaveRun is set if an earlier request with the same key may have run.
	EarlierMayHaveRun bool `json:"earlierMayHaveRun,omitempty"`
}

// Problem types; docs/CALLERS.md says how callers handle each.
const (
	TypeNotRun     = "urn:bilberryflow:not-run"
	TypeUnknown    = "urn:bilberryflow:outcome-unknown"
	TypeAnswerLost = "urn:bilberryflow:answer-lost"
	TypeInProgress = "urn:bilberryflow:in-progress"
	TypeInvalid    = "urn:bilberryflow:invalid-request"
)

func notRunProblem(r NotRun) Problem {
	return Problem{
		Type: TypeNotRun, Title: "Not run", Status: http.StatusServiceUnavailable,
		Detail:    "The request was not run and will not be.",
		RequestID: idText(r.ID), Outcome: bfheader.OutcomeNotRun, Reason: string(r.Reason),
		RetryAfter: r.RetryAfter.Milliseconds(), EarlierMayHaveRun: r.EarlierMayHaveRun,
	}
}

func unknownProblem(r Unknown) Problem {
	if r.Ran {
		return Problem{
			Type: TypeAnswerLost, Title: "Answer lost", Status: http.StatusBadGateway,
			Detail:    "The request ran once; its answer is lost.",
			RequestID: idText(r.ID), Outcome: bfheader.OutcomeDone,
		}
	}
	return Problem{
		Type: TypeUnknown, Title: "Outcome unknown", Status: http.StatusGatewayTimeout,
		Detail:    "The request may have run; it will not be run again.",
		RequestID: idText(r.ID), Outcome: bfheader.OutcomeUnknown,
	}
}

func inProgressProblem(r InProgress) Problem {
	return Problem{
		Type: TypeInProgress, Title: "In progress", Status: http.StatusConflict,
		Detail:    "An earlier request with the same key has not ended; ask again with the key.",
		RequestID: idText(r.ID), Outcome: bfheader.OutcomeUnknown,
		RetryAfter: r.RetryAfter.Milliseconds(),
	}
}

func invalidProblem(r Invalid) Problem {
	return Problem{
		Type: TypeInvalid, Title: r.Title, Status: r.Status, Detail: r.Err.Error(), Outcome: bfheader.OutcomeNotRun,
	}
}

// idText returns the empty string for a request without an ID.
func idText(id bfrecord.ID) string {
	if id == (bfrecord.ID{}) {
		return ""
	}
	return id.String()
}

func writeProblem(w http.ResponseWriter, p Problem) {
	data, err := json.Marshal(p)
	if err != nil {
		// A Problem holds only text and numbers.
		panic(err)
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(bfheader.Outcome, p.Outcome)
	if p.RequestID != "" {
		h.Set(bfheader.RequestID, p.RequestID)
	}
	if p.RetryAfter > 0 {
		bfheader.WriteRetryAfter(h, time.Duration(p.RetryAfter)*time.Millisecond)
	}
	if p.Outcome == bfheader.OutcomeNotRun && p.Status == http.StatusServiceUnavailable {
		// This node has already retried. If the nodes before it retried too, a refusal
		// under overload would multiply at each hop.
		h.Set(bfheader.Final, bfheader.FinalMark)
	}
	w.WriteHeader(p.Status)
	// Nothing to do if the caller has disconnected.
	_, _ = w.Write(data)
}
