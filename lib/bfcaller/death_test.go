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

// runner waits until the order runs and returns its node.
func (w *world) runner(name string) *node {
	var at *node
	eventually(w.t, name+" runs", func() bool {
		for _, n := range w.nodes {
			if n.target.ran(name) > 0 {
				at = n
			}
		}
		return at != nil
	})
	return at
}

// A target runs a nomination, or a look-up, when it dies; or its node dies with
// it, or only its node, which may come back at once; or the whole machine
// vanishes. Nobody can know what came of the nomination, so its caller is told
// "unknown" and it is not run again: "not run", or a second run, would order
// fuel twice. The look-up is sent to another target and answered.
func TestDeathDuringARun(t *testing.T) {
	deaths := map[string]func(n *node){
		"target":          func(n *node) { n.target.kill() },
		"node and target": func(n *node) { n.kill(); n.target.kill() },
		"node":            func(n *node) { n.kill() },
		"node restarts":   func(n *node) { n.restart() },
		"machine":         func(n *node) { n.inbound.vanish(); n.peer.vanish() },
	}
	for name, die := range deaths {
		t.Run(name+", nomination", func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w, entry := newEntry(t, bfforward.HTTP1, 2)
			release := w.held()
			answer := later(func() reply { return entry.ask("POST", approve, "n1", deadline, "600") })
			die(w.runner("n1"))
			got := <-answer
			is.NoErr(got.err)
			is.Equal(got.outcome, bfheader.OutcomeUnknown)
			close(release)
			is.Equal(w.ran("n1"), 1)
		})
		t.Run(name+", look-up", func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w, entry := newEntry(t, bfforward.HTTP1, 2)
			entry.earn(is, 1)
			entry.mint(is) // opens the connection for questions
			release := w.held()
			answer := later(func() reply { return entry.ask("GET", lookUp, "q1") })
			die(w.runner("q1"))
			close(release)
			got := <-answer
			is.NoErr(got.err)
			is.Equal(got.body, "ran q1")
		})
	}
}

// The connection goes silent in the middle of a small answer. The home's record
// has the whole answer of the approval, and the look-up is sent again; neither
// caller sees a part of an answer, or waits for its deadline.
func TestAnswerStallsInTheMiddle(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, entry := newEntry(t, bfforward.HTTP1, 1)
	entry.earn(is, 1)
	release := w.held()
	approval := later(func() reply { return entry.ask("POST", approve, "n1"+strings.Repeat("x", 5000)) })
	lookedUp := later(func() reply { return entry.ask("GET", lookUp, "q1"+strings.Repeat("x", 5000)) })
	eventually(t, "both run", func() bool { return w.nodes[1].target.all("n1")+w.nodes[1].target.all("q1") == 2 })
	const headerAndMore = 1000
	w.nodes[1].inbound.each(func(l *link) { l.cutAnswers.Store(headerAndMore) })
	w.add("c")
	close(release)
	for _, answer := range []<-chan reply{approval, lookedUp} {
		got := <-answer
		is.NoErr(got.err)
		is.Equal(got.outcome, bfheader.OutcomeDone)
		is.Equal(len(got.body), len("ran n1")+5000)
	}
	is.Equal(w.nodes[2].target.all("n1"), 0)
}

// A look-up was lost with its connection; then no other target takes it, or one
// refuses it. It may have run, whatever is known of the second sending, so its
// caller must not be told "not run".
func TestNotRunHoldsForEverySending(t *testing.T) {
	is := is.New(t)
	for _, another := range []bool{false, true} {
		w, entry := newEntry(t, bfforward.HTTP1, 1)
		entry.earn(is, 1)
		release := w.held()
		answer := later(func() reply { return entry.ask("GET", lookUp, "q1") })
		at := w.runner("q1")
		if another {
			refuses := w.add("c")
			entry.deaf.Store(true)
			refuses.announces(true)
		}
		at.inbound.cut()
		is.Equal((<-answer).outcome, bfheader.OutcomeUnknown)
		close(release)
	}
}

