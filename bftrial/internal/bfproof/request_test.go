package bfproof

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/bftrial/internal/bffleet"
	"bilberryflow.org/lib/bfheader"
)

// told is what a caller was told of one mark, over all its sendings.
type told struct {
	mark, kind string
	answers    []answer
}

// load sends requests of every kind through random nodes until stop is closed.
type load struct {
	w    *world
	mu   sync.Mutex
	told []told
	wait sync.WaitGroup
	stop chan struct{}
}

func startLoad(w *world, workers int) *load {
	l := &load{w: w, stop: make(chan struct{})}
	for worker := range workers {
		random := rand.New(rand.NewPCG(uint64(worker), 1))
		l.wait.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				default:
				}
				l.one(random, fmt.Sprintf("w%d-%d", worker, i))
			}
		})
	}
	return l
}

func (l *load) one(random *rand.Rand, mark string) {
	nodes := len(l.w.Nodes())
	t := told{mark: mark}
	switch random.IntN(3) {
	case 0:
		t.kind = "lookup"
		t.answers = append(t.answers, l.w.send(random.IntN(nodes), http.MethodGet, "/lookups/"+mark, mark, ""))
	case 1:
		t.kind = "nomination"
		t.answers = append(t.answers, l.w.send(random.IntN(nodes), http.MethodPost, "/nominations/"+mark, mark, ""))
	default:
		t.kind = "approval"
		// A caller that knows no better sends the key again through another node.
		for range 4 {
			a := l.w.send(random.IntN(nodes), http.MethodPost, "/approvals/"+mark, mark, mark)
			t.answers = append(t.answers, a)
			if a.err == nil && a.outcome == bfheader.OutcomeDone {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = append(l.told, t)
}

// end stops the load and checks every answer against what the targets ran.
func (l *load) end() (done int) {
	close(l.stop)
	l.wait.Wait()
	runs := l.w.runs()
	for _, t := range l.told {
		done += l.check(t, runs[t.mark])
	}
	return done
}

func (l *load) check(t told, runs int) (done int) {
	report := func(format string, values ...any) {
		l.w.t.Errorf("%s %s ran %d times: %s; told %+v", t.kind, t.mark, runs, fmt.Sprintf(format, values...), t.answers)
	}
	if t.kind != "lookup" && runs > 1 {
		report("not at most once")
	}
	provenNotRun := true
	for _, a := range t.answers {
		switch {
		case a.err != nil || a.outcome == bfheader.OutcomeUnknown:
			provenNotRun = false
		case a.outcome == bfheader.OutcomeDone && a.status == http.StatusOK:
			done = 1
			provenNotRun = false
			if runs == 0 {
				report("told done")
			}
			if !strings.Contains(a.body, "content of "+t.mark) {
				report("answer of another request")
			}
		case a.outcome == bfheader.OutcomeDone:
			provenNotRun = false
		case a.outcome == bfheader.OutcomeNotRun:
		default:
			report("outcome %q", a.outcome)
		}
	}
	if provenNotRun && runs > 0 {
		report("told not run")
	}
	return done
}

// Callers send look-ups, nominations and approvals through every node while a
// target is killed, a node is killed and comes back, another is frozen for
// longer than every timeout and wakes, and the platform is away. Whatever each
// caller is told must fit what the targets ran, since a wrong "not run" makes
// it order twice and a second run bills twice.
func TestEveryAnswerIsTruthfulThroughFaults(t *testing.T) {
	w := newWorld(t, 6)
	l := startLoad(w, 12)
	pause := func() { time.Sleep(time.Second) }
	pause()
	w.is.NoErr(w.Target("n1").Kill())
	pause()
	w.is.NoErr(w.Node("n2").Kill())
	pause()
	w.is.NoErr(w.RestartNode(w.Node("n2")))
	w.is.NoErr(w.Node("n3").Signal(syscall.SIGSTOP))
	w.is.NoErr(w.RestartTarget(w.Target("n1"), "target-n1"))
	time.Sleep(4 * time.Second)
	w.is.NoErr(w.Node("n3").Signal(syscall.SIGCONT))
	pause()
	w.is.NoErr(w.EnableFault(bffleet.Fault{Mode: "down", For: "1s"}))
	pause()
	w.is.NoErr(w.EnableFault(bffleet.Fault{Mode: "lose-answers", For: "1s", Percent: 50}))
	pause()
	w.is.NoErr(w.EnableFault(bffleet.Fault{Mode: "late-writes", For: "1s", Delay: "300ms", Percent: 30}))
	pause()
	// A target dies in the middle of its work, and its node with it.
	w.is.NoErr(w.Target("n4").Kill())
	w.is.NoErr(w.Node("n4").Kill())
	pause()
	done := l.end()
	t.Logf("%d requests, %d done", len(l.told), done)
	w.is.True(done > 0)
}

// A target is stopped as planned while callers keep every slot busy, and then
// its node. No caller may see a cut answer or an unknown outcome, and once the
// stop is done the instance gets no new work.
func TestPlannedStopCutsNothing(t *testing.T) {
	w := newWorld(t, 3)
	l := startLoad(w, 12)
	time.Sleep(time.Second)
	code, err := w.Target("n1").Stop(limit)
	w.is.NoErr(err)
	w.is.Equal(code, 0)
	ranBefore := strings.Count(w.Target("n1").Log(), `"event":4007`)
	time.Sleep(time.Second)
	close(l.stop)
	l.wait.Wait()
	w.is.Equal(strings.Count(w.Target("n1").Log(), `"event":4007`), ranBefore)
	for _, told := range l.told {
		for _, a := range told.answers {
			if a.err != nil || a.outcome == bfheader.OutcomeUnknown {
				t.Errorf("%s %s: %+v", told.kind, told.mark, a)
			}
		}
	}
}

// A node is stopped as planned while callers talk to it. Every request that it
// took must get its whole answer; one that comes too late is refused as not run
// or finds nobody listening.
func TestPlannedStopOfANode(t *testing.T) {
	w := newWorld(t, 3)
	is := is.New(t)
	address := w.Nodes()[0].Settings().Listen.Caller
	var wait sync.WaitGroup
	type sent struct {
		answer
		mark string
	}
	answers := make(chan sent, 1000)
	stop := make(chan struct{})
	for worker := range 8 {
		wait.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				mark := fmt.Sprintf("s%d-%d", worker, i)
				answers <- sent{w.sendTo(address, http.MethodPost, "/nominations/x", mark, ""), mark}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	code, err := w.Node("n0").Stop(limit)
	is.NoErr(err)
	is.Equal(code, 0)
	close(stop)
	wait.Wait()
	close(answers)
	runs := w.runs()
	for a := range answers {
		if a.err != nil {
			// Nobody listens, or the request crossed the end of its connection, which the
			// caller sees as a reset or as an end without an answer. It has not run.
			is.True(strings.Contains(a.err.Error(), "refused") || strings.Contains(a.err.Error(), "reset") || errors.Is(a.err, io.EOF))
			is.Equal(runs[a.mark], 0)
			continue
		}
		is.True(a.outcome == bfheader.OutcomeDone || a.outcome == bfheader.OutcomeNotRun)
	}
}
