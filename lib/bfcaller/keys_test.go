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

// Guards against running a nomination twice when its key is sent again through
// another node, and against a wrong status of the second request.
func TestRetryWithSameKey(t *testing.T) {
	cases := map[string]struct {
		// between changes the cluster between the two requests.
		between func(cluster *cluster, at *node, release chan struct{})
		body    string
		status  int
		outcome string
		runs    int
	}{
		"while it runs": {func(*cluster, *node, chan struct{}) {}, "fuel", http.StatusConflict, bfheader.OutcomeUnknown, 1},
		"after it finished": {func(_ *cluster, _ *node, release chan struct{}) {
			close(release)
		}, "fuel", http.StatusOK, bfheader.OutcomeDone, 1},
		"after its node left": {func(cluster *cluster, at *node, release chan struct{}) {
			// The first write of the outcome fails.
			cluster.table.unavailable.Store(true)
			calls := cluster.table.calls.Load()
			close(release)
			eventually(cluster.t, "a failed write", func() bool { return cluster.table.calls.Load() > calls })
			cluster.table.unavailable.Store(false)
			at.guard.Leave()
			at.guard.Idle(context.Background())
			at.kill()
			cluster.mu.Lock()
			at.gone = true
			cluster.mu.Unlock()
			cluster.publishMembership()
		}, "fuel", http.StatusOK, bfheader.OutcomeDone, 1},
		"after its node restarted": {func(_ *cluster, at *node, _ chan struct{}) {
			at.restart()
		}, "fuel", http.StatusGatewayTimeout, bfheader.OutcomeUnknown, 1},
		"while the table is unavailable": {func(cluster *cluster, _ *node, release chan struct{}) {
			close(release)
			cluster.table.unavailable.Store(true)
		}, "fuel", http.StatusServiceUnavailable, bfheader.OutcomeNotRun, 1},
		"with other content": {func(_ *cluster, _ *node, release chan struct{}) {
			close(release)
		}, "more fuel", http.StatusUnprocessableEntity, bfheader.OutcomeNotRun, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cluster, entry := newEntry(t, bfforward.HTTP1, 2)
			other := cluster.addNode("z")
			other.announceTarget(true)
			release := cluster.blockTargets()
			first := inBackground(func() reply { return entry.send("POST", nominate, "n1", idempotencyKey, "k") })
			at := cluster.waitRunning("n1")
			c.between(cluster, at, release)
			select {
			case <-release:
				is.Equal((<-first).outcome, bfheader.OutcomeDone)
			default:
			}
			got := other.sendBody(t.Context(), "POST", nominate, "n1", strings.NewReader(c.body), idempotencyKey, "k")
			is.NoErr(got.err)
			is.Equal(got.status, c.status)
			is.Equal(got.outcome, c.outcome)
			is.Equal(cluster.runCount("n1"), c.runs)
			if c.status == http.StatusOK {
				is.Equal(got.body, "ran n1")
			}
			if c.status == http.StatusServiceUnavailable {
				is.True(got.header.Get(bfheader.RetryAfter) != "")
			}
		})
	}
}

// Guards against a hanging table occupying the target's slots: nominations with
// keys are refused as not run, and look-ups, which need no table, are served.
func TestHangingTableOccupiesNoSlots(t *testing.T) {
	is := is.New(t)
	cluster, entry := newEntry(t, bfforward.HTTP1, 1)
	cluster.nodes[1].target.slots = 1
	cluster.nodes[1].announceTarget(false)
	cluster.table.hanging.Store(true)
	for _, name := range []string{"n1", "n2", "n3"} {
		got := entry.send("POST", nominate, name, idempotencyKey, name)
		is.Equal(got.outcome, bfheader.OutcomeNotRun)
		is.Equal(cluster.runCount(name), 0)
		if name != "n1" {
			is.True(cluster.table.calls.Load() == 0)
		}
		cluster.table.calls.Store(0)
	}
	is.Equal(entry.send("GET", lookUp, "q1").outcome, bfheader.OutcomeDone)
	cluster.table.hanging.Store(false)
	eventually(t, "the table is used again", func() bool {
		return entry.send("POST", nominate, "n4", idempotencyKey, "k4").outcome == bfheader.OutcomeDone
	})
	is.Equal(cluster.runCount("n4"), 1)
}

// mintKey returns a minted key for an approval.
func (n *node) mintKey(is *is.I) string {
	is.Helper()
	got := n.send("POST", bfcaller.MintPath+"?method=POST&path="+url.QueryEscape(approve), "")
	is.Equal(got.status, http.StatusCreated)
	var key bfcaller.MintedKey
	is.NoErr(json.Unmarshal([]byte(got.body), &key))
	return key.Key
}