// Eight requests, two of them nominations, are out when their connections go
// silent, the one for questions too. New connections work. The callers get
// their answers through them, and no nomination runs twice; the same where the
// connections were silent before the requests were written, and never arrive.
// Later requests do not meet the silent connections again.
func TestSilentConnections(t *testing.T) {
	for _, protocol := range []bfforward.Protocol{bfforward.HTTP1, bfforward.HTTP2} {
		for _, arrives := range []bool{true, false} {
			t.Run(fmt.Sprint(protocol, arrives), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				w, entry := newEntry(t, protocol, 1)
				home := w.nodes[1]
				entry.earn(is, 6)
				entry.mint(is) // opens the connection for questions
				release := w.held()
				warm := entry.askEight("first")
				eventually(t, "all run", func() bool { return home.target.all("first") == 8 })
				if !arrives {
					close(release)
					wait(is, warm)
					w.add("c") // takes what home never saw
					freeze(home)
				}
				answers := entry.askEight("order")
				if arrives {
					eventually(t, "all run", func() bool { return home.target.all("order") == 8 })
					freeze(home)
					close(release)
					wait(is, warm)
				}
				wait(is, answers)
				is.Equal(w.ran("order 0"), 1)
				is.Equal(w.ran("order 1"), 1)
				asked := entry.metrics.Counter("entry_resolves")
				before := asked.Value()
				is.Equal(entry.ask("GET", lookUp, "next").outcome, bfheader.OutcomeDone)
				is.Equal(asked.Value(), before) // it went over a new connection
			})
		}
	}
}

func freeze(n *node) {
	n.inbound.freeze()
	n.peer.freeze()
}

// askEight sends two approvals and six look-ups.
func (n *node) askEight(name string) []<-chan reply {
	var answers []<-chan reply
	for i := range 8 {
		method, path := "GET", lookUp
		if i < 2 {
			method, path = "POST", approve
		}
		answers = append(answers, later(func() reply { return n.ask(method, path, fmt.Sprint(name, " ", i)) }))
	}
	return answers
}

func wait(is *is.I, answers []<-chan reply) {
	is.Helper()
	for _, answer := range answers {
		got := <-answer
		is.NoErr(got.err)
		is.Equal(got.outcome, bfheader.OutcomeDone)
		is.True(strings.HasPrefix(got.body, "ran "))
	}
}

// An approval waits for a slot, its deadline ends, and the refusal of its home
// is lost on the way while the entry gives up. The entry asks on and is told
// that the approval is barred: "not run" is proven, and stays true after the
// slot is free.
func TestRefusalCrossesTheTimeout(t *testing.T) {
	is := is.New(t)
	w, entry := newEntry(t, bfforward.HTTP1, 1)
	home := w.nodes[1]
	home.target.slots = 1
	home.announces(false)
	release := w.held()
	first := later(func() reply { return entry.ask("POST", approve, "n1") })
	w.runner("n1")
	second := later(func() reply { return entry.ask("POST", approve, "n2", deadline, "300") })
	eventually(t, "n2 waits", func() bool { return home.guard.InFlight() == 2 })
	home.inbound.dropAnswers()
	got := <-second
	is.Equal(got.outcome, bfheader.OutcomeNotRun)
	is.True(got.header.Get(bfheader.RetryAfter) != "")
	close(release)
	is.Equal((<-first).outcome, bfheader.OutcomeDone) // by asking
	eventually(t, "all ended", func() bool { return home.guard.InFlight() == 0 })
	is.Equal(w.ran("n2"), 0)
}

