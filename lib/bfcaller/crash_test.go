package bfcaller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfforward"
	"bilberryflow.org/lib/bfheader"
)

const deadline = bfheader.Deadline

// waitRunning waits until a target runs the order and returns its node.
func (c *cluster) waitRunning(name string) *node {
	var at *node
	eventually(c.t, name+" runs", func() bool {
		for _, n := range c.nodes {
			if n.target.runCount(name) > 0 {
				at = n
			}
		}
		return at != nil
	})
	return at
}

// The target, its node, or the whole machine fails while a request runs. The
// outcome of a nomination is then "unknown" and it is not retried: reporting "not
// run", or retrying, could order fuel twice. A look-up is retried elsewhere.
func TestCrashDuringRequest(t *testing.T) {
	crashes := map[string]func(n *node){
		"target":          func(n *node) { n.target.kill() },
		"node and target": func(n *node) { n.kill(); n.target.kill() },
		"node":            func(n *node) { n.kill() },
		"node restarts":   func(n *node) { n.restart() },
		"machine":         func(n *node) { n.inbound.blackhole(); n.peer.blackhole() },
	}
	for name, crash := range crashes {
		t.Run(name+", nomination", func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			cluster, entry := newEntry(t, bfforward.HTTP1, 2)
			release := cluster.blockTargets()
			answer := inBackground(func() reply { return entry.send("POST", approve, "n1", deadline, "600") })
			crash(cluster.waitRunning("n1"))
			got := <-answer
			is.NoErr(got.err)
			is.Equal(got.outcome, bfheader.OutcomeUnknown)
			close(release)
			is.Equal(cluster.runCount("n1"), 1)
		})
		t.Run(name+", look-up", func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			cluster, entry := newEntry(t, bfforward.HTTP1, 2)
			entry.earnRetries(is, 1)
			entry.mintKey(is) // opens the connection for outcome queries
			release := cluster.blockTargets()
			answer := inBackground(func() reply { return entry.send("GET", lookUp, "q1") })
			crash(cluster.waitRunning("q1"))
			close(release)
			got := <-answer
			is.NoErr(got.err)
			is.Equal(got.body, "ran q1")
		})
	}
}

// Guards against a truncated response, or a wait until the deadline, when a
// connection stalls in the middle of a small response.
func TestResponseStallsMidway(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cluster, entry := newEntry(t, bfforward.HTTP1, 1)
	entry.earnRetries(is, 1)
	release := cluster.blockTargets()
	approval := inBackground(func() reply { return entry.send("POST", approve, "n1"+strings.Repeat("x", 5000)) })
	lookedUp := inBackground(func() reply { return entry.send("GET", lookUp, "q1"+strings.Repeat("x", 5000)) })
	eventually(t, "both run", func() bool {
		return cluster.nodes[1].target.runCountPrefix("n1")+cluster.nodes[1].target.runCountPrefix("q1") == 2
	})
	const headerAndMore = 1000
	cluster.nodes[1].inbound.forEachConn(func(c *proxiedConn) { c.truncateAfter.Store(headerAndMore) })
	cluster.addNode("c")
	close(release)
	for _, answer := range []<-chan reply{approval, lookedUp} {
		got := <-answer
		is.NoErr(got.err)
		is.Equal(got.outcome, bfheader.OutcomeDone)
		is.Equal(len(got.body), len("ran n1")+5000)
	}
	is.Equal(cluster.nodes[2].target.runCountPrefix("n1"), 0)
}

// Guards against reporting "not run" for a look-up whose first attempt was lost
// and whose retry was refused or found no target: the first may have run.
func TestNotRunCoversEveryAttempt(t *testing.T) {
	is := is.New(t)
	for _, secondTarget := range []bool{false, true} {
		cluster, entry := newEntry(t, bfforward.HTTP1, 1)
		entry.earnRetries(is, 1)
		release := cluster.blockTargets()
		answer := inBackground(func() reply { return entry.send("GET", lookUp, "q1") })
		at := cluster.waitRunning("q1")
		if secondTarget {
			refusing := cluster.addNode("c")
			entry.staleMembership.Store(true)
			refusing.announceTarget(true)
		}
		at.inbound.closeConns()
		is.Equal((<-answer).outcome, bfheader.OutcomeUnknown)
		close(release)
	}
}

