package bfhost

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bilberryflow.org/lib/bfflight"
)

// crashes keeps what a host tells of its target's ends.
type crashes struct {
	mu  sync.Mutex
	all []bfflight.Crash
}

func (c *crashes) add(crash bfflight.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, crash)
}

func (c *crashes) take() []bfflight.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.all
}

// onCrash has fn called at the end of the target.
func (r *rig) onCrash(fn func(bfflight.Crash)) {
	r.host.parts.Crashed = fn
	r.host.flights = r.host.newFlights()
}

// end ends the target's process as far as its node can see.
func (r *rig) end() {
	r.target.Listener.Close()
	r.target.CloseClientConnections()
}

// Guards against ends of targets that leave no trace of what ran there.
func TestCrashIsToldOnceWithAllThatRan(t *testing.T) {
	begun := make(chan struct{}, 2)
	r := newRig(t, func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		time.Sleep(time.Second)
	})
	var seen crashes
	r.onCrash(seen.add)
	r.beat("a", 1, Ready)
	ends := make(chan string, 2)
	for _, id := range []string{"1", "2"} {
		j := job(id)
		j.Request.Target = "/" + id
		r.group.Go("run", func(context.Context) error { ends <- r.run(j); return nil })
		<-begun
	}
	r.end()
	r.Equal(<-ends, "lost")
	r.Equal(<-ends, "lost")
	r.Equal(len(seen.take()), 1)
	crash := seen.take()[0]
	r.Equal(strings.Fields(crash.Target.Name())[1], "a")
	r.Equal(len(crash.Runs), 2)
	r.Equal(crash.Runs[0].ID, "2") // the newest comes first
	r.True(crash.Runs[0].Key.Content != crash.Runs[1].Key.Content)
}

// Guards against answers that were lost, and planned stops, being taken for crashes.
func TestLostAnswerIsNoCrash(t *testing.T) {
	r := newRig(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	var seen crashes
	r.onCrash(seen.add)
	r.beat("a", 1, Ready)
	r.Equal(r.run(job("1")), "lost")
	r.Equal(len(seen.take()), 0)
}

// Guards against requests being suspected that a target which leaves cuts off.
func TestPlannedStopIsNoCrash(t *testing.T) {
	begun := make(chan struct{}, 1)
	r := newRig(t, func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		time.Sleep(time.Second)
	})
	var seen crashes
	r.onCrash(seen.add)
	r.beat("a", 1, Ready)
	end := make(chan string, 1)
	r.group.Go("run", func(context.Context) error { end <- r.run(job("1")); return nil })
	<-begun
	r.beat("a", 2, Draining)
	r.end()
	r.Equal(<-end, "lost")
	r.Equal(len(seen.take()), 0)
}

// Guards against a target that is back getting no work until the one before it was silent for long.
func TestTargetThatIsBackIsBelievedAtOnce(t *testing.T) {
	r := newRig(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	r.beat("a", 1, Ready)
	r.beat("b", 1, Ready)
	r.Equal(r.host.Target().Incarnation(), "a") // b may be a late word of one that is gone
	r.host.crashed(bfflight.Crash{Target: flightTarget{r.host, r.host.Target()}})
	r.beat("b", 2, Ready)
	r.Equal(r.host.Target().Incarnation(), "b")
	r.beat("a", 1, Ready)
	r.Equal(r.host.Target().Incarnation(), "b")
	r.host.crashed(bfflight.Crash{Target: flightTarget{r.host, r.host.Target()}})
	r.beat("a", 1, Ready) // a late word of a start that ended before
	r.Equal(r.host.Target().Incarnation(), "b")
	r.beat("b", 3, Ready) // it lives, so a third one has to wait
	r.beat("c", 1, Ready)
	r.Equal(r.host.Target().Incarnation(), "b")
}
