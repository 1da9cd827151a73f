package bfhost

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfpacer"
)

// A caller downloads through another node while this one stops. The target has
// given its whole answer and works on nothing; the slow link still takes it away.
// A node that counted the target's work alone would exit now, and the caller
// would get half of its download.
func TestAnswerOnItsWayKeepsTheNode(t *testing.T) {
	const length = 64 << 10
	const linkMbps = 2 // 64 kB take a third of a second
	r := newRig(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(bytes.Repeat([]byte("x"), length)) })
	r.beat("a", 1, Ready)
	server := httptest.NewServer(NewInbound(r.host, bfpacer.New(r.host.parts.Timer, linkMbps)))
	t.Cleanup(server.Close)
	request, err := http.NewRequest(http.MethodGet, server.URL+"/x", nil)
	r.NoErr(err)
	request.Header.Set(names.RequestID, "1")
	request.Header.Set(names.Deadline, "2000")
	WritePolicy(request.Header, job("1").Policy)
	response, err := http.DefaultClient.Do(request)
	r.NoErr(err)
	defer response.Body.Close()
	r.Equal(response.Header.Get(bfheader.Outcome), "")
	r.True(r.host.Running() > 0) // the answer is on its way
	body, err := io.ReadAll(response.Body)
	r.NoErr(err)
	r.Equal(len(body), length)
	for began := time.Now(); r.host.Running() > 0; time.Sleep(time.Millisecond) {
		r.True(time.Since(began) < time.Second)
	}
}

// The node's link is taken up by downloads. Another download is refused, so that
// its entry asks a node whose link is free; one that has nowhere else to go, and a
// short answer, are taken.
func TestBusyLinkRefusesDownloads(t *testing.T) {
	r := newRig(t, hello)
	r.beat("a", 1, Ready)
	pacer := bfpacer.New(r.host.parts.Timer, 5)
	busy := pacer.Begin(1 << 20)
	inbound := NewInbound(r.host, pacer)
	ask := func(patience time.Duration) *httptest.ResponseRecorder {
		request := httptest.NewRequest(http.MethodGet, "/x", nil)
		request.Header.Set(names.RequestID, "1")
		request.Header.Set(names.Deadline, "2000")
		policy := job("1").Policy
		policy.LinkPatience = patience
		WritePolicy(request.Header, policy)
		answer := httptest.NewRecorder()
		inbound.ServeHTTP(answer, request)
		return answer
	}
	refused := ask(500 * time.Millisecond)
	r.Equal(refused.Header().Get(bfheader.Reason), string(Full))
	r.True(ReadBacklog(refused.Header()) > time.Second)
	r.Equal(r.runs.Load(), int32(0))
	r.Equal(ask(0).Code, http.StatusOK)
	busy.End()
	r.Equal(ask(500*time.Millisecond).Code, http.StatusOK)
}
