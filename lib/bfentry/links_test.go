package bfentry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bflink"
	"bilberryflow.org/lib/bfpacer"
	"bilberryflow.org/lib/bftraffic"
)

// recordLongAnswers records what the entry states of the answers that the first node will send.
func (m *mesh) recordLongAnswers() *atomic.Value {
	var stated atomic.Value
	serve := m.nodes[0].inbound.Config.Handler
	m.nodes[0].inbound.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stated.Store(r.Header.Get(bfheader.LongAnswer))
		serve.ServeHTTP(w, r)
	})
	return &stated
}

// setLink sets the bandwidth of the first node's link.
func (m *mesh) setLink(mbps int) {
	member := m.fleet.Members()[0]
	member.LinkMbps = mbps
	m.fleet.Change(append(m.fleet.Members()[:0], member), nil)
}

// Guards against a changed encoding of requests to nodes behind fast links, and against long answers of a
// narrow link of which its node learns only when they begin.
func TestEntryStatesLongAnswersOfNarrowLinks(t *testing.T) {
	const length = 4 * bflink.LongAnswer
	m := newMesh(t, generous, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", length)) })
	stated := m.recordLongAnswers()
	look := func() string {
		answer, _ := m.send(http.MethodGet, "/look/1", nil)
		m.Equal(len(answer), len("200 ")+length)
		return stated.Load().(string)
	}
	m.Equal(look(), "") // the length is not known yet
	m.Equal(look(), "") // the link is not known to be narrow
	m.setLink(1000)
	m.Equal(look(), "")
	m.setLink(14)
	left, bytes, _ := strings.Cut(look(), "/")
	m.True(left != "" && left[0] != '-')
	m.Equal(bytes, "65536")
	// The caller may have its answer before the entry is done with it.
	m.await(func() bool { return m.entry.Active() == 0 })
	m.Equal(m.entry.incoming.Bytes(), int64(0)) // all have arrived
}

// newLook makes a call of the route look that a caller sent some time ago, whose answers are long.
func (m *mesh) newLook(ago time.Duration) *call {
	now := time.Now()
	route := m.entry.config.Traffic.Current().Match("h.example", "/look/1")
	m.entry.answers.Add(route.Name(), 4*bflink.LongAnswer)
	return &call{handler: m.entry, caller: context.Background(), route: route, service: "portal", arrived: now.Add(-ago), callerDeadline: now.Add(time.Second)}
}

// Guards against requests that are late already and ask every narrow link for room, which costs bytes of
// the links that others could use.
func TestLateRequestsAskOneNarrowLink(t *testing.T) {
	m := newMesh(t, generous, hello)
	m.setLink(14)
	early, late := m.newLook(0), m.newLook(time.Second)
	target := m.fleet.Pick(late.demand(bfhost.Refused{}), time.Now(), nil).Target()
	m.True(!early.isLateForLink(target))
	m.True(late.isLateForLink(target))
	m.setLink(1000)
	target = m.fleet.Pick(late.demand(bfhost.Refused{}), time.Now(), nil).Target()
	m.True(!late.isLateForLink(target))
}

// Guards against a route without an objective whose answers always count as late: a link with any backlog would
// refuse them.
func TestRouteWithoutObjectiveIsNeverLateForLink(t *testing.T) {
	m := newMesh(t, generous, hello)
	m.setLink(14)
	now := time.Now()
	snapshot, err := bftraffic.NewSnapshot(bftraffic.Spec{Version: 1, Services: []bftraffic.ServiceSpec{{Name: "portal"}}, Routes: []bftraffic.RouteSpec{{
		Name: "bulk", Host: "h.example", Prefix: "/", Kind: bftraffic.Download, Timeout: time.Second, MaxAttempts: 2,
		Destinations: []bftraffic.Destination{{Service: "portal", Weight: 1}},
	}}})
	m.NoErr(err)
	c := &call{handler: m.entry, caller: context.Background(), route: snapshot.Match("h.example", "/x"), service: "portal", arrived: now, callerDeadline: now.Add(time.Second)}
	target := m.fleet.Pick(c.demand(bfhost.Refused{}), now, nil).Target()
	m.True(!c.isLateForLink(target))
	m.True(c.longAnswer(target) == nil)
}

// Guards against a caller that is told the longest of several waits.
func TestRefusalOfTheFirstFreeLinkIsReported(t *testing.T) {
	m := newMesh(t, generous, hello)
	c := m.newLook(0)
	long, short := bfhost.Refused{Reason: bfhost.Full, RetryAfter: time.Second}, bfhost.Refused{Reason: bfhost.Full, RetryAfter: time.Millisecond}
	m.Equal(c.preferRefusal(long, short), long) // as before
	c.narrowLink = true
	m.Equal(c.preferRefusal(long, short), short)
	m.Equal(c.preferRefusal(short, long), short)
	m.Equal(c.preferRefusal(bfhost.Refused{Reason: bfhost.NoTarget}, long), long)
}

// Guards against an entry behind a narrow link that fetches more than its link takes in time: the time left
// that it states excludes what is on its way already.
func TestStatedTimeExcludesAnswersOnTheirWay(t *testing.T) {
	m := newMesh(t, generous, hello)
	m.setLink(14)
	m.entry.config.Pacer = bfpacer.New(m.entry.config.Timer, 14)
	c := m.newLook(0)
	target := m.fleet.Pick(c.demand(bfhost.Refused{}), time.Now(), nil).Target()
	free := c.longAnswer(target).Left
	end := m.entry.incoming.Expect(1 << 20) // more than half a second
	m.True(c.longAnswer(target).Left < free-500*time.Millisecond)
	end()
	m.True(c.longAnswer(target).Left > free-100*time.Millisecond)
}
