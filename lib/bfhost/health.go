package bfhost

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bilberryflow.org/lib/bfanswer"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfshare"
)

// Health is the recent performance of a target, as measured by its node.
type Health struct {
	// FailureRate is the share of requests that the target shed, failed or did not answer.
	FailureRate float64
	// MeanRunTime is the average run time of one class of requests, 0 if none has run.
	MeanRunTime time.Duration
}

// failureShare is the share of recent requests that failed; the zero value is 0.
type failureShare struct{ bfshare.Share }

// record counts the result of a job that was sent to the target.
func (f *failureShare) record(result Result) {
	switch result := result.(type) {
	case Answered:
		f.Note(result.Answer.Status >= http.StatusInternalServerError)
	case Lost:
		if !result.UnderLoad {
			f.Note(true)
		}
	case Shed:
		f.Note(true)
	case Refused, Expired:
	}
}

// watchEnd counts an answer that states no length and has no end by its deadline as a failure. ctx is
// that of the send: its cancellation by the caller is none.
func (h *Host) watchEnd(ctx context.Context, answer *bfanswer.Answer) {
	if answer.Rest != nil && answer.Length < 0 {
		answer.Rest = &watchedBody{answer.Rest, ctx, &h.failures}
	}
}

// watchedBody is the body of an answer without a stated length.
type watchedBody struct {
	body     io.Reader
	ctx      context.Context
	failures *failureShare
}

// Read reads the body.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(b.ctx.Err(), context.Canceled) {
		b.failures.Note(true)
	}
	return n, err
}

// Health is the target's health, with the run time of a class.
func (h *Host) Health(class string) Health {
	return Health{FailureRate: h.failures.Value(), MeanRunTime: h.gate.MeanHold(class)}
}

// WriteHealth writes the target's health to the header of an answer between nodes.
//
// In a large fleet each entry rarely sends to a given target, so its own samples would be
// late; the target's node has them all.
func WriteHealth(h http.Header, t Health) {
	h[bfheader.Track] = []string{strconv.FormatFloat(t.FailureRate, 'f', 2, 64) + "/" + strconv.FormatInt(t.MeanRunTime.Microseconds(), 10)}
}

// ReadHealth parses what WriteHealth wrote; ok is false if the header is missing or malformed.
func ReadHealth(h http.Header) (health Health, ok bool) {
	before, after, found := strings.Cut(h.Get(bfheader.Track), "/")
	share, errShare := strconv.ParseFloat(before, 64)
	running, errRunning := strconv.ParseInt(after, 10, 64)
	if !found || errShare != nil || errRunning != nil {
		return Health{}, false
	}
	return Health{FailureRate: share, MeanRunTime: time.Duration(running) * time.Microsecond}, true
}
