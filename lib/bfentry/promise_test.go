package bfentry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"bilberryflow.org/lib/bfbudget"
	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bftraffic"
)

// answerWithoutProof runs the request and answers with a status that promises that it has not.
func answerWithoutProof(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Signature", "of the target")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "overloaded")
	}
}

// Guards against promising that a request has not run by the status of a target that does not state so.
func TestStatusWithoutProofIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			m := newMesh(t, bfbudget.Terms{}, answerWithoutProof(status))
			answer, header := m.send(http.MethodPost, "/approve/1", nil)
			m.Equal(answer, "502 ")
			m.Equal(header.Get("T-Signature"), "") // the answer is not the target's
			m.Equal(header.Get("Retry-After"), "")
			m.Equal(m.runs(), int32(1))
			// Where a second run does no harm, the target's answer is returned as it is.
			answer, header = m.send(http.MethodGet, "/look/1", nil)
			m.Equal(answer, fmt.Sprint(status, " overloaded"))
			m.Equal(header.Get("T-Signature"), "of the target")
		})
	}
}

// Guards against a second run of a request whose target answers 421 without stating that it has not run.
func TestMisdirectedWithoutProofIsNotSentAgain(t *testing.T) {
	misdirected := answerWithoutProof(http.StatusMisdirectedRequest)
	m := newMesh(t, generous, misdirected, misdirected, misdirected)
	answer, _ := m.send(http.MethodPost, "/approve/1", nil)
	m.Equal(answer, "502 ")
	m.Equal(m.runs(), int32(1))
}

// Guards against losing a request that reached another incarnation, which states that it has not run it.
func TestMisdirectedRequestGoesToTheNextNode(t *testing.T) {
	misdirected := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	}
	m := newMesh(t, bfbudget.Terms{}, misdirected, misdirected, hello)
	for i := range 10 {
		answer, _ := m.send(http.MethodPost, fmt.Sprint("/approve/", i), nil)
		m.Equal(answer, "200 hello")
	}
}

// repeatingTarget sheds the first request of each connection, and repeats that answer before the next one.
type repeatingTarget struct{ ran atomic.Int32 }

func (r *repeatingTarget) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	c, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	shed := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", names.RequestID, q.Header.Get(names.RequestID), names.NotRun)
	_, _ = io.WriteString(c, shed)
	for repeated := shed; ; repeated = "" {
		next, err := http.ReadRequest(buffered.Reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, next.Body)
		r.ran.Add(1)
		_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 3\r\n\r\nran", repeated, names.RequestID, next.Header.Get(names.RequestID))
	}
}

// occupy has a node's target run requests on all its slots until the test ends.
func (m *mesh) occupy(t *testing.T, n *node) {
	t.Helper()
	began, release := make(chan struct{}), make(chan struct{})
	n.serve = func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}
		<-release
	}
	group := bfgroup.New(context.Background())
	t.Cleanup(func() { close(release) })
	for i := range slots {
		id := fmt.Sprint("occupying-", i)
		job := bfhost.Job{
			Request:  &bfexchange.Request{Method: http.MethodGet, Target: "/", Host: "h.example", ID: id, Header: http.Header{names.RequestID: {id}}},
			Deadline: time.Now().Add(time.Minute), Policy: bfhost.Policy{Service: "portal", Class: "look", Repeatable: true},
		}
		group.Go("request", func(ctx context.Context) error {
			n.host.Run(ctx, job)
			return nil
		})
		<-began
	}
}

// Guards against refusing a request that ran, since its target repeats that it shed its first send.
func TestRefusalRepeatedByTheTargetIsNotPassedOn(t *testing.T) {
	target := new(repeatingTarget)
	m := newMesh(t, generous, hello, target.ServeHTTP)
	m.occupy(t, m.nodes[0])
	urgent, other := testRoute("approve", "/approve/", bftraffic.NonIdempotent), testRoute("look", "/look/", bftraffic.Idempotent)
	other.Rank = 1
	urgent.MaxAttempts = 3
	snapshot, err := bftraffic.NewSnapshot(bftraffic.Spec{
		Version: 2, Services: []bftraffic.ServiceSpec{{Name: "portal"}}, Routes: []bftraffic.RouteSpec{urgent, other},
	})
	m.NoErr(err)
	m.entry.config.Traffic.Adopt(snapshot)
	for i := range 20 {
		before := target.ran.Load()
		answer, _ := m.send(http.MethodPost, fmt.Sprint("/approve/", i), nil)
		ran := target.ran.Load() - before
		m.True(ran <= 1)                        // it is not idempotent
		m.True(ran == 0 || answer == "200 ran") // what ran is not refused
	}
}
