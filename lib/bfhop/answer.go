package bfhop

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfrecord"
)

// Load is the target node's word on its target, as of an answer.
type Load struct {
	InUse  int
	Queued int
	Slots  int
	// ServiceTime is how long a request runs there on average, 0 if unknown; it travels in microseconds.
	ServiceTime time.Duration
}

// String is the form of the header.
func (l Load) String() string {
	text := make([]byte, 0, 4*8)
	for i, n := range []int64{int64(l.InUse), int64(l.Queued), int64(l.Slots), l.ServiceTime.Microseconds()} {
		if i > 0 {
			text = append(text, '/')
		}
		text = strconv.AppendInt(text, n, 10)
	}
	return string(text)
}

// ParseLoad reads what String writes; an unreadable load is none.
func ParseLoad(text string) (Load, bool) {
	var numbers [4]int64
	for i := range numbers {
		field, rest, more := strings.Cut(text, "/")
		n, err := strconv.ParseInt(field, 10, 32)
		if err != nil || n < 0 || more != (i < len(numbers)-1) {
			return Load{}, false
		}
		numbers[i], text = n, rest
	}
	return Load{
		InUse: int(numbers[0]), Queued: int(numbers[1]), Slots: int(numbers[2]),
		ServiceTime: time.Duration(numbers[3]) * time.Microsecond,
	}, true
}

// ReasonShed says that the target itself refused the request although its node had given it a slot.
const ReasonShed bfrecord.Reason = "shed by the target"

// Reply is the sealed set of what the target's node can answer: Ran, Refused, Busy, Dropped and Lost.
type Reply interface{ reply() }

// Ran says that the response is the target's own.
type Ran struct{}

// Refused says that the request was not run.
type Refused struct{ Refusal bfrecord.Refusal }

// Busy says that an earlier sending, ID, has not ended.
type Busy struct{ ID bfrecord.ID }

// Lost says that the request was handed to the target and its end is unknown.
type Lost struct{}

// Dropped says that the request ran, with a status, and that its answer is no longer kept.
type Dropped struct{ Status int }

func (Dropped) reply() {}
func (Ran) reply()     {}
func (Refused) reply() {}
func (Busy) reply()    {}
func (Lost) reply()    {}

// ReplyError reports a response that no node of this version gives.
type ReplyError struct{ Outcome string }

// Error names the outcome that the response claimed.
func (e *ReplyError) Error() string { return fmt.Sprintf("response with outcome %q", e.Outcome) }

// Values of Outcome between nodes only.
const (
	outcomeBusy    = "busy"
	outcomeDropped = "dropped"
)

// WriteRefusal answers that the request was not run.
func WriteRefusal(w http.ResponseWriter, refusal bfrecord.Refusal) error {
	data, err := json.Marshal(refusal)
	if err != nil {
		return err
	}
	w.Header().Set(bfheader.Outcome, bfheader.OutcomeNotRun)
	w.Header().Set(bfheader.Refusal, string(data))
	w.WriteHeader(http.StatusServiceUnavailable)
	return nil
}

// WriteBusy answers that an earlier sending has not ended.
func WriteBusy(w http.ResponseWriter, id bfrecord.ID) {
	w.Header().Set(bfheader.Outcome, outcomeBusy)
	w.Header().Set(bfheader.RequestID, id.String())
	w.WriteHeader(http.StatusConflict)
}

// WriteDropped answers that the request ran and that its answer is no longer kept.
func WriteDropped(w http.ResponseWriter, status int) {
	w.Header().Set(bfheader.Outcome, outcomeDropped)
	w.WriteHeader(status)
}

// WriteLost answers that the end of the request is unknown.
func WriteLost(w http.ResponseWriter) {
	w.Header().Set(bfheader.Outcome, bfheader.OutcomeUnknown)
	w.WriteHeader(http.StatusBadGateway)
}

// ReadReply says what a response means.
func ReadReply(response *http.Response) (Reply, error) {
	switch outcome := response.Header.Get(bfheader.Outcome); outcome {
	case bfheader.OutcomeDone:
		return Ran{}, nil
	case outcomeDropped:
		return Dropped{Status: response.StatusCode}, nil
	case bfheader.OutcomeUnknown:
		return Lost{}, nil
	case outcomeBusy:
		id, err := ParseID(response.Header.Get(bfheader.RequestID))
		return Busy{ID: id}, err
	case bfheader.OutcomeNotRun:
		var refusal bfrecord.Refusal
		if err := json.Unmarshal([]byte(response.Header.Get(bfheader.Refusal)), &refusal); err != nil {
			return nil, &ReplyError{Outcome: outcome}
		}
		return Refused{Refusal: refusal}, nil
	default:
		return nil, &ReplyError{Outcome: outcome}
	}
}
