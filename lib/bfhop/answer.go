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

// Load is the target's load at the time of a response.
type Load struct {
	InUse  int
	Queued int
	Slots  int
	// ServiceTime is the mean run time of a request, 0 if unknown; it is sent in microseconds.
	ServiceTime time.Duration
}

// String formats the load as a header value.
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

// ParseLoad parses what String writes and reports whether it is valid.
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

// ReasonShed means that the target itself rejected a request that its node had admitted.
const ReasonShed bfrecord.Reason = "shed by the target"

// Reply is the sealed set of replies of a target's node: Ran, Refused, InProgress, Dropped and Lost.
type Reply interface{ reply() }

// Ran means that the response is that of the target.
type Ran struct{}

// Refused means that the request was not run.
type Refused struct{ Refusal bfrecord.Refusal }

// InProgress means that an earlier copy of the request, ID, has not ended.
type InProgress struct{ ID bfrecord.ID }

// Lost means that the request was sent to the target and its outcome is unknown.
type Lost struct{}

// Dropped means that the request ran with that status, and its response is no longer stored.
type Dropped struct{ Status int }

func (Dropped) reply()    {}
func (Ran) reply()        {}
func (Refused) reply()    {}
func (InProgress) reply() {}
func (Lost) reply()       {}

// ReplyError reports a response with an unknown outcome or an invalid refusal.
type ReplyError struct{ Outcome string }

// Error names the response's outcome.
func (e *ReplyError) Error() string { return fmt.Sprintf("response with outcome %q", e.Outcome) }

// Values of the Outcome header that are used only between nodes.
const (
	outcomeInProgress = "busy"
	outcomeDropped    = "dropped"
)

// WriteRefusal writes the reply Refused.
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

// WriteInProgress writes the reply InProgress.
func WriteInProgress(w http.ResponseWriter, id bfrecord.ID) {
	w.Header().Set(bfheader.Outcome, outcomeInProgress)
	w.Header().Set(bfheader.RequestID, id.String())
	w.WriteHeader(http.StatusConflict)
}

// WriteDropped writes the reply Dropped.
func WriteDropped(w http.ResponseWriter, status int) {
	w.Header().Set(bfheader.Outcome, outcomeDropped)
	w.WriteHeader(status)
}

// WriteLost writes the reply Lost.
func WriteLost(w http.ResponseWriter) {
	w.Header().Set(bfheader.Outcome, bfheader.OutcomeUnknown)
	w.WriteHeader(http.StatusBadGateway)
}

// ReadReply parses the reply in a response's header.
func ReadReply(response *http.Response) (Reply, error) {
	switch outcome := response.Header.Get(bfheader.Outcome); outcome {
	case bfheader.OutcomeDone:
		return Ran{}, nil
	case outcomeDropped:
		return Dropped{Status: response.StatusCode}, nil
	case bfheader.OutcomeUnknown:
		return Lost{}, nil
	case outcomeInProgress:
		id, err := ParseID(response.Header.Get(bfheader.RequestID))
		return InProgress{ID: id}, err
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