// A target's health endpoint says healthy while it sheds everything. What the
// node sees goes before any endpoint: requests go elsewhere, approvals too since
// a shed one was not run, and soon the target is not tried any more.
func TestTargetThatShedsEverything(t *testing.T) {
	is := is.New(t)
	w, entry := newEntry(t, bfforward.HTTP1, 3)
	entry.earn(is, 10)
	liar := w.nodes[1].target
	liar.does(func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(bfheader.Outcome, bfheader.OutcomeNotRun)
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	for i := range 60 {
		name := fmt.Sprint("n", i)
		is.Equal(entry.ask("POST", approve, name).outcome, bfheader.OutcomeDone)
		is.Equal(w.ran(name)-liar.ran(name), 1)
	}
	// Five in a row set it aside; each probe later, the first after a second, is another.
	const untilSetAside, probes = 5, 4
	is.True(liar.all("n") <= untilSetAside+probes)
	chooser := entry.directory.Chooser(service)
	is.Equal(chooser.Set().Ejected(), 1)
}

// Callers give a millisecond, or hang up, while the targets work as ever. That
// shows nothing about the targets: none may be set aside for it.
func TestHurriedCallersShowNothing(t *testing.T) {
	is := is.New(t)
	w, entry := newEntry(t, bfforward.HTTP1, 3)
	release := w.held()
	for i := range 30 {
		ctx, hangUp := context.WithCancel(context.Background())
		name := fmt.Sprint("n", i)
		gone := later(func() reply { return entry.askFrom(ctx, "GET", lookUp, name, nil) })
		w.runner(name)
		hangUp()
		<-gone
		is.True(entry.ask("GET", lookUp, "hurried", deadline, "1").outcome != bfheader.OutcomeDone)
	}
	close(release)
	is.Equal(entry.directory.Chooser(service).Set().Ejected(), 0)
}

// A target is stopped on purpose under load, and exits once its node says that
// nothing of its work is in flight. Every caller gets a whole answer or a true
// "not run", also where the entry has not heard that the target leaves, and
// nothing reaches the target afterwards.
func TestPlannedStop(t *testing.T) {
	for _, deaf := range []bool{false, true} {
		t.Run(fmt.Sprint("deaf ", deaf), func(t *testing.T) {
			is := is.New(t)
			w, entry := newEntry(t, bfforward.HTTP1, 2)
			for _, n := range w.nodes {
				n.target.does(func(rw http.ResponseWriter, r *http.Request) {
					time.Sleep(2 * time.Millisecond)
					_, _ = io.WriteString(rw, "ran "+r.Header.Get(order))
				})
			}
			stop := make(chan struct{})
			callers := make(chan map[string]reply, 8)
			for caller := range cap(callers) {
				go func() { callers <- entry.askUntil(stop, fmt.Sprint("caller ", caller)) }()
			}
			leaver := w.nodes[1]
			eventually(t, "load", func() bool { return leaver.target.all("caller") > 50 })
			entry.deaf.Store(deaf)
			leaver.announces(true)
			eventually(t, "all finished", func() bool { return leaver.announces(true) == 0 })
			leaver.target.kill()
			served := leaver.target.all("caller")
			left := w.nodes[2].target.all("caller")
			eventually(t, "load elsewhere", func() bool { return w.nodes[2].target.all("caller") > left+50 })
			close(stop)
			for range cap(callers) {
				for name, got := range <-callers {
					is.NoErr(got.err)
					is.True(got.outcome != bfheader.OutcomeUnknown)
					is.Equal(w.ran(name) == 1, got.outcome == bfheader.OutcomeDone)
				}
			}
			is.Equal(leaver.target.all("caller"), served)
			is.Equal(entry.directory.Chooser(service).Set().Ejected(), 0)
		})
	}
}

// askUntil sends approvals one after the other.
func (n *node) askUntil(stop <-chan struct{}, name string) map[string]reply {
	got := map[string]reply{}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return got
		default:
			order := fmt.Sprint(name, " order ", i)
			got[order] = n.ask("POST", approve, order)
		}
	}
}
