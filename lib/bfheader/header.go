package bfheader

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers between callers and nodes.
const (
	// IdempotencyKey is the caller's key for a request that must run at most once.
	IdempotencyKey = "Idempotency-Key"
	// RetryAfter is the retry delay, in whole seconds.
	RetryAfter = "Retry-After"
	// Tenant is the agency or agent on whose behalf the caller sends the request.
	Tenant = "Bilberry-Tenant"
	// Deadline is the time left for the request, in milliseconds.
	Deadline = "Bilberry-Deadline"
	// RequestID identifies the request in logs and in outcome queries.
	RequestID = "Bilberry-Request-Id"
	// Outcome is one of OutcomeDone, OutcomeNotRun and OutcomeUnknown.
	Outcome = "Bilberry-Outcome"
	// RetryAfterExact is the retry delay, in milliseconds.
	RetryAfterExact = "Bilberry-Retry-After"
	// Depth is the number of calls that the request is nested in.
	Depth = "Bilberry-Depth"
)

// Headers between nodes, and between a node and its target.
const (
	// Home is the incarnation of the node that the request was sent to.
	Home = "Bilberry-Home"
	// Route and Policy are the entry's decisions for the request.
	Route  = "Bilberry-Route"
	Policy = "Bilberry-Policy"
	// Load is the used and total number of the target's slots as of the answer.
	Load = "Bilberry-Load"
	// Backlog is how long the node's link needs for the long answers in progress and for those of
	// requests that run, in milliseconds.
	Backlog = "Bilberry-Backlog"
	// LongAnswer is the time left until the objective and the expected length of a long answer, in
	// milliseconds and bytes. It is missing if the link of the target's node is not narrow.
	LongAnswer = "Bilberry-Long-Answer"
	// TargetLimit is the limit that the target has named, in requests per second.
	TargetLimit = "Bilberry-Target-Limit"
	// TargetLeaving is the start of the target that has said in the answer that it leaves.
	TargetLeaving = "Bilberry-Target-Leaving"
	// Track is the target's recent share of failures and run time.
	Track = "Bilberry-Track"
	// Version is set if the entry chose the target for the version of its software.
	Version = "Bilberry-Version"
	// Workspace is the workspace of the request, missing if it has none.
	Workspace = "Bilberry-Workspace"
	// BeyondShare marks a refusal of a request whose workspace has its fair share of the target's
	// slots. It is no Reason of its own, since nodes of an earlier version suspend a target that
	// refuses for a reason that they don't know.
	BeyondShare = "Bilberry-Beyond-Share"
	// UnderLoad marks a request without an answer whose target resets connections when it is full.
	UnderLoad = "Bilberry-Under-Load"
	// GoAhead marks a request whose sender holds the remainder of a long body back, and the informational
	// answer by which the node asks for it.
	GoAhead = "Bilberry-Go-Ahead"
	// Probe marks a request that the node answers itself, without its target.
	Probe = "Bilberry-Probe"
	// Spent is a breakdown of the time spent at the target's node, in microseconds.
	Spent = "Bilberry-Spent"
	// Resent marks a request that an upstream node sent as a retry.
	Resent = "Bilberry-Resent"
	// Refusal is the complete refusal of the home node.
	Refusal = "Bilberry-Refusal"
	// Final marks a refusal after which no upstream node retries the request.
	Final = "Bilberry-Final"
	// Reason is why a request was not run.
	Reason = "Bilberry-Reason"
)

// Values of Outcome.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

const (
	// MaxHead is the size in bytes of the largest head of a caller's request that nodes take, whatever
	// the configuration allows.
	MaxHead = 1 << 20
	// MaxInternal is the size in bytes that nodes may add to it.
	MaxInternal = 16 << 10
)

// FinalMark is the value of Final, ProbeMark that of Probe, GoAheadMark that of GoAhead.
const (
	FinalMark   = "1"
	ProbeMark   = "1"
	GoAheadMark = "1"
)

// ValueError reports a header with an invalid value.
type ValueError struct {
	Header  string
	Value   string
	Allowed string
}

// Error includes the header, its value and what is allowed.
func (e *ValueError) Error() string {
	return fmt.Sprintf("header %s: value %q: allowed: %s", e.Header, e.Value, e.Allowed)
}

// MaxDeadline is the longest deadline that a caller may set.
const MaxDeadline = time.Hour

// ReadDeadline returns the time left according to the Deadline header, 0 if it is missing.
// Its errors are of type ValueError.
func ReadDeadline(h http.Header) (time.Duration, error) {
	text, err := SingleValue(h, Deadline)
	if text == "" || err != nil {
		return 0, err
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds <= 0 || milliseconds > MaxDeadline.Milliseconds() {
		return 0, &ValueError{Deadline, text, fmt.Sprintf("1 to %d milliseconds", MaxDeadline.Milliseconds())}
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// WriteDeadline sets the Deadline header, to at least one millisecond.
func WriteDeadline(h http.Header, left time.Duration) {
	h.Set(Deadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
}

// MaxDepth bounds the nesting depth of calls. It stops call cycles and is well above the
// depth of real call chains.
const MaxDepth = 32

// ReadDepth returns the number of calls that the request is nested in. Its errors are of
// type ValueError.
func ReadDepth(h http.Header) (int, error) {
	text, err := SingleValue(h, Depth)
	if text == "" || err != nil {
		return 0, err
	}
	depth, err := strconv.Atoi(text)
	if err != nil || depth < 0 || depth > MaxDepth {
		return 0, &ValueError{Depth, text, fmt.Sprintf("0 to %d", MaxDepth)}
	}
	return depth, nil
}

// ResentMark is the value of Resent.
const ResentMark = "1"

// ReadResent reports whether an upstream node sent the request as a retry. Its errors are
// of type ValueError.
func ReadResent(h http.Header) (bool, error) {
	text, err := SingleValue(h, Resent)
	if err == nil && text != "" && text != ResentMark {
		err = &ValueError{Resent, text, ResentMark}
	}
	return text != "", err
}

// WriteRetryAfter sets the retry delay, rounded up to whole seconds in the standard header.
func WriteRetryAfter(h http.Header, d time.Duration) {
	h.Set(RetryAfter, strconv.Itoa(max(1, int(math.Ceil(d.Seconds())))))
	h.Set(RetryAfterExact, strconv.FormatInt(max(d.Milliseconds(), 1), 10))
}

// WriteRetryAfterSeconds sets the standard header to a retry delay in seconds with a fraction, where callers
// understand one; nothing if there is no delay.
func WriteRetryAfterSeconds(h http.Header, d time.Duration) {
	if d > 0 {
		h.Set(RetryAfter, strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
	}
}

// maxRetryAfter bounds the delay accepted from a target, so that an invalid value does not
// keep callers away for days.
const maxRetryAfter = time.Hour

// ReadRetryAfter returns the retry delay, 0 if there is none.
func ReadRetryAfter(h http.Header) time.Duration {
	if ms, err := strconv.ParseInt(h.Get(RetryAfterExact), 10, 64); err == nil && ms >= 0 {
		return time.Duration(min(ms, maxRetryAfter.Milliseconds())) * time.Millisecond
	}
	if s, err := strconv.ParseInt(h.Get(RetryAfter), 10, 64); err == nil && s >= 0 {
		return time.Duration(min(s, int64(maxRetryAfter.Seconds()))) * time.Second
	}
	return 0
}

// Printable replaces characters that are not allowed in a header by spaces.
func Printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return ' '
		}
		return r
	}, text)
}
