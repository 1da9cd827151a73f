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

// versionMonitor samples the version in force on every node and reports an error if one decreases.
type versionMonitor struct {
	h      *harness
	done   chan struct{}
	once   sync.Once
	wait   sync.WaitGroup
	newest map[string]float64
}

func startVersionMonitor(h *harness) *versionMonitor {
	m := &versionMonitor{h: h, done: make(chan struct{}), newest: map[string]float64{}}
	h.t.Cleanup(m.stop)
	m.wait.Go(func() {
		for {
			select {
			case <-m.done:
				return
			case <-time.After(10 * time.Millisecond):
				m.sample()
			}
		}
	})
	return m
}

func (m *versionMonitor) sample() {
	for _, node := range m.h.Nodes() {
		name := node.Settings().Instance
		// The metric is 0 until the node has started its service.
		version, answered := m.h.metric(node, "config_version_in_force")
		if !answered || version == 0 {
			continue
		}
		if version < m.newest[name] {
			m.h.t.Errorf("%s rolled back from version %v to %v", name, m.newest[name], version)
		}
		m.newest[name] = max(m.newest[name], version)
	}
}

func (m *versionMonitor) stop() {
	m.once.Do(func() { close(m.done) })
	m.wait.Wait()
}

func (h *harness) changeQueue(i, number int) {
	h.t.Helper()
	h.command(i, fmt.Sprintf("stage c%d change policy lookup queue %d", number, number), 0)
	h.command(i, fmt.Sprintf("confirm c%d", number), 0)
}

// When operators confirm conflicting changes through different nodes, the first must
// succeed and the second must be rejected with the conflicting object and operator.
func TestConcurrentConflictingChanges(t *testing.T) {
	h := newHarness(t, 3)
	h.command(0, `stage one change route lookups policy nominate`, 0)
	h.command(1, `stage two change route lookups policy approve`, 0)
	h.command(0, `confirm one`, 0)
	output := h.command(1, `confirm two`, 3)
	h.is.True(strings.Contains(output, "route lookups") && strings.Contains(output, "trial"))
	h.command(0, `stage three { create policy extra class extra deadline 1s }`, 0)
	h.command(0, `confirm three`, 0)
	h.is.NoErr(h.AwaitVersion(3, limit))
	h.command(1, `stage four { create route more prefix "/more" service core policy extra }`, 0)
	h.command(2, `stage five remove policy extra`, 0)
	h.command(1, `confirm four`, 0)
	output = h.command(2, `confirm five`, 3)
	h.is.True(strings.Contains(output, "route more"))
	h.is.NoErr(h.AwaitVersion(4, limit))
}

// When the table applies a commit but the response is lost, the confirm must still
// succeed, and the table must hold that version exactly once.
func TestConfirmSucceedsAfterALostResponse(t *testing.T) {
	h := newHarness(t, 3)
	h.command(0, "stage a change policy lookup queue 7", 0)
	// Only commits write version rows, so all earlier writes are answered.
	h.is.NoErr(h.EnableFault(bffleet.Fault{Mode: "lose-answers", For: "10m", Key: "version/"}))
	h.command(0, "confirm a", 0)
	h.is.NoErr(h.AwaitVersion(2, limit))
	h.is.Equal(strings.Count(h.command(1, "show versions", 0), "trial"), 2)
}

// Nodes that restart during a platform outage must serve the version that they had
// before, never an older one, and all nodes must reach the newest version afterwards.
func TestRestartsDuringPlatformOutageNeverRollBack(t *testing.T) {
	h := newHarness(t, 9)
	m := startVersionMonitor(h)
	for number := 2; number <= 4; number++ {
		h.changeQueue(number%3, number)
	}
	h.is.NoErr(h.AwaitVersion(4, limit))
	h.is.NoErr(h.EnableFault(bffleet.Fault{Mode: "down", For: "10m"}))
	result, err := h.RunCommand(h.Nodes()[0], "stage never change policy lookup queue 99")
	h.is.NoErr(err)
	h.is.True(result.Code != 0)
	for _, group := range [][]string{{"n0", "n3"}, {"n7"}, {"n8"}} {
		for _, name := range group {
			h.is.NoErr(h.Node(name).Kill())
		}
		for _, name := range group {
			h.is.NoErr(h.RestartNode(h.Node(name)))
		}
		h.is.NoErr(h.AwaitNodes())
		h.is.NoErr(h.AwaitVersion(4, limit))
	}
	for i := range h.Nodes() {
		h.awaitServing(i)
	}
	h.is.NoErr(h.ClearFaults())
	h.eventually(func() bool {
		result, err := h.RunCommand(h.Nodes()[1], "stage after change policy lookup queue 42")
		return err == nil && result.Code == 0
	})
	h.command(1, "confirm after", 0)
	h.is.NoErr(h.AwaitVersion(5, limit))
	m.stop()
}

// A node that resumes after the others have declared it dead, with stale messages in its
// sockets, must not roll back any node, must catch up and serve callers again.
func TestFrozenNodeCatchesUpAfterResuming(t *testing.T) {
	h := newHarness(t, 6)
	m := startVersionMonitor(h)
	h.is.NoErr(h.Node("n4").Signal(syscall.SIGSTOP))
	for number := 2; number <= 4; number++ {
		h.changeQueue(0, number)
	}
	h.eventually(func() bool {
		result, err := h.RunCommand(h.Nodes()[0], "show members where instance = n4")
		return err == nil && !strings.Contains(result.Output, "alive") && !strings.Contains(result.Output, "suspect")
	})
	h.is.NoErr(h.Node("n4").Signal(syscall.SIGCONT))
	h.is.NoErr(h.AwaitVersion(4, limit))
	h.awaitServing(4)
	// Its own target receives requests again, under its new incarnation.
	h.eventually(func() bool {
		return strings.Contains(h.send(1, http.MethodGet, "/lookups/x", "frozen", "").body, `"instance":"n4"`)
	})
	m.stop()
}

// A version committed through a node that is killed before it announces it must still
// reach every node from the table.
func TestVersionOfAKilledCommitterReachesAllNodes(t *testing.T) {
	h := newHarness(t, 6)
	h.command(5, "stage a change policy lookup queue 7", 0)
	// The delayed response leaves time to kill the node before it arrives.
	h.is.NoErr(h.EnableFault(bffleet.Fault{Mode: "late-writes", For: "1s", Delay: "500ms"}))
	var wait sync.WaitGroup
	wait.Go(func() { _, _ = h.RunCommand(h.Nodes()[5], "confirm a", "--timeout", "3s") })
	time.Sleep(200 * time.Millisecond)
	h.is.NoErr(h.Node("n5").Kill())
	wait.Wait()
	h.is.NoErr(h.ClearFaults())
	h.is.NoErr(h.RestartNode(h.Node("n5")))
	h.is.NoErr(h.AwaitNodes())
	// The write may or may not have taken effect; all nodes must agree with the table.
	var output string
	h.eventually(func() bool {
		result, err := h.RunCommand(h.Nodes()[0], "show versions")
		output = result.Output
		return err == nil && result.Code == 0
	})
	versions := strings.Count(output, "trial")
	h.is.NoErr(h.AwaitVersion(versions, limit))
	h.is.True(h.send(0, http.MethodGet, "/lookups/x", "x", "").outcome == bfheader.OutcomeDone)
}
