package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// machine is one machine: a node process and the addresses of its ports. Each has a loopback address of
// its own, and the ports are the same on all machines.
type machine struct {
	name, ip, zone, service string
	ports                   ports
	store                   string
	seeds                   []string
	bootstrap               bool
	dir, root               string
	strictRevokeWithin      string
	process                 *exec.Cmd
	done                    chan struct{}
	startedAt               time.Time
	record                  *record
}

type ports struct{ inbound, outbound, ready, control, operator, peer, metrics, app int }

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settings are what the template deploy/bfnode.json gives for this machine.
func (m *machine) settings() []byte {
	mesh := map[string]any{
		"ready": m.at(m.ports.ready), "metrics": m.at(m.ports.metrics), "seeds": m.seeds, "firstStart": m.bootstrap,
		"linkMbps": 1000.0, "grace": "6s",
		"repeats": map[string]any{"ratio": 0.2, "slack": 56, "window": "10s"},
	}
	if m.strictRevokeWithin != "" {
		mesh["revocation"] = map[string]any{"strict": true, "within": m.strictRevokeWithin}
	}
	text, err := json.MarshalIndent(map[string]any{
		"instance": m.name, "region": "region-1", "failureDomain": m.zone, "service": m.service,
		"listen": map[string]any{
			"caller": m.at(m.ports.outbound), "inbound": m.at(m.ports.inbound), "target": m.at(m.ports.control),
			"operator": m.at(m.ports.operator), "peer": m.at(m.ports.peer),
		},
		"platform": map[string]any{"address": m.store}, "mesh": mesh,
	}, "", "  ")
	if err != nil {
		panic(err)
	}
	return text
}

// start starts the node with the command of the deploy file.
func (m *machine) start() error {
	path := filepath.Join(m.dir, m.name+".json")
	if err := os.WriteFile(path, m.settings(), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := strings.Fields(strings.Replace(deployCommand, "/etc/bilberryflow/local.json", path, 1))
	c := exec.Command(filepath.Join(m.root, command[0]), command[1:]...)
	c.Dir, c.Stdout, c.Stderr = m.root, log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.dir, "BILBERRYFLOW_SETTINGS=" + path}
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.process, m.done, m.startedAt = c, done, time.Now()
	background.Go(func() {
		c.Wait()
		close(done)
	})
	m.record.note("node %s started", m.name)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.record.note("node %s gets %v", m.name, s)
	m.process.Process.Signal(s)
}

// kill ends the node with SIGKILL and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.done
}

// restart starts the node again; it is no first start any more.
func (m *machine) restart() error {
	m.bootstrap = false
	return m.start()
}

var probe = &http.Client{Timeout: time.Second}

// isReady reports whether the readiness check answers 200.
func (m *machine) isReady() bool {
	response, err := probe.Get("http://" + m.at(m.ports.ready) + "/v1/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
