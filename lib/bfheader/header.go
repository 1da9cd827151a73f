package bfheader

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers that callers use.
const (
	// IdempotencyKey is the caller's key for a request that must run at most once.
	IdempotencyKey = "Idempotency-Key"
	// RetryAfter is the time to come back, in whole seconds.
	RetryAfter = "Retry-After"
	// Tenant names the agency or agent on whose behalf the caller asks.
	Tenant = "Bilberry-Tenant"
	// Deadline is the time left for the request, in milliseconds.
	Deadline = "Bilberry-Deadline"
	// RequestID names the request in logs and for questions about its outcome.
	RequestID = "Bilberry-Request-Id"
	// Outcome tells done, not-run and unknown apart.
	Outcome = "Bilberry-Outcome"
	// RetryAfterExact is the time to come back in milliseconds.
	RetryAfterExact = "Bilberry-Retry-After"
	// Depth counts the calls above this one.
	Depth = "Bilberry-Depth"
)

// Headers between nodes, and between a node and its target.
const (
	// Home is the incarnation of the node that the request was sent to.
	Home = "Bilberry-Home"
	// Route and Policy are the entry's decision, which goes with the request.
	Route  = "Bilberry-Route"
	Policy = "Bilberry-Policy"
	// Load is the target node's load as of its answer.
	Load = "Bilberry-Load"
	// Backlog is how many milliseconds the node's link takes for the long answers in progress.
	Backlog = "Bilberry-Backlog"
	// Track is how the target has fared lately.
	Track = "Bilberry-Track"
	// Spent is how the time at the target's node was spent.
	Spent = "Bilberry-Spent"
	// Resent marks a copy that a node above sent as a retry.
	Resent = "Bilberry-Resent"
	// Refusal is the home's refusal in full.
	Refusal = "Bilberry-Refusal"
	// Final marks a refusal after which no node above sends the request again.
	Final = "Bilberry-Final"
	// Reason says why a request was not run.
	Reason = "Bilberry-Reason"
)

// Values of Outcome.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// FinalMark is the value of Final.
const FinalMark = "1"

// ValueError reports a header that can't be read.
type ValueError struct {
	Header  string
	Value   string
	Allowed string
}

// Error names the header, its value and what is allowed.
func (e *ValueError) Error() string {
	return fmt.Sprintf("header %s: value %q: allowed: %s", e.Header, e.Value, e.Allowed)
}

// MaxDeadline is the longest time a caller may ask for.
const MaxDeadline = time.Hour

// ReadDeadline gives the time left that the headers name, or 0 where they name none.
func ReadDeadline(h http.Header) (time.Duration, error) {
	text, err := Once(h, Deadline)
	if text == "" || err != nil {
		return 0, err
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds <= 0 || milliseconds > MaxDeadline.Milliseconds() {
		return 0, &ValueError{Deadline, text, fmt.Sprintf("1 to %d milliseconds", MaxDeadline.Milliseconds())}
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// WriteDeadline names the time left; what is less than a millisecond becomes one.
func WriteDeadline(h http.Header, left time.Duration) {
	h.Set(Deadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
}

// MaxDepth bounds how deep calls may nest; the letter's callers go 6 deep.
const MaxDepth = 32

// ReadDepth gives how many calls are above this one.
func ReadDepth(h http.Header) (int, error) {
	text, err := Once(h, Depth)
	if text == "" || err != nil {
		return 0, err
	}
	depth, err := strconv.Atoi(text)
	if err != nil || depth < 0 || depth > MaxDepth {
		return 0, &ValueError{Depth, text, fmt.Sprintf("0 to %d", MaxDepth)}
	}
	return depth, nil
}

// ResentMark is the one value of Resent.
const ResentMark = "1"

// ReadResent reports whether a node above sent this copy as a retry.
func ReadResent(h http.Header) (bool, error) {
	text, err := Once(h, Resent)
	if err == nil && text != "" && text != ResentMark {
		err = &ValueError{Resent, text, ResentMark}
	}
	return text != "", err
}

// WriteRetryAfter names the time to come back, rounded up to the standard header's seconds.
func WriteRetryAfter(h http.Header, d time.Duration) {
	h.Set(RetryAfter, strconv.Itoa(max(1, int(math.Ceil(d.Seconds())))))
	h.Set(RetryAfterExact, strconv.FormatInt(max(d.Milliseconds(), 1), 10))
}

// maxRetryAfter bounds what a target may say: a slip there must not send callers away for days.
const maxRetryAfter = time.Hour

// ReadRetryAfter gives the time to come back, or 0 where none is named.
func ReadRetryAfter(h http.Header) time.Duration {
	if ms, err := strconv.ParseInt(h.Get(RetryAfterExact), 10, 64); err == nil && ms >= 0 {
		return time.Duration(min(ms, maxRetryAfter.Milliseconds())) * time.Millisecond
	}
	if s, err := strconv.ParseInt(h.Get(RetryAfter), 10, 64); err == nil && s >= 0 {
		return time.Duration(min(s, int64(maxRetryAfter.Seconds()))) * time.Second
	}
	return 0
}
