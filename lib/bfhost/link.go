package bfhost

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bflink"
	"bilberryflow.org/lib/bfpacer"
)

// LongAnswer is what an entry states of a request whose answer uses a narrow link.
type LongAnswer struct {
	// Left is the time left until the objective; it may be negative.
	Left time.Duration
	// Bytes is the expected length of the answer, 0 if unknown.
	Bytes int64
}

func (a *LongAnswer) write(h http.Header) {
	if a != nil {
		h[bfheader.LongAnswer] = []string{strconv.FormatInt(a.Left.Milliseconds(), 10) + "/" + strconv.FormatInt(a.Bytes, 10)}
	}
}

// readLongAnswer parses what write wrote, nil if the header is missing or malformed.
func readLongAnswer(h http.Header) *LongAnswer {
	before, after, _ := strings.Cut(h.Get(bfheader.LongAnswer), "/")
	left, errLeft := strconv.ParseInt(before, 10, 64)
	bytes, errBytes := strconv.ParseInt(after, 10, 64)
	if errLeft != nil || errBytes != nil || bytes < 0 {
		return nil
	}
	return &LongAnswer{Left: time.Duration(left) * time.Millisecond, Bytes: bytes}
}

// admitToLink reserves room on the node's link for the answer, or refuses the job if another node can
// answer sooner or none in time. Entries of an older version state no objective.
func (i *Inbound) admitToLink(policy Policy) (*bfpacer.Reservation, Result) {
	request := bflink.Request{Class: policy.Class, Run: i.expectedRun(policy.Class), MaxWait: policy.MaxLinkWait}
	if policy.LongAnswer == nil {
		if refused, busy := i.exceedsLinkWait(policy); busy {
			return nil, refused
		}
		return i.pacer.Reserve(request), nil
	}
	request.Left, request.Stated = policy.LongAnswer.Left, policy.LongAnswer.Bytes
	reservation, err := i.pacer.Admit(request)
	var full *bflink.FullError
	if errors.As(err, &full) {
		return nil, Refused{Reason: Full, RetryAfter: full.RetryAfter}
	}
	if reservation == nil && request.Stated == 0 {
		// No length is known before the first answer, so none could be reserved.
		if refused, busy := i.exceedsLinkWait(policy); busy {
			return nil, refused
		}
	}
	return reservation, nil
}

// exceedsLinkWait returns the refusal of a job whose MaxLinkWait is shorter than the link's backlog.
func (i *Inbound) exceedsLinkWait(policy Policy) (refused Refused, busy bool) {
	backlog, limit := i.pacer.Backlog(), policy.MaxLinkWait
	return Refused{Reason: Full, RetryAfter: backlog - limit}, limit > 0 && backlog > limit
}

// expectedRun returns the time until the target answers a request of a class, 0 if unknown. The slot of
// an answer that exceeds the buffers is held while the link sends it, which is no run time.
func (i *Inbound) expectedRun(class string) time.Duration {
	run := time.Duration(i.runTimes.Get(class))
	used, slots := i.host.Load()
	if waiting := used + 1 - slots; waiting > 0 && slots > 0 {
		run += run * time.Duration(waiting) / time.Duration(slots)
	}
	return run
}
