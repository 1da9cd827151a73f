package bffleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"time"
)

// StatusError reports a response with an unexpected HTTP status.
type StatusError struct {
	URL    string
	Status int
	Body   string
}

// Error returns the URL, the status and the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: unexpected status %d: %s", e.URL, e.Status, e.Body)
}

func (f *Fleet) send(method, url string, body any, want int) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != want {
		err = &StatusError{url, response.StatusCode, string(answer)}
	}
	return err
}

// SetBehaviour changes a target's simulated behaviour; omitted fields keep their values.
func (f *Fleet) SetBehaviour(target *Target, behaviour map[string]any) error {
	return f.send(http.MethodPut, "http://"+target.address+"/behaviour", behaviour, http.StatusNoContent)
}

// Run is a target's record of one request.
type Run struct {
	ID        string `json:"id"`
	Key       string `json:"key"`
	Started   int    `json:"started"`
	Finished  int    `json:"finished"`
	Cancelled int    `json:"cancelled"`
	Shed      int    `json:"shed"`
}

// Ledger reads a target's ledger of requests. It returns an error if the ledger has dropped entries.
func (f *Fleet) Ledger(target *Target) ([]Run, error) {
	var page struct {
		Runs []Run `json:"runs"`
		Lost int   `json:"lost"`
	}
	if err := f.get("http://"+target.address+"/ledger", &page); err != nil {
		return nil, err
	}
	if page.Lost > 0 {
		return nil, fmt.Errorf("ledger of target %s is incomplete: %d requests dropped", target.name, page.Lost)
	}
	return page.Runs, nil
}

func (f *Fleet) get(url string, result any) error {
	response, err := f.client.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(result)
}

// Metrics reads a node's metrics from its operator port.
func (f *Fleet) Metrics(node *Node) (map[string]any, error) {
	var page struct {
		Node map[string]any `json:"node"`
	}
	err := f.get("http://"+node.settings.Listen.Operator+"/debug/vars", &page)
	return page.Node, err
}

// PlatformMetrics reads the platform's metrics.
func (f *Fleet) PlatformMetrics() (map[string]any, error) {
	var page struct {
		Platform map[string]any `json:"platform"`
	}
	err := f.get(f.PlatformURL()+"/debug/vars", &page)
	return page.Platform, err
}

// MetricValue returns a metric's value, or 0 if it is missing or not a number.
func MetricValue(metrics map[string]any, name string) float64 {
	n, _ := metrics[name].(float64)
	return n
}

// CommandResult is the combined output and the exit code of a bfctl command.
type CommandResult struct {
	Output string
	Code   int
}

// RunCommand runs a bfctl command against a node. A non-zero exit code is not an error.
func (f *Fleet) RunCommand(node *Node, command string, flags ...string) (CommandResult, error) {
	arguments := append([]string{"--node", node.settings.Listen.Operator, "--timeout", "20s"}, flags...)
	cmd := exec.Command(filepath.Join(f.binaries, "bfctl"), append(arguments, command)...)
	cmd.Env = append(cmd.Environ(), "BFCTL_TOKEN="+OperatorToken)
	output, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		return CommandResult{}, err
	}
	return CommandResult{Output: string(output), Code: cmd.ProcessState.ExitCode()}, nil
}

// AwaitVersion waits until the version in force on every node is at least version.
func (f *Fleet) AwaitVersion(version int, limit time.Duration) error {
	return f.awaitMetric("config_version_in_force", float64(version), limit)
}

// AwaitMembers waits until every node has all nodes in its member list.
func (f *Fleet) AwaitMembers(limit time.Duration) error {
	return f.awaitMetric("members", float64(len(f.nodeOrder)), limit)
}

func (f *Fleet) awaitMetric(name string, want float64, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, node := range f.Nodes() {
		for {
			metrics, err := f.Metrics(node)
			if err == nil && MetricValue(metrics, name) >= want {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s of node %s is %v, not %v, after %v", name, node.name, metrics[name], want, limit)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}
