package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"
)

// route is a route of the operator's configuration.
type route struct {
	Name          string  `json:"name"`
	Host          string  `json:"host"`
	Prefix        string  `json:"prefix"`
	RouteType     string  `json:"route_type"`
	Timeout       float64 `json:"timeout_s"`
	TargetLatency float64 `json:"target_latency_s"`
	Priority      int     `json:"priority"`
	Service       string  `json:"service"`
	MaxAttempts   int     `json:"max_attempts"`
}

const (
	idempotent    = "idempotent"
	nonIdempotent = "non_idempotent"
)

// maxMachines is the number of machines of the largest deployment.
const maxMachines = 8

// deployment is a small deployment: the store, and nodes with a server each.
type deployment struct {
	rec   *record
	root  string
	dir   string
	store *store
	nodes []*node
	// ips are the loopback addresses of the machines, which have the same ports.
	ips   []string
	ports ports
}

func newDeployment(rec *record, root string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, root: root, dir: dir, store: s}
	for i := range maxMachines {
		d.ips = append(d.ips, fmt.Sprintf("127.77.%d.%d", os.Getpid()%250+1, i+1))
	}
	d.ports, err = freePorts(d.ips)
	return d, err
}

// configure writes a version of the configuration.
func (d *deployment) configure(version int, routes []route, services ...string) error {
	type service struct {
		Name       string `json:"name"`
		HealthPath string `json:"health_path"`
		MaxConns   int    `json:"max_conns"`
	}
	var all []service
	for _, name := range services {
		all = append(all, service{name, "/healthz", 130})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": all,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
	if err != nil {
		return err
	}
	d.store.put("op", "config", text)
	d.rec.line("operator writes version %d", version)
	return nil
}

// addNode starts a node beside a server of a service. The first three nodes are the seeds.
func (d *deployment) addNode(name, zone, service string, more map[string]any) (*node, error) {
	seeds := []string{}
	for _, ip := range d.ips[:3] {
		seeds = append(seeds, net.JoinHostPort(ip, strconv.Itoa(d.ports.target)))
	}
	n, err := newNode(d.dir, name, zone, service, d.ips[len(d.nodes)], d.ports, d.store.address, seeds, more)
	if err != nil {
		return nil, err
	}
	d.nodes = append(d.nodes, n)
	return n, n.start(d.root)
}

// awaitReady waits until all nodes take callers.
func (d *deployment) awaitReady() error {
	for _, n := range d.nodes {
		if err := n.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// newServer returns a server beside a node.
func (d *deployment) newServer(n *node, id string, slots int) *server {
	return &server{rec: d.rec, service: n.service, zone: n.zone, id: id, control: n.target, address: n.app, slots: slots}
}

// end ends all processes and removes the temporary folder unless KEEP is set.
func (d *deployment) end() {
	for _, n := range d.nodes {
		n.kill()
		n.log.Close()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", d.dir)
		return
	}
	os.RemoveAll(d.dir)
}

// awaitServed sends idempotent requests to a path until one is answered with 200.
func (d *deployment) awaitServed(n *node, host, path string, limit time.Duration) error {
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		if a := exchange(n.caller, "GET", host, path, fmt.Sprintf("warm%04d", i), time.Second, "", ""); a.status == 200 {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s%s is not served by %s", host, path, n.name)
}
