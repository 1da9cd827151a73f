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

// Fleet is the platform, nodes and targets as real processes on loopback.
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
	order           []string

	mu      sync.Mutex
	adopted []*Process
}

// adopt has Close end a process too.
func (f *Fleet) adopt(p *Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.adopted = append(f.adopted, p)
}

// waiter waits for processes to end, each in a goroutine.
type waiter struct{ sync.WaitGroup }

// Go runs fn and waits for it at the end; what fn returns is in its process's hands.
func (w *waiter) Go(_ string, fn func() error) {
	w.WaitGroup.Go(func() { _ = fn() })
}

// Node is one bfnode.
type Node struct {
	*Process
	settings NodeSettings
	file     string
}

// Settings are what the node was started with.
func (n *Node) Settings() NodeSettings { return n.settings }

// Target is one bftarget.
type Target struct {
	*Process
	address string
	file    string
}

// Address is where the target takes requests, its ledger and its behaviour.
func (t *Target) Address() string { return t.address }

// Secret is the operators' token of every node.
const Secret = "trial-operator-secret"

// New makes an empty fleet of the programs in binaries; its files go to a temporary directory.
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

// Environment adds variables for processes started from now on.
func (f *Fleet) Environment(variables ...string) { f.environment = append(f.environment, variables...) }

// Platform is the stand-in platform's base URL.
func (f *Fleet) Platform() string { return "http://" + f.platformAddress }

// PlatformSettings are those of bfplatform.
type PlatformSettings struct {
	Listen          string `json:"listen"`
	ReadsPerSecond  int    `json:"readsPerSecond,omitempty"`
	WritesPerSecond int    `json:"writesPerSecond,omitempty"`
}

// StartPlatform starts the stand-in platform.
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
	return f.Await(f.platform, f.Platform()+"/debug/vars")
}

// NodeSettings are those of bfnode that trials set.
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
}

// NodePorts are a node's addresses.
type NodePorts struct {
	Caller   string `json:"caller"`
	Inbound  string `json:"inbound"`
	Operator string `json:"operator"`
	Target   string `json:"target"`
	Peer     string `json:"peer"`
}

// StartNode starts a node; ports, platform and operators are filled in.
func (f *Fleet) StartNode(settings NodeSettings) (*Node, error) {
	settings.Listen = NodePorts{
		Caller: f.ports.next(), Inbound: f.ports.next(), Operator: f.ports.next(),
		Target: f.ports.next(), Peer: f.ports.next(),
	}
	settings.Platform = map[string]string{"address": f.Platform()}
	settings.Operators = []map[string]any{{"name": "trial", "secret": Secret}}
	file, err := f.writeSettings(settings.Instance, settings)
	if err != nil {
		return nil, err
	}
	node := &Node{settings: settings, file: file}
	f.nodes[settings.Instance] = node
	f.order = append(f.order, settings.Instance)
	return node, f.RestartNode(node)
}

// RestartNode starts a node's process, with the settings it had before.
func (f *Fleet) RestartNode(node *Node) error {
	process, err := f.startProcess("bfnode", node.settings.Instance, node.file)
	if err != nil {
		return err
	}
	node.Process = process
	return nil
}

// AwaitNodes waits until every node answers on its operators' port.
func (f *Fleet) AwaitNodes() error {
	for _, name := range f.order {
		node := f.nodes[name]
		if err := f.Await(node.Process, "http://"+node.settings.Listen.Operator+"/debug/vars"); err != nil {
			return err
		}
	}
	return nil
}

// Node finds a node.
func (f *Fleet) Node(instance string) *Node { return f.nodes[instance] }

// Nodes lists the nodes in the order in which they were started.
func (f *Fleet) Nodes() []*Node {
	list := make([]*Node, 0, len(f.order))
	for _, name := range f.order {
		list = append(list, f.nodes[name])
	}
	return list
}

// TargetSettings are those of bftarget.
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

// StartTarget starts the target beside a node.
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

// RestartTarget starts a target's process, with the settings it had before.
func (f *Fleet) RestartTarget(target *Target, name string) error {
	process, err := f.startProcess("bftarget", name, target.file)
	if err != nil {
		return err
	}
	target.Process = process
	return f.Await(process, "http://"+target.address+"/ledger")
}

// Target finds the target beside an instance's node.
func (f *Fleet) Target(instance string) *Target { return f.targets[instance] }

// Await polls a page until it answers.
func (f *Fleet) Await(process *Process, url string) error {
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
			return &StartError{process.name, fmt.Errorf("ended: %w; log: %s", err, process.Log())}
		case <-ctx.Done():
			return &StartError{process.name, ctx.Err()}
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

// Fault is an order to the stand-in platform.
type Fault struct {
	Mode    string `json:"mode"`
	For     string `json:"for"`
	Delay   string `json:"delay,omitempty"`
	Percent int    `json:"percent,omitempty"`
	// Key holds the fault to writes of rows whose key starts with it.
	Key string `json:"key,omitempty"`
}

// SwitchFault turns a fault of the platform on.
func (f *Fleet) SwitchFault(fault Fault) error {
	return f.send(http.MethodPost, f.Platform()+"/faults", fault, http.StatusNoContent)
}

// ClearFaults turns every fault of the platform off.
func (f *Fleet) ClearFaults() error {
	return f.send(http.MethodDelete, f.Platform()+"/faults", nil, http.StatusNoContent)
}

// Close ends every process that still runs and removes the fleet's files.
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
	list = append(list, f.adopted...)
	f.mu.Unlock()
	for i := len(list) - 1; i >= 0; i-- {
		if list[i] == nil {
			list = append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// Logs writes every process's log to w.
func (f *Fleet) Logs(w io.Writer) {
	for _, p := range f.processes() {
		p.drainLog(w)
	}
}

// Ports are taken from below the range from which the system gives ports to
// outgoing connections: one of those could take a port between its choice here
// and the start of the process that is to listen on it.
const (
	firstPort = 10_000
	portCount = 20_000
)

// ports hands out free loopback addresses, none twice.
type ports struct {
	mu     sync.Mutex
	offset int
	given  int
}

func (p *ports) next() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.given == 0 {
		// Fleets of several test processes start at different places.
		p.offset = os.Getpid() * 131 % portCount
	}
	for ; p.given < portCount; p.given++ {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(p.offset+p.given)%portCount)
		if isFree(address) {
			p.given++
			return address
		}
	}
	// A machine without a free loopback port can run no trial.
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