// Guards against lost requests and repeated nominations when all connections to a
// node go silently dead, before or after the requests arrive. Later requests must
// use new connections.
func TestSilentlyDeadConnections(t *testing.T) {
	for _, protocol := range []bfforward.Protocol{bfforward.HTTP1, bfforward.HTTP2} {
		for _, delivered := range []bool{true, false} {
			t.Run(fmt.Sprint(protocol, delivered), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				cluster, entry := newEntry(t, protocol, 1)
				home := cluster.nodes[1]
				entry.earnRetries(is, 6)
				entry.mintKey(is) // opens the connection for outcome queries
				release := cluster.blockTargets()
				firstAnswers := entry.sendEight("first")
				eventually(t, "all run", func() bool { return home.target.runCountPrefix("first") == 8 })
				if !delivered {
					close(release)
					requireAllDone(is, firstAnswers)
					cluster.addNode("c") // accepts the requests that never reached home
					stallNode(home)
				}
				answers := entry.sendEight("order")
				if delivered {
					eventually(t, "all run", func() bool { return home.target.runCountPrefix("order") == 8 })
					stallNode(home)
					close(release)
					requireAllDone(is, firstAnswers)
				}
				requireAllDone(is, answers)
				is.Equal(cluster.runCount("order 0"), 1)
				is.Equal(cluster.runCount("order 1"), 1)
				queries := entry.metrics.Counter("entry_resolves")
				before := queries.Value()
				is.Equal(entry.send("GET", lookUp, "next").outcome, bfheader.OutcomeDone)
				is.Equal(queries.Value(), before) // a new connection was used
			})
		}
	}
}

func stallNode(n *node) {
	n.inbound.stall()
	n.peer.stall()
}

// sendEight sends two approvals and six look-ups.
func (n *node) sendEight(name string) []<-chan reply {
	var answers []<-chan reply
	for i := range 8 {
		method, path := "GET", lookUp
		if i < 2 {
			method, path = "POST", approve
		}
		answers = append(answers, inBackground(func() reply { return n.send(method, path, fmt.Sprint(name, " ", i)) }))
	}
	return answers
}

func requireAllDone(is *is.I, answers []<-chan reply) {
	is.Helper()
	for _, answer := range answers {
		got := <-answer
		is.NoErr(got.err)
		is.Equal(got.outcome, bfheader.OutcomeDone)
		is.True(strings.HasPrefix(got.body, "ran "))
	}
}

// Guards against "unknown" when an approval's refusal is lost just as the entry
// node times out: querying proves that the approval will never run.
func TestRefusalLostAtTimeout(t *testing.T) {
	is := is.New(t)
	cluster, entry := newEntry(t, bfforward.HTTP1, 1)
	home := cluster.nodes[1]
	home.target.slots = 1
	home.announceTarget(false)
	release := cluster.blockTargets()
	first := inBackground(func() reply { return entry.send("POST", approve, "n1") })
	cluster.waitRunning("n1")
	second := inBackground(func() reply { return entry.send("POST", approve, "n2", deadline, "300") })
	eventually(t, "n2 waits", func() bool { return home.guard.InFlight() == 2 })
	home.inbound.dropResponses()
	got := <-second
	is.Equal(got.outcome, bfheader.OutcomeNotRun)
	is.True(got.header.Get(bfheader.RetryAfter) != "")
	close(release)
	is.Equal((<-first).outcome, bfheader.OutcomeDone) // through an outcome query
	eventually(t, "all ended", func() bool { return home.guard.InFlight() == 0 })
	is.Equal(cluster.runCount("n2"), 0)
}

