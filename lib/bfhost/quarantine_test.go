package bfhost

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bfquarantine"
)

// suspect has so many targets end under a job's request.
func (r *rig) suspect(j Job, ends int) {
	key := bfquarantine.KeyOf(Asked(j.Request, names.CallerService))
	for i := range ends {
		r.host.parts.Quarantine.Crashed(bfquarantine.CrashOf(fmt.Sprint("end ", i)), []bfquarantine.Key{key}, time.Now())
	}
}

// Guards against a request that ended targets elsewhere being handed to this one.
func TestHeldRequestDoesNotRun(t *testing.T) {
	r := newRig(t, hello)
	r.beat("a", 1, Ready)
	bad := job("1")
	r.suspect(bad, 3)
	end := r.host.Run(context.Background(), bad).(Refused)
	r.Equal(end.Reason, Quarantined)
	r.True(end.RetryAfter > 4*time.Minute)
	r.Equal(r.runs.Load(), int32(0))
	beside := job("2")
	beside.Request.Head, beside.Request.Length = []byte("body"), 4 // the same path
	r.Equal(r.run(beside), "200 hello")
}

// Guards against the end of a target speaking against two suspected requests at once.
func TestSuspectedRequestsRunOneAtATime(t *testing.T) {
	begun, finish := make(chan struct{}, 1), make(chan struct{})
	r := newRig(t, func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/slow" {
			begun <- struct{}{}
			<-finish
		}
		hello(w, q)
	})
	r.beat("a", 1, Ready)
	slow, other := job("1"), job("2")
	slow.Request.Target = "/slow"
	r.suspect(slow, 2)
	r.suspect(other, 2)
	end := make(chan string, 1)
	r.group.Go("run", func(context.Context) error { end <- r.run(slow); return nil })
	<-begun
	r.Equal(r.run(other), "refused full")
	r.Equal(r.run(func() Job { j := job("3"); j.Request.Target = "/third"; return j }()), "200 hello")
	close(finish)
	r.Equal(<-end, "200 hello")
	r.Equal(r.run(other), "200 hello")
	r.True(!r.host.parts.Quarantine.View().Watches()) // the answers cleared both
}

// Guards against a request staying held that is answered meanwhile.
func TestAnswerOfARunningRequestClearsIt(t *testing.T) {
	begun, finish := make(chan struct{}, 1), make(chan struct{})
	r := newRig(t, func(w http.ResponseWriter, q *http.Request) {
		begun <- struct{}{}
		<-finish
		hello(w, q)
	})
	r.beat("a", 1, Ready)
	popular := job("1")
	end := make(chan string, 1)
	r.group.Go("run", func(context.Context) error { end <- r.run(popular); return nil })
	<-begun
	r.suspect(popular, 3)
	r.True(r.host.parts.Quarantine.View().Holds())
	close(finish)
	r.Equal(<-end, "200 hello")
	r.True(!r.host.parts.Quarantine.View().Holds())
}

// Guards against a request that waits for a slot being run, though it came to be held meanwhile.
func TestRequestIsHeldWhileItWaits(t *testing.T) {
	finish := make(chan struct{})
	r := newRig(t, func(w http.ResponseWriter, q *http.Request) {
		<-finish
		hello(w, q)
	})
	r.beat("a", 1, Ready)
	end := make(chan string, 3)
	for _, target := range []string{"/one", "/two"} {
		j := job(target)
		j.Request.Target = target
		r.group.Go("run", func(context.Context) error { end <- r.run(j); return nil })
	}
	for r.runs.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	waiting := job("waiting")
	waiting.Policy.Patience = time.Second
	refused := make(chan string, 1)
	r.group.Go("wait", func(context.Context) error { refused <- r.run(waiting); return nil })
	time.Sleep(20 * time.Millisecond)
	r.suspect(waiting, 3)
	close(finish)
	r.Equal(<-refused, "refused quarantined")
	r.Equal(r.runs.Load(), int32(2))
}

// Guards against a request passing for another one since its body comes in chunks.
func TestSameRequestHasTheSameKeyHoweverItIsSent(t *testing.T) {
	is := is.New(t)
	var keys []bfquarantine.Key
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		request, err := ReadRequest(r, names.RequestID)
		is.NoErr(err)
		keys = append(keys, bfquarantine.KeyOf(Asked(request, names.CallerService)))
	}))
	defer server.Close()
	client := bfexchange.New(bfexchange.Options{DialTimeout: time.Second})
	for i, length := range []int64{4, bfexchange.Chunked, 4} {
		header := http.Header{names.CallerService: {"c"}, names.RequestID: {fmt.Sprint(i)}, names.Deadline: {fmt.Sprint(100 * i)}}
		answer, err := client.Send(context.Background(), strings.TrimPrefix(server.URL, "http://"), &bfexchange.Request{
			Method: http.MethodPost, Target: "/x?y", Host: "h", Header: header, Head: []byte("body"), Length: length,
		})
		is.NoErr(err)
		answer.Close()
	}
	is.Equal(keys[0], keys[1])
	is.Equal(keys[0], keys[2])
	is.Equal(keys[0], bfquarantine.KeyOf(bfquarantine.Request{
		Method: http.MethodPost, Host: "h", Target: "/x?y", Caller: "c", Body: []byte("body"), Length: 4,
	}))
}
