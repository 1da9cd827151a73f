package bfcaller_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfcaller"
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfforward"
	"bilberryflow.org/lib/bfheader"
)

const idempotencyKey = bfheader.IdempotencyKey

// A caller sends a nomination with its key again, through another node, and the
// targets must run it once whatever became of the first sending. The resend is
// told what is true: still running, the recorded answer, or that nobody knows.
func TestSameKeyAgain(t *testing.T) {
	cases := map[string]struct {
		// between brings about what happens between the two sendings.
		between func(w *world, at *node, release chan struct{})
		body    string
		status  int
		outcome string
		runs    int
	}{
		"while it runs": {func(*world, *node, chan struct{}) {}, "fuel", http.StatusConflict, bfheader.OutcomeUnknown, 1},
		"after it finished": {func(_ *world, _ *node, release chan struct{}) {
			close(release)
		}, "fuel", http.StatusOK, bfheader.OutcomeDone, 1},
		"after its node left": {func(w *world, at *node, release chan struct{}) {
			// The table fails when the outcome is written first.
			w.table.away.Store(true)
			calls := w.table.calls.Load()
			close(release)
			eventually(w.t, "a failed write", func() bool { return w.table.calls.Load() > calls })
			w.table.away.Store(false)
			at.guard.Leave()
			at.guard.Idle(context.Background())
			at.kill()
			w.mu.Lock()
			at.gone = true
			w.mu.Unlock()
			w.spread()
		}, "fuel", http.StatusOK, bfheader.OutcomeDone, 1},
		"after its node restarted": {func(_ *world, at *node, _ chan struct{}) {
			at.restart()
		}, "fuel", http.StatusGatewayTimeout, bfheader.OutcomeUnknown, 1},
		"while the table is away": {func(w *world, _ *node, release chan struct{}) {
			close(release)
			w.table.away.Store(true)
		}, "fuel", http.StatusServiceUnavailable, bfheader.OutcomeNotRun, 1},
		"with other content": {func(_ *world, _ *node, release chan struct{}) {
			close(release)
		}, "more fuel", http.StatusUnprocessableEntity, bfheader.OutcomeNotRun, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, entry := newEntry(t, bfforward.HTTP1, 2)
			other := w.add("z")
			other.announces(true)
			release := w.held()
			first := later(func() reply { return entry.ask("POST", nominate, "n1", idempotencyKey, "k") })
			at := w.runner("n1")
			c.between(w, at, release)
			select {
			case <-release:
				is.Equal((<-first).outcome, bfheader.OutcomeDone)
			default:
			}
			got := other.askFrom(t.Context(), "POST", nominate, "n1", strings.NewReader(c.body), idempotencyKey, "k")
			is.NoErr(got.err)
			is.Equal(got.status, c.status)
			is.Equal(got.outcome, c.outcome)
			is.Equal(w.ran("n1"), c.runs)
			if c.status == http.StatusOK {
				is.Equal(got.body, "ran n1")
			}
			if c.status == http.StatusServiceUnavailable {
				is.True(got.header.Get(bfheader.RetryAfter) != "")
			}
		})
	}
}

// The platform's table hangs. A nomination with a key waits for it in the
// target's one slot, for a moment, and is refused as not run; the next is
// refused at once, and look-ups, which need no table, are served.
func TestTableThatHangsTakesNoSlots(t *testing.T) {
	is := is.New(t)
	w, entry := newEntry(t, bfforward.HTTP1, 1)
	w.nodes[1].target.slots = 1
	w.nodes[1].announces(false)
	w.table.stuck.Store(true)
	for _, name := range []string{"n1", "n2", "n3"} {
		got := entry.ask("POST", nominate, name, idempotencyKey, name)
		is.Equal(got.outcome, bfheader.OutcomeNotRun)
		is.Equal(w.ran(name), 0)
		if name != "n1" {
			is.True(w.table.calls.Load() == 0)
		}
		w.table.calls.Store(0)
	}
	is.Equal(entry.ask("GET", lookUp, "q1").outcome, bfheader.OutcomeDone)
	w.table.stuck.Store(false)
	eventually(t, "the table is used again", func() bool {
		return entry.ask("POST", nominate, "n4", idempotencyKey, "k4").outcome == bfheader.OutcomeDone
	})
	is.Equal(w.ran("n4"), 1)
}

// mint gets a key for an approval.
func (n *node) mint(is *is.I) string {
	is.Helper()
	got := n.ask("POST", bfcaller.MintPath+"?method=POST&path="+url.QueryEscape(approve), "")
	is.Equal(got.status, http.StatusCreated)
	var key bfcaller.MintedKey
	is.NoErr(json.Unmarshal([]byte(got.body), &key))
	return key.Key
}

