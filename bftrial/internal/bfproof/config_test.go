package bfproof

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bilberryflow.org/bftrial/internal/bffleet"
	"bilberryflow.org/lib/bfheader"
)

// watch samples the version in force on every node and reports one that falls.
type watch struct {
	w    *world
	stop chan struct{}
	once sync.Once
	wait sync.WaitGroup
	most map[string]float64
}

func startWatch(w *world) *watch {
	s := &watch{w: w, stop: make(chan struct{}), most: map[string]float64{}}
	w.t.Cleanup(s.end)
	s.wait.Go(func() {
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(10 * time.Millisecond):
				s.sample()
			}
		}
	})
	return s
}

func (s *watch) sample() {
	for _, node := range s.w.Nodes() {
		name := node.Settings().Instance
		// A node that has not started its service shows 0.
		version, answered := s.w.metric(node, "config_version_in_force")
		if !answered || version == 0 {
			continue
		}
		if version < s.most[name] {
			s.w.t.Errorf("%s went back from version %v to %v", name, s.most[name], version)
		}
		s.most[name] = max(s.most[name], version)
	}
}

func (s *watch) end() {
	s.once.Do(func() { close(s.stop) })
	s.wait.Wait()
}

func (w *world) change(i, number int) {
	w.t.Helper()
	w.command(i, fmt.Sprintf("stage c%d change policy lookup queue %d", number, number), 0)
	w.command(i, fmt.Sprintf("confirm c%d", number), 0)
}

// Two operators stage changes of one route and confirm them through different
// nodes; then one removes a policy that the other's new route needs. Each time
// one is told the version and the other what came first and whose it was.
func TestOperatorsRace(t *testing.T) {
	w := newWorld(t, 3)
	w.command(0, `stage one change route lookups policy nominate`, 0)
	w.command(1, `stage two change route lookups policy approve`, 0)
	w.command(0, `confirm one`, 0)
	said := w.command(1, `confirm two`, 3)
	w.is.True(strings.Contains(said, "route lookups") && strings.Contains(said, "trial"))
	w.command(0, `stage three { create policy extra class extra deadline 1s }`, 0)
	w.command(0, `confirm three`, 0)
	w.is.NoErr(w.AwaitVersion(3, limit))
	w.command(1, `stage four { create route more prefix "/more" service core policy extra }`, 0)
	w.command(2, `stage five remove policy extra`, 0)
	w.command(1, `confirm four`, 0)
	said = w.command(2, `confirm five`, 3)
	w.is.True(strings.Contains(said, "route more"))
	w.is.NoErr(w.AwaitVersion(4, limit))
}

// The table applies a commit and its answer is lost. The operator's confirm is
// still answered with the version, since the node reads what became of it, and
// the table holds that one version and no second.
func TestConfirmSurvivesALostAnswer(t *testing.T) {
	w := newWorld(t, 3)
	w.command(0, "stage a change policy lookup queue 7", 0)
	// Only commits write version rows; what comes before them is answered.
	w.is.NoErr(w.EnableFault(bffleet.Fault{Mode: "lose-answers", For: "10m", Key: "version/"}))
	w.command(0, "confirm a", 0)
	w.is.NoErr(w.AwaitVersion(2, limit))
	w.is.Equal(strings.Count(w.command(1, "show versions", 0), "trial"), 2)
}

// The platform goes away; half of a failure domain restarts at once, then other
// nodes one by one. Each must serve what it served before and nothing older,
// and once the platform is back all agree on the newest version.
func TestRestartsWithThePlatformAwayNeverGoBack(t *testing.T) {
	w := newWorld(t, 9)
	s := startWatch(w)
	for number := 2; number <= 4; number++ {
		w.change(number%3, number)
	}
	w.is.NoErr(w.AwaitVersion(4, limit))
	w.is.NoErr(w.EnableFault(bffleet.Fault{Mode: "down", For: "10m"}))
	said, err := w.RunCommand(w.Nodes()[0], "stage never change policy lookup queue 99")
	w.is.NoErr(err)
	w.is.True(said.Code != 0)
	for _, herd := range [][]string{{"n0", "n3"}, {"n7"}, {"n8"}} {
		for _, name := range herd {
			w.is.NoErr(w.Node(name).Kill())
		}
		for _, name := range herd {
			w.is.NoErr(w.RestartNode(w.Node(name)))
		}
		w.is.NoErr(w.AwaitNodes())
		w.is.NoErr(w.AwaitVersion(4, limit))
	}
	for i := range w.Nodes() {
		w.awaitServing(i)
	}
	w.is.NoErr(w.ClearFaults())
	w.eventually(func() bool {
		said, err := w.RunCommand(w.Nodes()[1], "stage after change policy lookup queue 42")
		return err == nil && said.Code == 0
	})
	w.command(1, "confirm after", 0)
	w.is.NoErr(w.AwaitVersion(5, limit))
	s.end()
}

// A node is frozen until the fleet holds it dead, while versions pass by, and
// wakes with old messages in its sockets. It must neither go back nor take the
// fleet back, catch up by itself, and serve callers again.
func TestFrozenNodeWakesAndCatchesUp(t *testing.T) {
	w := newWorld(t, 6)
	s := startWatch(w)
	w.is.NoErr(w.Node("n4").Signal(syscall.SIGSTOP))
	for number := 2; number <= 4; number++ {
		w.change(0, number)
	}
	w.eventually(func() bool {
		said, err := w.RunCommand(w.Nodes()[0], "show members where instance = n4")
		return err == nil && !strings.Contains(said.Output, "alive") && !strings.Contains(said.Output, "suspect")
	})
	w.is.NoErr(w.Node("n4").Signal(syscall.SIGCONT))
	w.is.NoErr(w.AwaitVersion(4, limit))
	w.awaitServing(4)
	// Its own target takes requests again, under the incarnation that it got.
	w.eventually(func() bool {
		return strings.Contains(w.send(1, http.MethodGet, "/lookups/x", "frozen", "").body, `"instance":"n4"`)
	})
	s.end()
}

// An operator confirms through a node that is killed before it can tell anybody.
// The version exists in the table, so every node must come to hold it.
func TestVersionOfAKilledCommitterSpreads(t *testing.T) {
	w := newWorld(t, 6)
	w.command(5, "stage a change policy lookup queue 7", 0)
	// The answer comes late enough to kill the node in between.
	w.is.NoErr(w.EnableFault(bffleet.Fault{Mode: "late-writes", For: "1s", Delay: "500ms"}))
	var wait sync.WaitGroup
	wait.Go(func() { _, _ = w.RunCommand(w.Nodes()[5], "confirm a", "--timeout", "3s") })
	time.Sleep(200 * time.Millisecond)
	w.is.NoErr(w.Node("n5").Kill())
	wait.Wait()
	w.is.NoErr(w.ClearFaults())
	w.is.NoErr(w.RestartNode(w.Node("n5")))
	w.is.NoErr(w.AwaitNodes())
	// Whether the write took effect is the table's business; all agree on it.
	var said string
	w.eventually(func() bool {
		answer, err := w.RunCommand(w.Nodes()[0], "show versions")
		said = answer.Output
		return err == nil && answer.Code == 0
	})
	versions := strings.Count(said, "trial")
	w.is.NoErr(w.AwaitVersion(versions, limit))
	w.is.True(w.send(0, http.MethodGet, "/lookups/x", "x", "").outcome == bfheader.OutcomeDone)
}
