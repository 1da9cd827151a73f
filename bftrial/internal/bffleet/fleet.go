package bffleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Fleet is a platform with nodes and targets, each a process on loopback.
type Fleet struct {
	binaries    string
	directory   string
	environment []string
	group       waiter
	client      *http.Client
	ports       ports

	platform        *Process
	platformAddress string
	nodes           map[string]*Node
	targets         map[string]*Target
	nodeOrder       []string

	mu            sync.Mutex
	meshProcesses []*Process
}

// addProcess adds a process to those that Close terminates.
func (f *Fleet) addProcess(p *Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.meshProcesses = append(f.meshProcesses, p)
}

// waiter waits for processes to exit, each in its own goroutine.
type waiter struct{ sync.WaitGroup }

// Go runs fn in a goroutine that Wait waits for. The error is ignored, as fn reports it to its Process.
func (w *waiter) Go(_ string, fn func() error) {
	w.WaitGroup.Go(func() { _ = fn() })
}

// Node is one bfnode.
type Node struct {
	*Process
	settings NodeSettings
	file     string
}

// Settings returns the settings that the node was started with.
func (n *Node) Settings() NodeSettings { return n.settings }

// Target is one bftarget.
type Target struct {
	*Process
	address string
	file    string
}

// Address returns the address that serves the target's requests, ledger and behaviour.
func (t *Target) Address() string { return t.address }

// OperatorToken is the operator token that every node accepts.
const OperatorToken = "trial-operator-secret"

// New creates an empty fleet that runs the programs in the directory binaries. Settings
// and logs are in a temporary directory, which Close removes.
func New(binaries string) (*Fleet, error) {
	directory, err := os.MkdirTemp("", "bilberryflow-")
	if err != nil {
		return nil, err
	}
	return &Fleet{
		binaries: binaries, directory: directory,
		client: &http.Client{Timeout: 10 * time.Second},
		nodes:  map[string]*Node{}, targets: map[string]*Target{},
	}, nil
}

// AddEnvironment adds environment variables for processes started later.
func (f *Fleet) AddEnvironment(variables ...string) {
	f.environment = append(f.environment, variables...)
}

// PlatformURL returns the stand-in platform's base URL.
func (f *Fleet) PlatformURL() string { return "http://" + f.platformAddress }

// PlatformSettings is the settings file of bfplatform.
type PlatformSettings struct {
	Listen          string `json:"listen"`
	ReadsPerSecond  int    `json:"readsPerSecond,omitempty"`
	WritesPerSecond int    `json:"writesPerSecond,omitempty"`
}

// StartPlatform starts the stand-in platform and waits until it serves; Listen is filled in.
func (f *Fleet) StartPlatform(settings PlatformSettings) error {
	f.platformAddress = f.ports.next()
	settings.Listen = f.platformAddress
	file, err := f.writeSettings("platform", settings)
	if err != nil {
		return err
	}
	if f.platform, err = f.startProcess("bfplatform", "platform", file); err != nil {
		return err
	}
	return f.AwaitResponse(f.platform, f.PlatformURL()+"/debug/vars")
}

// NodeSettings is the settings file of bfnode, reduced to the fields that trials use.
type NodeSettings struct {
	Instance      string            `json:"instance"`
	Region        string            `json:"region"`
	FailureDomain string            `json:"failureDomain"`
	Service       string            `json:"service,omitempty"`
	Listen        NodePorts         `json:"listen"`
	Platform      map[string]string `json:"platform"`
	Seeds         []string          `json:"seeds,omitempty"`
	Profile       string            `json:"profile,omitempty"`
	Requests      map[string]any    `json:"requests,omitempty"`
	Operators     []map[string]any  `json:"operators"`
	SnapshotEvery int               `json:"snapshotEvery,omitempty"`
	StopTimeout   string            `json:"stopTimeout,omitempty"`
	// Machine is what the node may use of its machine; nil means what the system reports.
	Machine map[string]any `json:"machine,omitempty"`
}

// NodePorts holds a node's listen addresses.
type NodePorts struct {
	Caller   string `json:"caller"`
	Inbound  string `json:"inbound"`
	Operator string `json:"operator"`
	Target   string `json:"target"`
	Peer     string `json:"peer"`
}

// StartNode starts a node without waiting for it; ports, platform and operators are filled in.
func (f *Fleet) StartNode(settings NodeSettings) (*Node, error) {
	settings.Listen = NodePorts{
		Caller: f.ports.next(), Inbound: f.ports.next(), Operator: f.ports.next(),
		Target: f.ports.next(), Peer: f.ports.next(),
	}
	settings.Platform = map[string]string{"address": f.PlatformURL()}
	settings.Operators = []map[string]any{{"name": "trial", "secret": OperatorToken}}
	file, err := f.writeSettings(settings.Instance, settings)
	if err != nil {
		return nil, err
	}
	node := &Node{settings: settings, file: file}
	f.nodes[settings.Instance] = node
	f.nodeOrder = append(f.nodeOrder, settings.Instance)
	return node, f.RestartNode(node)
}

// RestartNode starts a node's process again with its previous settings.
func (f *Fleet) RestartNode(node *Node) error {
	process, err := f.startProcess("bfnode", node.settings.Instance, node.file)
	if err != nil {
		return err
	}
	node.Process = process
	return nil
}

// AwaitNodes waits until every node responds on its operator port.
func (f *Fleet) AwaitNodes() error {
	for _, name := range f.nodeOrder {
		node := f.nodes[name]
		if err := f.AwaitResponse(node.Process, "http://"+node.settings.Listen.Operator+"/debug/vars"); err != nil {
			return err
		}
	}
	return nil
}

