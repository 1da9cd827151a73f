package bfproof

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/bftrial/internal/bffleet"
	"bilberryflow.org/lib/bfheader"
)

// binaries is the directory of the programs built for this test run.
var binaries string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "bilberryflow-bin-")
	if err != nil {
		panic(err)
	}
	binaries = directory
	for _, program := range []string{"bfnode", "bfctl", "bfplatform", "bftarget"} {
		build := exec.Command("go", "build", "-o", filepath.Join(directory, program), "./"+program)
		build.Dir = filepath.Join("..", "..", "..")
		if out, err := build.CombinedOutput(); err != nil {
			panic(fmt.Sprintf("building %s: %v\n%s", program, err, out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// limit bounds each wait. It is generous since no test measures time and CI machines may be busy.
const limit = 2 * time.Minute

const configuration = `stage base {
  create service core slots 4;
  create policy lookup class lookup idempotent deadline 3s priority 1 queue 100 retry 20%;
  create policy nominate class nomination deadline 3s priority 5 queue 100;
  create policy approve class approval deadline 3s priority 5 queue 100 durablekeys;
  create route lookups prefix "/lookups" service core policy lookup;
  create route nominations prefix "/nominations" service core policy nominate;
  create route approvals prefix "/approvals" service core policy approve
}`

// harness is a test harness: a fleet with a configuration in force.
type harness struct {
	*bffleet.Fleet
	t  *testing.T
	is *is.I
}

// newHarness starts n nodes in three failure domains, each with a target of service core,
// and waits until all serve look-ups.
func newHarness(t *testing.T, n int) *harness {
	t.Helper()
	is := is.New(t)
	fleet, err := bffleet.New(binaries)
	is.NoErr(err)
	h := &harness{Fleet: fleet, t: t, is: is}
	t.Cleanup(func() {
		if t.Failed() {
			fleet.WriteLogs(os.Stderr)
		}
		_ = fleet.Close()
	})
	is.NoErr(fleet.StartPlatform(bffleet.PlatformSettings{}))
	for i := range n {
		node, err := fleet.StartNode(bffleet.NodeSettings{
			Instance: fmt.Sprintf("n%d", i), Region: "vienna", FailureDomain: fmt.Sprintf("d%d", i%3), Service: "core",
		})
		is.NoErr(err)
		_, err = fleet.StartTarget(node, bffleet.TargetSettings{Slots: 4, ServiceTime: "10ms", LogRuns: true})
		is.NoErr(err)
	}
	is.NoErr(fleet.AwaitNodes())
	is.NoErr(fleet.AwaitMembers(limit))
	h.command(0, configuration, 0)
	h.command(0, "confirm base", 0)
	is.NoErr(fleet.AwaitVersion(1, limit))
	for i := range n {
		h.awaitServing(i)
	}
	return h
}

// awaitServing waits until a look-up through node i succeeds.
func (h *harness) awaitServing(i int) {
	h.t.Helper()
	h.eventually(func() bool {
		return h.send(i, http.MethodGet, "/lookups/ready", "ready", "").outcome == bfheader.OutcomeDone
	})
}

func (h *harness) eventually(done func() bool) {
	h.t.Helper()
	for deadline := time.Now().Add(limit); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			h.t.Fatal("condition not met within the limit")
		}
	}
}

// command runs bfctl against node i, checks its exit code and returns its output.
func (h *harness) command(i int, command string, code int) string {
	h.t.Helper()
	result, err := h.RunCommand(h.Nodes()[i], command)
	h.is.NoErr(err)
	if result.Code != code {
		h.t.Fatalf("bfctl %q: exit code %d, want %d: %s", command, result.Code, code, result.Output)
	}
	return result.Output
}

// answer is the response or the error that a caller received.
type answer struct {
	status            int
	outcome           string
	earlierMayHaveRun bool
	body              string
	err               error
}

// send sends a request through node i, with a mark that the target logs.
func (h *harness) send(i int, method, path, mark, key string) answer {
	return h.sendTo(h.Nodes()[i].Settings().Listen.Caller, method, path, mark, key)
}

// separator returns the text between a path, which may have a query, and the mark.
func separator(path string) string {
	if strings.HasSuffix(path, "&") {
		return ""
	}
	return "?"
}

var client = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (h *harness) sendTo(address, method, path, mark, key string) answer {
	request, err := http.NewRequest(method, "http://"+address+path+separator(path)+"mark="+mark, strings.NewReader("content of "+mark))
	if err != nil {
		return answer{err: err}
	}
	// A nil GetBody keeps net/http from retrying the request.
	request.GetBody = nil
	if key != "" {
		request.Header.Set(bfheader.IdempotencyKey, key)
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, outcome: response.Header.Get(bfheader.Outcome), body: string(body), err: err}
	var problem struct {
		Earlier bool `json:"earlierMayHaveRun"`
	}
	if a.outcome == bfheader.OutcomeNotRun && json.Unmarshal(body, &problem) == nil {
		a.earlierMayHaveRun = problem.Earlier
	}
	return a
}

// runs counts the started runs of each mark in the targets' logs, which survive
// crashes of the targets.
func (h *harness) runs() map[string]int {
	counts := map[string]int{}
	for _, node := range h.Nodes() {
		target := h.Target(node.Settings().Instance)
		lines := bufio.NewScanner(strings.NewReader(target.Log()))
		for lines.Scan() {
			var line struct {
				Event int    `json:"event"`
				Mark  string `json:"mark"`
			}
			const runStarted = 4007
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == runStarted {
				counts[line.Mark]++
			}
		}
	}
	return counts
}

// metric reads a node's metric and reports whether the node responded.
func (h *harness) metric(node *bffleet.Node, name string) (float64, bool) {
	metrics, err := h.Metrics(node)
	return bffleet.MetricValue(metrics, name), err == nil
}
