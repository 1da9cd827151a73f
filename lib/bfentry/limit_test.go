package bfentry

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bflimit"
)

// limited answers and names a limit.
func limited(perSecond string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.Limit, perSecond)
		hello(w, r)
	}
}

// Guards against refusing requests beyond the limit of one target while others have room, and against
// a target that gets them all the same.
func TestRequestsBeyondALimitGoElsewhere(t *testing.T) {
	m := newMesh(t, generous, limited("5"), hello)
	for len(m.nodes) > 0 && m.nodes[0].runs.Load() == 0 {
		m.send(http.MethodGet, "/look/first", nil)
	}
	before, began := m.nodes[0].runs.Load(), time.Now()
	const requests = 300
	for i := range requests {
		answer, header := m.send(http.MethodPost, fmt.Sprint("/approve/", i), nil)
		m.Equal(answer, "200 hello")
		m.Equal(header.Get(bfheader.TargetLimit), "")
	}
	got := float64(m.nodes[0].runs.Load() - before)
	m.True(got <= 5*time.Since(began).Seconds()+2)
	m.True(float64(m.nodes[1].runs.Load()) >= requests-got)
}

// Guards against requests that wait for a target beyond its limit, or are refused without a retry
// delay, where no target has room.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	m := newMesh(t, generous, limited("2"))
	answer, _ := m.send(http.MethodPost, "/approve/first", nil)
	m.Equal(answer, "200 hello")
	began := time.Now()
	answer, header := m.send(http.MethodPost, "/approve/second", nil)
	m.Equal(answer, "503 ")
	m.True(time.Since(began) < 300*time.Millisecond)
	after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	m.NoErr(err)
	m.True(after > 0)
	m.Equal(m.nodes[0].runs.Load(), int32(1))
	time.Sleep(600 * time.Millisecond)
	answer, _ = m.send(http.MethodPost, "/approve/third", nil)
	m.Equal(answer, "200 hello")
}

// Guards against a limit that is lost when the target's node restarts: the entry sends it with the next request.
func TestEntrySendsARestartedNodeTheLimit(t *testing.T) {
	m := newMesh(t, generous, limited("3"))
	m.fleet.Replace([]bffleet.Member{{Inbound: m.nodes[0].address(), Service: "portal", Domain: "nord", Slots: slots, Incarnation: "a"}})
	m.send(http.MethodPost, "/approve/first", nil)
	var target *bffleet.Target
	for target == nil {
		target = m.fleet.Pick(bffleet.Demand{Service: "portal"}, time.Now(), nil).Target()
	}
	m.Equal(target.Limit().Limit, bflimit.PerSecond(3))
	restarted := newTestNode(t, m.entry.config.Timer, m.account(generous), limited("3"))
	m.nodes[0].inbound.Config.Handler = bfhost.NewInbound(restarted.host, nil)
	answer, _ := m.send(http.MethodPost, "/approve/second", nil)
	m.Equal(answer, "503 ")
	m.Equal(restarted.runs.Load(), int32(0))
}

// Guards against an entry that sends a target which has said in an answer that it leaves more requests,
// when the node beside it has restarted and takes it for ready.
func TestEntryRemembersThatATargetLeaves(t *testing.T) {
	leaving := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.Leaving, "1")
		hello(w, r)
	}
	m := newMesh(t, generous, leaving)
	m.fleet.Replace([]bffleet.Member{{Inbound: m.nodes[0].address(), Service: "portal", Domain: "nord", Slots: slots, Incarnation: "a"}})
	answer, header := m.send(http.MethodPost, "/approve/first", nil)
	m.Equal(answer, "200 hello")
	m.Equal(header.Get(names.Leaving), "1") // the target's own header reaches the caller
	m.Equal(header.Get(bfheader.TargetLeaving), "")
	restarted := newTestNode(t, m.entry.config.Timer, m.account(generous), leaving)
	m.nodes[0].inbound.Config.Handler = bfhost.NewInbound(restarted.host, nil)
	for range 3 {
		answer, _ = m.send(http.MethodPost, "/approve/second", nil)
		m.Equal(answer, "503 ")
	}
	m.Equal(restarted.runs.Load(), int32(0))
}