// Node returns the node of an instance, or nil.
func (f *Fleet) Node(instance string) *Node { return f.nodes[instance] }

// Nodes returns the nodes in start order.
func (f *Fleet) Nodes() []*Node {
	list := make([]*Node, 0, len(f.nodeOrder))
	for _, name := range f.nodeOrder {
		list = append(list, f.nodes[name])
	}
	return list
}

// TargetSettings is the settings file of bftarget.
type TargetSettings struct {
	Instance    string  `json:"instance"`
	Service     string  `json:"service"`
	Listen      string  `json:"listen"`
	Node        string  `json:"node"`
	Slots       int     `json:"slots,omitempty"`
	ServiceTime string  `json:"serviceTime,omitempty"`
	Spread      float64 `json:"spread"`
	ColdStart   string  `json:"coldStart,omitempty"`
	LogRuns     bool    `json:"logRuns,omitempty"`
	StopTimeout string  `json:"stopTimeout,omitempty"`
}

// StartTarget starts a node's target and waits until it serves; instance, service and addresses are filled in.
func (f *Fleet) StartTarget(node *Node, settings TargetSettings) (*Target, error) {
	settings.Instance, settings.Service = node.settings.Instance, node.settings.Service
	settings.Listen, settings.Node = f.ports.next(), node.settings.Listen.Target
	name := "target-" + settings.Instance
	file, err := f.writeSettings(name, settings)
	if err != nil {
		return nil, err
	}
	target := &Target{address: settings.Listen, file: file}
	f.targets[settings.Instance] = target
	return target, f.RestartTarget(target, name)
}

// RestartTarget starts a target's process again with its previous settings, under a name for its log.
func (f *Fleet) RestartTarget(target *Target, name string) error {
	process, err := f.startProcess("bftarget", name, target.file)
	if err != nil {
		return err
	}
	target.Process = process
	return f.AwaitResponse(process, "http://"+target.address+"/ledger")
}

// Target returns the target of an instance, or nil.
func (f *Fleet) Target(instance string) *Target { return f.targets[instance] }

// AwaitResponse polls a URL until the process responds, for at most 20 s. It returns a ProcessError
// if the process exits or the time is over.
func (f *Fleet) AwaitResponse(process *Process, url string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for {
		response, err := f.client.Get(url)
		if err == nil {
			response.Body.Close()
			return nil
		}
		select {
		case err := <-process.done:
			process.done <- err
			return &ProcessError{process.name, fmt.Errorf("exited: %w; log: %s", err, process.Log())}
		case <-ctx.Done():
			return &ProcessError{process.name, ctx.Err()}
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (f *Fleet) writeSettings(name string, settings any) (string, error) {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(f.directory, name+".json")
	return file, os.WriteFile(file, data, 0o600)
}

// Fault is a request to the stand-in platform to inject a fault.
type Fault struct {
	Mode    string `json:"mode"`
	For     string `json:"for"`
	Delay   string `json:"delay,omitempty"`
	Percent int    `json:"percent,omitempty"`
	// Key limits the fault to writes of rows whose key has this prefix.
	Key string `json:"key,omitempty"`
}

// EnableFault enables a fault of the platform.
func (f *Fleet) EnableFault(fault Fault) error {
	return f.send(http.MethodPost, f.PlatformURL()+"/faults", fault, http.StatusNoContent)
}

// ClearFaults disables all faults of the platform.
func (f *Fleet) ClearFaults() error {
	return f.send(http.MethodDelete, f.PlatformURL()+"/faults", nil, http.StatusNoContent)
}

// Close kills all running processes and removes the fleet's files.
func (f *Fleet) Close() error {
	var errs []error
	for _, p := range f.processes() {
		errs = append(errs, p.Signal(syscall.SIGCONT), p.Signal(syscall.SIGKILL))
	}
	f.group.Wait()
	return errors.Join(append(errs, os.RemoveAll(f.directory))...)
}

func (f *Fleet) processes() []*Process {
	var list []*Process
	for _, target := range f.targets {
		list = append(list, target.Process)
	}
	for _, node := range f.nodes {
		list = append(list, node.Process)
	}
	if f.platform != nil {
		list = append(list, f.platform)
	}
	f.mu.Lock()
	list = append(list, f.meshProcesses...)
	f.mu.Unlock()
	for i := len(list) - 1; i >= 0; i-- {
		if list[i] == nil {
			list = append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// WriteLogs writes the logs of all processes to w.
func (f *Fleet) WriteLogs(w io.Writer) {
	for _, p := range f.processes() {
		p.writeLog(w)
	}
}

// Ports are below the system's ephemeral range. Otherwise an outgoing connection
// could take a port after it was chosen and before its process listens on it.
const (
	firstPort = 10_000
	portCount = 20_000
)

// ports allocates free loopback addresses, each at most once.
type ports struct {
	mu        sync.Mutex
	offset    int
	allocated int
}

func (p *ports) next() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.allocated == 0 {
		// Concurrent test processes start at different offsets.
		p.offset = os.Getpid() * 131 % portCount
	}
	for ; p.allocated < portCount; p.allocated++ {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(p.offset+p.allocated)%portCount)
		if isFree(address) {
			p.allocated++
			return address
		}
	}
	// No trial can run without free ports.
	panic("no free loopback port")
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	listener.Close()
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}
