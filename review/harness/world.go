package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// deployCommand is the command of the role in the deploy file.
var deployCommand string

// world is one small deployment on loopback addresses.
type world struct {
	root, dir string
	record    *record
	store     *store
	machines  []*machine
	ledger    ledger
	trouble   bool
}

// newWorld reads the deploy file and starts the store. network is the second and third byte of the
// loopback addresses.
func newWorld(folder string) (*world, error) {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		return nil, err
	}
	if deployCommand, err = readCommand(filepath.Join(root, "deploy", "system.toml")); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	s, err := startStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &world{root: root, dir: dir, record: rec, store: s, trouble: os.Getenv("TROUBLE") != "0"}, nil
}

// readCommand returns the value of run in the deploy file.
func readCommand(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "run = "); found {
			return strings.Trim(text, `"`), nil
		}
	}
	return "", errors.New("the deploy file has no command")
}

// add adds a machine. Its node is not started yet.
func (w *world) add(service, zone string) *machine {
	m := &machine{
		name: fmt.Sprintf("sidecar-%s-%d", zone, len(w.machines)+1), ip: fmt.Sprintf("127.77.0.%d", len(w.machines)+1),
		zone: zone, service: service, store: w.store.address, bootstrap: true, dir: w.dir, root: w.root, record: w.record,
	}
	w.machines = append(w.machines, m)
	return m
}

// startNodes starts all nodes on the same free ports.
func (w *world) startNodes() error {
	p, err := w.freePorts()
	if err != nil {
		return err
	}
	var seeds []string
	for _, m := range w.machines[:min(3, len(w.machines))] {
		m.ports = p
		seeds = append(seeds, m.at(p.control))
	}
	for _, m := range w.machines {
		m.ports, m.seeds = p, seeds
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// freePorts returns ports that are free on all machines.
func (w *world) freePorts() (ports, error) {
	var found []int
	for range 200 {
		l, err := net.Listen("tcp", w.machines[0].ip+":0")
		if err != nil {
			return ports{}, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		l.Close()
		free := true
		for _, m := range w.machines {
			if l, err := net.Listen("tcp", m.at(port)); err != nil {
				free = false
			} else {
				l.Close()
			}
		}
		for _, other := range found {
			free = free && other != port
		}
		if free {
			found = append(found, port)
		}
		if len(found) == 8 {
			return ports{found[0], found[1], found[2], found[3], found[4], found[5], found[6], found[7]}, nil
		}
	}
	return ports{}, errors.New("no free ports")
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range w.machines {
		for !m.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("node %s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// route is a route of the configuration.
type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"prefix"`
	Type     string  `json:"route_type"`
	Timeout  float64 `json:"timeout_s"`
	Target   float64 `json:"target_latency_s"`
	Priority int     `json:"priority"`
	Service  string  `json:"service"`
	Attempts int     `json:"max_attempts"`
}

// configure writes a version of the configuration as the operator does.
func (w *world) configure(version int, routes []route, services []string, extra map[string]any) {
	config := map[string]any{
		"version": version, "routes": routes,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false})
	}
	config["services"] = list
	for name, value := range extra {
		config[name] = value
	}
	text, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	w.store.put("op", "config", text)
	w.record.note("configuration %d acknowledged", version)
}

// close ends all processes that the test started.
func (w *world) close() {
	for _, m := range w.machines {
		if m.process != nil {
			m.process.Process.Kill()
			<-m.done
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}
