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

// binaries holds the programs built for this run.
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

// limit bounds a wait; no proof is about time, and CI may run on a busy machine.
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

// world is a fleet with a configuration in force.
type world struct {
	*bffleet.Fleet
	t  *testing.T
	is *is.I
}

// newWorld starts n nodes over three failure domains, each with a target of service core.
func newWorld(t *testing.T, n int) *world {
	t.Helper()
	is := is.New(t)
	fleet, err := bffleet.New(binaries)
	is.NoErr(err)
	w := &world{Fleet: fleet, t: t, is: is}
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
	w.command(0, configuration, 0)
	w.command(0, "confirm base", 0)
	is.NoErr(fleet.AwaitVersion(1, limit))
	for i := range n {
		w.awaitServing(i)
	}
	return w
}

// awaitServing waits until a node finds targets for a look-up.
func (w *world) awaitServing(i int) {
	w.t.Helper()
	w.eventually(func() bool {
		return w.send(i, http.MethodGet, "/lookups/ready", "ready", "").outcome == bfheader.OutcomeDone
	})
}

func (w *world) eventually(done func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(limit); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			w.t.Fatal("condition not reached")
		}
	}
}

// command runs bfctl against a node and checks its exit code.
func (w *world) command(i int, command string, code int) string {
	w.t.Helper()
	said, err := w.RunCommand(w.Nodes()[i], command)
	w.is.NoErr(err)
	if said.Code != code {
		w.t.Fatalf("bfctl %q exited with %d, not %d: %s", command, said.Code, code, said.Output)
	}
	return said.Output
}

// answer is what a caller was told.
type answer struct {
	status  int
	outcome string
	earlier bool
	body    string
	err     error
}

// send sends a request with a mark that the target logs.
func (w *world) send(i int, method, path, mark, key string) answer {
	return w.sendTo(w.Nodes()[i].Settings().Listen.Caller, method, path, mark, key)
}

// separator stands between a path, which may have a query, and the mark.
func separator(path string) string {
	if strings.HasSuffix(path, "&") {
		return ""
	}
	return "?"
}

var client = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (w *world) sendTo(address, method, path, mark, key string) answer {
	request, err := http.NewRequest(method, "http://"+address+path+separator(path)+"mark="+mark, strings.NewReader("content of "+mark))
	if err != nil {
		return answer{err: err}
	}
	// Without this net/http may send a request again by itself.
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
		a.earlier = problem.Earlier
	}
	return a
}

// runs counts, for each mark, how often any target began to run it, by the
// targets' logs, which outlive the targets.
func (w *world) runs() map[string]int {
	counts := map[string]int{}
	for _, node := range w.Nodes() {
		target := w.Target(node.Settings().Instance)
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

// metric reads a number of a node, and whether it answered.
func (w *world) metric(node *bffleet.Node, name string) (float64, bool) {
	metrics, err := w.Metrics(node)
	return bffleet.MetricValue(metrics, name), err == nil
}
