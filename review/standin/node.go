package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// node is one bfnode process, started with the command of the deploy file.
type node struct {
	name, zone, service, ip                 string
	caller, inbound, target, operator, peer string
	ready                                   string
	// app is the address of the server beside the node.
	app      string
	settings string
	values   map[string]any
	log      *os.File
	cmd      *exec.Cmd
	exited   chan struct{}
}

// ports are those of all machines of a deployment.
type ports struct{ caller, inbound, target, ready, app, operator, peer int }

// freePorts returns ports that are free on the loopback addresses of a deployment.
func freePorts(ips []string) (ports, error) {
	var p ports
	for _, port := range []*int{&p.caller, &p.inbound, &p.target, &p.ready, &p.app, &p.operator, &p.peer} {
		listener, err := net.Listen("tcp", net.JoinHostPort(ips[0], "0"))
		if err != nil {
			return p, err
		}
		defer listener.Close()
		*port = listener.Addr().(*net.TCPAddr).Port
		for _, ip := range ips[1:] {
			other, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(*port)))
			if err != nil {
				return p, err
			}
			defer other.Close()
		}
	}
	return p, nil
}

// newNode writes the settings that the template of the deploy file gives for a small deployment. more
// holds further fields of its section mesh.
func newNode(dir, name, zone, service, ip string, p ports, storeAddress string, seeds []string, more map[string]any) (*node, error) {
	n := &node{name: name, zone: zone, service: service, ip: ip}
	for address, port := range map[*string]int{
		&n.caller: p.caller, &n.inbound: p.inbound, &n.target: p.target, &n.ready: p.ready, &n.app: p.app, &n.operator: p.operator, &n.peer: p.peer,
	} {
		*address = net.JoinHostPort(ip, strconv.Itoa(port))
	}
	mesh := map[string]any{
		"ready": n.ready, "seeds": seeds, "firstStart": true, "linkMbps": 1000.0, "grace": "6s",
		"repeats": map[string]any{"ratio": 0.2, "slack": 64, "window": "10s"},
	}
	for key, value := range more {
		mesh[key] = value
	}
	n.values = map[string]any{
		"instance": name, "region": "region", "failureDomain": zone, "service": service,
		"listen":   map[string]any{"caller": n.caller, "inbound": n.inbound, "target": n.target, "operator": n.operator, "peer": n.peer},
		"platform": map[string]any{"address": storeAddress}, "mesh": mesh,
	}
	n.settings = filepath.Join(dir, name+".json")
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	n.log = log
	return n, nil
}

func (n *node) write() error {
	text, err := json.MarshalIndent(n.values, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.settings, text, 0o600)
}

// start starts the process; later starts are none of the whole system.
func (n *node) start(root string) error {
	if err := n.write(); err != nil {
		return err
	}
	n.cmd = exec.Command(filepath.Join(root, "target", "bfnode"), "--settings", n.settings)
	n.cmd.Dir = root
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	cmd, exited := n.cmd, n.exited
	background.Go(func() {
		_ = cmd.Wait()
		close(exited)
	})
	n.values["mesh"].(map[string]any)["firstStart"] = false
	return nil
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// kill kills the process and waits for its end.
func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGCONT)
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// awaitReady waits until the node says that it takes callers.
func (n *node) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + n.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", n.name)
}