// A caller got a key from a node and sends its approval twice. Only the memory
// of the node that made the key may run it: alive, it gives the same answer,
// also when the fleet held it dead for a while and has it under a new
// incarnation; restarted, nobody knows, and it must not run again.
func TestMintedKeys(t *testing.T) {
	is := is.New(t)
	w, entry := newEntry(t, bfforward.HTTP1, 1)
	home := w.nodes[1]
	for name, between := range map[string]func(){
		"again": func() {},
		"under a new incarnation": func() {
			w.mu.Lock()
			home.home.Incarnation = w.clock.Add(1)
			w.mu.Unlock()
			home.guard.AddIncarnation(home.home.Incarnation)
			w.spread()
		},
		"restarted": home.restart,
	} {
		key := entry.mint(is)
		is.Equal(entry.ask("POST", approve, name, idempotencyKey, key).body, "ran "+name)
		between()
		got := entry.ask("POST", approve, name, idempotencyKey, key)
		if name == "restarted" {
			is.Equal(got.outcome, bfheader.OutcomeUnknown)
		} else {
			is.Equal(got.body, "ran "+name)
		}
		is.Equal(entry.ask("POST", approve, "without a key").outcome, bfheader.OutcomeDone)
		is.Equal(w.ran(name), 1)
	}
}

// A key is minted at a node of another service, or by hand. The request must
// not be handed to a target that serves something else.
func TestMintedKeyOfAnotherService(t *testing.T) {
	is := is.New(t)
	w, entry := newEntry(t, bfforward.HTTP1, 1)
	key := entry.mint(is)
	w.mu.Lock()
	w.nodes[1].service = "docs"
	w.mu.Unlock()
	w.spread()
	got := entry.ask("POST", approve, "n1", idempotencyKey, key)
	is.Equal(got.status, http.StatusBadRequest)
	is.Equal(w.ran("n1"), 0)
}

// Callers hang up: one whose approval waits for a slot, one whose approval runs,
// one whose look-up runs. What waits is given up and never runs. What runs and
// is not idempotent runs to its end, so that its key gets the answer; what is
// idempotent is cancelled at the target, which is free for others.
func TestCallerHangsUp(t *testing.T) {
	for _, protocol := range []bfforward.Protocol{bfforward.HTTP1, bfforward.HTTP2} {
		is := is.New(t)
		w, entry := newEntry(t, protocol, 1)
		w.configure(func(policies map[string]*bfconfig.PolicySpec, _ *bfconfig.EventSpec) {
			policies[approve].Deadline, policies[lookUp].Deadline = time.Minute, time.Minute
		})
		home := w.nodes[1]
		home.target.slots = 1
		home.announces(false)
		release := w.held()
		key := entry.mint(is)
		ctx, hangUp := context.WithCancel(context.Background())
		runs := later(func() reply { return entry.askFrom(ctx, "POST", approve, "runs", nil, idempotencyKey, key) })
		w.runner("runs")
		waits := later(func() reply { return entry.askFrom(ctx, "POST", approve, "waits", nil) })
		eventually(t, "one waits", func() bool { return home.guard.InFlight() == 2 })
		hangUp()
		is.True((<-runs).err != nil)
		is.True((<-waits).err != nil)
		eventually(t, "none waits", func() bool { return home.guard.InFlight() == 1 })
		close(release)
		eventually(t, "all ended", func() bool { return home.guard.InFlight() == 0 })
		got := entry.askFrom(context.Background(), "POST", approve, "runs", nil, idempotencyKey, key)
		is.Equal(got.body, "ran runs")
		is.Equal(w.ran("runs"), 1)
		is.Equal(w.ran("waits"), 0)

		w.held()
		ctx, hangUp = context.WithCancel(context.Background())
		lookedUp := later(func() reply { return entry.askFrom(ctx, "GET", lookUp, "q1", nil) })
		w.runner("q1")
		hangUp()
		<-lookedUp
		eventually(t, "the target is free", func() bool { return home.guard.InFlight() == 0 })
	}
}

// Two look-ups share a connection and the second is answered first; a third is
// cancelled between them and its answer comes late. Each caller gets the answer
// to its own request.
func TestAnswersOutOfOrder(t *testing.T) {
	is := is.New(t)
	w, entry := newEntry(t, bfforward.HTTP2, 1)
	gates := map[string]chan struct{}{"q1": make(chan struct{}), "q2": make(chan struct{}), "q3": make(chan struct{})}
	w.nodes[1].target.does(func(rw http.ResponseWriter, r *http.Request) {
		name := r.Header.Get(order)
		<-gates[name]
		_, _ = io.WriteString(rw, strings.Repeat("ran "+name+" ", 100))
	})
	ctx, hangUp := context.WithCancel(context.Background())
	answers := map[string]<-chan reply{}
	for name := range gates {
		ctx := ctx
		if name != "q3" {
			ctx = context.Background()
		}
		answers[name] = later(func() reply { return entry.askFrom(ctx, "GET", lookUp, name, nil) })
		w.runner(name)
	}
	hangUp()
	is.True((<-answers["q3"]).err != nil)
	for _, name := range []string{"q3", "q2", "q1"} {
		close(gates[name])
		if name != "q3" {
			is.Equal((<-answers[name]).body, strings.Repeat("ran "+name+" ", 100))
		}
	}
}