// Guards against sending requests again and again to a target that sheds all of
// them while its health endpoint reports healthy.
func TestTargetShedsAllRequests(t *testing.T) {
	is := is.New(t)
	cluster, entry := newEntry(t, bfforward.HTTP1, 3)
	entry.earnRetries(is, 10)
	shedding := cluster.nodes[1].target
	shedding.setHandler(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(bfheader.RequestID, r.Header.Get(bfheader.RequestID))
		rw.Header().Set(bfheader.Outcome, bfheader.OutcomeNotRun)
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	for i := range 60 {
		name := fmt.Sprint("n", i)
		is.Equal(entry.send("POST", approve, name).outcome, bfheader.OutcomeDone)
		is.Equal(cluster.runCount(name)-shedding.runCount(name), 1)
	}
	// Five consecutive failures eject the target; each later probe adds one request.
	const untilEjected, probes = 5, 4
	is.True(shedding.runCountPrefix("n") <= untilEjected+probes)
	chooser := entry.directory.Chooser(service)
	is.Equal(chooser.Set().Ejected(), 1)
}

// Guards against ejecting healthy targets because of callers that disconnect or set
// a deadline of a millisecond.
func TestShortDeadlinesDoNotEjectTargets(t *testing.T) {
	is := is.New(t)
	cluster, entry := newEntry(t, bfforward.HTTP1, 3)
	release := cluster.blockTargets()
	for i := range 30 {
		ctx, cancel := context.WithCancel(context.Background())
		name := fmt.Sprint("n", i)
		canceled := inBackground(func() reply { return entry.sendBody(ctx, "GET", lookUp, name, nil) })
		cluster.waitRunning(name)
		cancel()
		<-canceled
		is.True(entry.send("GET", lookUp, "short deadline", deadline, "1").outcome != bfheader.OutcomeDone)
	}
	close(release)
	is.Equal(entry.directory.Chooser(service).Set().Ejected(), 0)
}

// Guards against lost requests during a graceful shutdown of a target under load,
// also with an entry node whose membership view is stale.
func TestGracefulTargetShutdown(t *testing.T) {
	for _, stale := range []bool{false, true} {
		t.Run(fmt.Sprint("stale membership ", stale), func(t *testing.T) {
			is := is.New(t)
			cluster, entry := newEntry(t, bfforward.HTTP1, 2)
			for _, n := range cluster.nodes {
				n.target.setHandler(func(rw http.ResponseWriter, r *http.Request) {
					time.Sleep(2 * time.Millisecond)
					_, _ = io.WriteString(rw, "ran "+r.Header.Get(order))
				})
			}
			stop := make(chan struct{})
			callers := make(chan map[string]reply, 8)
			for caller := range cap(callers) {
				go func() { callers <- entry.sendUntil(stop, fmt.Sprint("caller ", caller)) }()
			}
			leaving := cluster.nodes[1]
			eventually(t, "load", func() bool { return leaving.target.runCountPrefix("caller") > 50 })
			entry.staleMembership.Store(stale)
			leaving.announceTarget(true)
			eventually(t, "all finished", func() bool { return leaving.announceTarget(true) == 0 })
			leaving.target.kill()
			served := leaving.target.runCountPrefix("caller")
			servedElsewhere := cluster.nodes[2].target.runCountPrefix("caller")
			eventually(t, "load elsewhere", func() bool { return cluster.nodes[2].target.runCountPrefix("caller") > servedElsewhere+50 })
			close(stop)
			for range cap(callers) {
				for name, got := range <-callers {
					is.NoErr(got.err)
					is.True(got.outcome != bfheader.OutcomeUnknown)
					is.Equal(cluster.runCount(name) == 1, got.outcome == bfheader.OutcomeDone)
				}
			}
			is.Equal(leaving.target.runCountPrefix("caller"), served)
			is.Equal(entry.directory.Chooser(service).Set().Ejected(), 0)
		})
	}
}

// sendUntil sends approvals one after the other until stop is closed.
func (n *node) sendUntil(stop <-chan struct{}, name string) map[string]reply {
	got := map[string]reply{}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return got
		default:
			order := fmt.Sprint(name, " order ", i)
			got[order] = n.send("POST", approve, order)
		}
	}
}