// Guards against a second run of a request with a minted key. The node that minted
// it returns the recorded response, also under a new incarnation after a false
// failure detection; after a restart the outcome is unknown.
func TestMintedKeys(t *testing.T) {
	is := is.New(t)
	cluster, entry := newEntry(t, bfforward.HTTP1, 1)
	home := cluster.nodes[1]
	for name, between := range map[string]func(){
		"again": func() {},
		"under a new incarnation": func() {
			cluster.mu.Lock()
			home.home.Incarnation = cluster.lastIncarnation.Add(1)
			cluster.mu.Unlock()
			home.guard.AddIncarnation(home.home.Incarnation)
			cluster.publishMembership()
		},
		"restarted": home.restart,
	} {
		key := entry.mintKey(is)
		is.Equal(entry.send("POST", approve, name, idempotencyKey, key).body, "ran "+name)
		between()
		got := entry.send("POST", approve, name, idempotencyKey, key)
		if name == "restarted" {
			is.Equal(got.outcome, bfheader.OutcomeUnknown)
		} else {
			is.Equal(got.body, "ran "+name)
		}
		is.Equal(entry.send("POST", approve, "without a key").outcome, bfheader.OutcomeDone)
		is.Equal(cluster.runCount(name), 1)
	}
}

// Guards against sending a request to a target of another service when its key was
// minted there or forged.
func TestMintedKeyOfAnotherService(t *testing.T) {
	is := is.New(t)
	cluster, entry := newEntry(t, bfforward.HTTP1, 1)
	key := entry.mintKey(is)
	cluster.mu.Lock()
	cluster.nodes[1].service = "docs"
	cluster.mu.Unlock()
	cluster.publishMembership()
	got := entry.send("POST", approve, "n1", idempotencyKey, key)
	is.Equal(got.status, http.StatusBadRequest)
	is.Equal(cluster.runCount("n1"), 0)
}

// Guards against work for callers that disconnect: queued requests are dropped,
// running idempotent requests are canceled at the target, and running requests that
// are not idempotent finish so that their keys get the response.
func TestCallerDisconnects(t *testing.T) {
	for _, protocol := range []bfforward.Protocol{bfforward.HTTP1, bfforward.HTTP2} {
		is := is.New(t)
		cluster, entry := newEntry(t, protocol, 1)
		cluster.configure(func(policies map[string]*bfconfig.PolicySpec, _ *bfconfig.EventSpec) {
			policies[approve].Deadline, policies[lookUp].Deadline = time.Minute, time.Minute
		})
		home := cluster.nodes[1]
		home.target.slots = 1
		home.announceTarget(false)
		release := cluster.blockTargets()
		key := entry.mintKey(is)
		ctx, cancel := context.WithCancel(context.Background())
		runs := inBackground(func() reply { return entry.sendBody(ctx, "POST", approve, "runs", nil, idempotencyKey, key) })
		cluster.waitRunning("runs")
		waits := inBackground(func() reply { return entry.sendBody(ctx, "POST", approve, "waits", nil) })
		eventually(t, "one waits", func() bool { return home.guard.InFlight() == 2 })
		cancel()
		is.True((<-runs).err != nil)
		is.True((<-waits).err != nil)
		eventually(t, "none waits", func() bool { return home.guard.InFlight() == 1 })
		close(release)
		eventually(t, "all ended", func() bool { return home.guard.InFlight() == 0 })
		got := entry.sendBody(context.Background(), "POST", approve, "runs", nil, idempotencyKey, key)
		is.Equal(got.body, "ran runs")
		is.Equal(cluster.runCount("runs"), 1)
		is.Equal(cluster.runCount("waits"), 0)

		cluster.blockTargets()
		ctx, cancel = context.WithCancel(context.Background())
		lookedUp := inBackground(func() reply { return entry.sendBody(ctx, "GET", lookUp, "q1", nil) })
		cluster.waitRunning("q1")
		cancel()
		<-lookedUp
		eventually(t, "the target is free", func() bool { return home.guard.InFlight() == 0 })
	}
}

// Guards against mixing up responses on a shared connection when they arrive out
// of order and one request is canceled.
func TestResponsesOutOfOrder(t *testing.T) {
	is := is.New(t)
	cluster, entry := newEntry(t, bfforward.HTTP2, 1)
	gates := map[string]chan struct{}{"q1": make(chan struct{}), "q2": make(chan struct{}), "q3": make(chan struct{})}
	cluster.nodes[1].target.setHandler(func(rw http.ResponseWriter, r *http.Request) {
		name := r.Header.Get(order)
		<-gates[name]
		_, _ = io.WriteString(rw, strings.Repeat("ran "+name+" ", 100))
	})
	ctx, cancel := context.WithCancel(context.Background())
	answers := map[string]<-chan reply{}
	for name := range gates {
		ctx := ctx
		if name != "q3" {
			ctx = context.Background()
		}
		answers[name] = inBackground(func() reply { return entry.sendBody(ctx, "GET", lookUp, name, nil) })
		cluster.waitRunning(name)
	}
	cancel()
	is.True((<-answers["q3"]).err != nil)
	for _, name := range []string{"q3", "q2", "q1"} {
		close(gates[name])
		if name != "q3" {
			is.Equal((<-answers[name]).body, strings.Repeat("ran "+name+" ", 100))
		}
	}
}
