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

// exchange holds the responses to all attempts of one request, which its mark identifies.
type exchange struct {
	mark, kind string
	answers    []answer
}

// load sends requests of all kinds through random nodes until stop is closed.
type load struct {
	h         *harness
	mu        sync.Mutex
	exchanges []exchange
	wait      sync.WaitGroup
	stop      chan struct{}
}

func startLoad(h *harness, workers int) *load {
	l := &load{h: h, stop: make(chan struct{})}
	for worker := range workers {
		random := rand.New(rand.NewPCG(uint64(worker), 1))
		l.wait.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				default:
				}
				l.sendRandom(random, fmt.Sprintf("w%d-%d", worker, i))
			}
		})
	}
	return l
}

func (l *load) sendRandom(random *rand.Rand, mark string) {
	nodes := len(l.h.Nodes())
	e := exchange{mark: mark}
	switch random.IntN(3) {
	case 0:
		e.kind = "lookup"
		e.answers = append(e.answers, l.h.send(random.IntN(nodes), http.MethodGet, "/lookups/"+mark, mark, ""))
	case 1:
		e.kind = "nomination"
		e.answers = append(e.answers, l.h.send(random.IntN(nodes), http.MethodPost, "/nominations/"+mark, mark, ""))
	default:
		e.kind = "approval"
		// The caller retries with the same idempotency key through another node.
		for range 4 {
			a := l.h.send(random.IntN(nodes), http.MethodPost, "/approvals/"+mark, mark, mark)
			e.answers = append(e.answers, a)
			if a.err == nil && a.outcome == bfheader.OutcomeDone {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exchanges = append(l.exchanges, e)
}

// stopAndCheck stops the load, checks every response against the targets' runs, and returns
// how many requests were done.
func (l *load) stopAndCheck() (done int) {
	close(l.stop)
	l.wait.Wait()
	runs := l.h.runs()
	for _, e := range l.exchanges {
		done += l.check(e, runs[e.mark])
	}
	return done
}

func (l *load) check(e exchange, runs int) (done int) {
	report := func(format string, values ...any) {
		l.h.t.Errorf("%s %s ran %d times: %s; responses %+v", e.kind, e.mark, runs, fmt.Sprintf(format, values...), e.answers)
	}
	if e.kind != "lookup" && runs > 1 {
		report("ran more than once")
	}
	provenNotRun := true
	for _, a := range e.answers {
		switch {
		case a.err != nil || a.outcome == bfheader.OutcomeUnknown:
			provenNotRun = false
		case a.outcome == bfheader.OutcomeDone && a.status == http.StatusOK:
			done = 1
			provenNotRun = false
			if runs == 0 {
				report("answered as done")
			}
			if !strings.Contains(a.body, "content of "+e.mark) {
				report("response of another request")
			}
		case a.outcome == bfheader.OutcomeDone:
			provenNotRun = false
		case a.outcome == bfheader.OutcomeNotRun:
		default:
			report("unexpected outcome %q", a.outcome)
		}
	}
	if provenNotRun && runs > 0 {
		report("answered as not run")
	}
	return done
}

// Every response must match the targets' runs while targets and nodes are killed,
// restarted and frozen and the platform fails: a wrong "not run" makes the caller
// order twice, and a second run bills twice.
func TestResponsesMatchRunsDuringFaults(t *testing.T) {
	h := newHarness(t, 6)
	l := startLoad(h, 12)
	pause := func() { time.Sleep(time.Second) }
	pause()
	h.is.NoErr(h.Target("n1").Kill())
	pause()
	h.is.NoErr(h.Node("n2").Kill())
	pause()
	h.is.NoErr(h.RestartNode(h.Node("n2")))
	h.is.NoErr(h.Node("n3").Signal(syscall.SIGSTOP))
	h.is.NoErr(h.RestartTarget(h.Target("n1"), "target-n1"))
	time.Sleep(4 * time.Second)
	h.is.NoErr(h.Node("n3").Signal(syscall.SIGCONT))
	pause()
	h.is.NoErr(h.EnableFault(bffleet.Fault{Mode: "down", For: "1s"}))
	pause()
	h.is.NoErr(h.EnableFault(bffleet.Fault{Mode: "lose-answers", For: "1s", Percent: 50}))
	pause()
	h.is.NoErr(h.EnableFault(bffleet.Fault{Mode: "late-writes", For: "1s", Delay: "300ms", Percent: 30}))
	pause()
	// A target is killed with requests in flight, and its node with it.
	h.is.NoErr(h.Target("n4").Kill())
	h.is.NoErr(h.Node("n4").Kill())
	pause()
	done := l.stopAndCheck()
	t.Logf("%d requests, %d done", len(l.exchanges), done)
	h.is.True(done > 0)
}

// A graceful stop of a target under full load must cause no truncated response and no
// unknown outcome, and the target must receive no requests afterwards.
func TestPlannedStopOfATargetFailsNoRequest(t *testing.T) {
	h := newHarness(t, 3)
	l := startLoad(h, 12)
	time.Sleep(time.Second)
	code, err := h.Target("n1").Stop(limit)
	h.is.NoErr(err)
	h.is.Equal(code, 0)
	ranBefore := strings.Count(h.Target("n1").Log(), `"event":4007`)
	time.Sleep(time.Second)
	close(l.stop)
	l.wait.Wait()
	h.is.Equal(strings.Count(h.Target("n1").Log(), `"event":4007`), ranBefore)
	for _, e := range l.exchanges {
		for _, a := range e.answers {
			if a.err != nil || a.outcome == bfheader.OutcomeUnknown {
				t.Errorf("%s %s: %+v", e.kind, e.mark, a)
			}
		}
	}
}

// A graceful stop of a node must complete every accepted request. Later requests must
// be refused as not run, or fail to connect.
func TestPlannedStopOfANodeFailsNoRequest(t *testing.T) {
	h := newHarness(t, 3)
	is := is.New(t)
	address := h.Nodes()[0].Settings().Listen.Caller
	var wait sync.WaitGroup
	type markedAnswer struct {
		answer
		mark string
	}
	answers := make(chan markedAnswer, 1000)
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
				answers <- markedAnswer{h.sendTo(address, http.MethodPost, "/nominations/x", mark, ""), mark}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	code, err := h.Node("n0").Stop(limit)
	is.NoErr(err)
	is.Equal(code, 0)
	close(stop)
	wait.Wait()
	close(answers)
	runs := h.runs()
	for a := range answers {
		if a.err != nil {
			// The node no longer listens, or the connection was closed while the request was
			// sent, which causes a reset or EOF. In both cases the request has not run.
			is.True(strings.Contains(a.err.Error(), "refused") || strings.Contains(a.err.Error(), "reset") || errors.Is(a.err, io.EOF))
			is.Equal(runs[a.mark], 0)
			continue
		}
		is.True(a.outcome == bfheader.OutcomeDone || a.outcome == bfheader.OutcomeNotRun)
	}
}
