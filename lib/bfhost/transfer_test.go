package bfhost

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bilberryflow.org/lib/bfanswer"
	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bflifecycle"
	"bilberryflow.org/lib/bfpace"
	"bilberryflow.org/lib/bftransfer"
)

// newTransferFixture is newFixture with bounds of transfers, for a target with two slots.
func newTransferFixture(t *testing.T, serve http.HandlerFunc) *fixture {
	r := newFixture(t, serve)
	r.host.transfers = bftransfer.NewSet(bftransfer.Terms{Body: bfpace.Terms{Rate: 1000, Pause: 50 * time.Millisecond}, AnswerPause: 50 * time.Millisecond}, time.Now)
	r.host.WatchTransfers(func(int64) {})
	r.heartbeat("a", 1, bflifecycle.Ready)
	return r
}

// readsBody is a target that reads the body of each request before it answers.
func readsBody(w http.ResponseWriter, q *http.Request) {
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "whole")
}

// upload is a job with a body that is read from a stream.
func upload(id string, from io.Reader, length int64) Job {
	j := job(id)
	j.Request.Method, j.Policy.Repeatable = http.MethodPost, false
	j.Request.Rest, j.Request.Length = bfexchange.NewRemainder(from), length
	j.Deadline = time.Now().Add(30 * time.Second)
	return j
}

// Guards against bodies that don't arrive and keep the slots of their target from other requests.
func TestBodiesThatDoNotArriveGiveUpTheirSlots(t *testing.T) {
	r := newTransferFixture(t, readsBody)
	results := make(chan string, 2)
	for _, id := range []string{"1", "2"} {
		body, sender := io.Pipe()
		defer sender.Close()
		r.group.Go("upload", func(context.Context) error {
			results <- r.run(upload(id, body, 10))
			return nil
		})
	}
	for began := time.Now(); r.runs.Load() < 2 && time.Since(began) < time.Second; time.Sleep(time.Millisecond) {
	}
	waiting := job("3")
	waiting.Policy.MaxSlotWait = time.Second
	r.Equal(r.run(waiting), "200 whole")
	r.Equal(<-results, "lost")
	r.Equal(r.host.TransfersEnded(), int64(1))
	r.Equal(r.host.Health("r").FailureRate, 0.0) // it doesn't speak against the target
}

// Guards against bodies that are cut off although nobody waits for their target.
func TestSlowBodyIsServedInCalm(t *testing.T) {
	r := newTransferFixture(t, readsBody)
	body, sender := io.Pipe()
	r.group.Go("sender", func(context.Context) error {
		for range 3 {
			time.Sleep(120 * time.Millisecond)
			if _, err := sender.Write([]byte("x")); err != nil {
				return nil
			}
		}
		return nil
	})
	r.Equal(r.run(upload("1", body, 3)), "200 whole")
}

// stalledWriter is a caller that doesn't read, until its deadline.
type stalledWriter struct {
	*httptest.ResponseRecorder
	deadline chan time.Time
}

// SetWriteDeadline ends a write.
func (w stalledWriter) SetWriteDeadline(at time.Time) error {
	w.deadline <- at
	return nil
}

// Write waits for the deadline.
func (w stalledWriter) Write([]byte) (int, error) {
	<-w.deadline
	return 0, context.DeadlineExceeded
}

// Guards against answers that nobody reads and that keep the slots of their target.
func TestAnswersThatNobodyReadsGiveUpTheirSlots(t *testing.T) {
	const length = 2 * bfanswer.TargetBufferBytes
	r := newTransferFixture(t, func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/long" {
			_, _ = io.WriteString(w, strings.Repeat("x", length))
			return
		}
		_, _ = io.WriteString(w, "whole")
	})
	for _, id := range []string{"1", "2"} {
		j := job(id)
		j.Request.Target, j.Deadline = "/long", time.Now().Add(30*time.Second)
		answered, ok := r.host.Run(context.Background(), j).(Answered)
		r.True(ok)
		r.group.Go("relay", func(context.Context) error {
			defer answered.Answer.Close()
			w := stalledWriter{httptest.NewRecorder(), make(chan time.Time, 1)}
			bfanswer.Relay(w, httptest.NewRequest(http.MethodGet, "/long", nil), answered.Answer, nil)
			return nil
		})
	}
	waiting := job("3")
	waiting.Policy.MaxSlotWait = time.Second
	r.Equal(r.run(waiting), "200 whole")
	r.Equal(r.host.TransfersEnded(), int64(1))
}
