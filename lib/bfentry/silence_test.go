package bfentry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bfprobe"
)

// suspendableListener is the listener of a node that can be suspended: its connections are then
// accepted, as by the kernel for a suspended process, and nothing is read from them.
type suspendableListener struct {
	net.Listener
	suspended atomic.Bool
	mu        sync.Mutex
	resumed   *sync.Cond
	// accepted counts the connections accepted during the suspension.
	accepted atomic.Int32
}

func (l *suspendableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.suspended.Load() {
		l.accepted.Add(1)
	}
	return &suspendableConn{c, l}, err
}

func (l *suspendableListener) wait() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.suspended.Load() {
		l.resumed.Wait()
	}
}

func (l *suspendableListener) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspended.Store(false)
	l.resumed.Broadcast()
}

type suspendableConn struct {
	net.Conn
	listener *suspendableListener
}

func (c *suspendableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.wait()
	return n, err
}

// suspendable replaces the inbound server of a node by one that can be suspended.
func (m *mesh) suspendable(t *testing.T, n *node) *suspendableListener {
	t.Helper()
	return m.suspendableWith(t, n, bfhost.NewInbound(n.host, nil))
}

// suspendableWith is like suspendable, with the given handler of the inbound server.
func (m *mesh) suspendableWith(t *testing.T, n *node, handler http.Handler) *suspendableListener {
	t.Helper()
	address := n.address()
	n.inbound.CloseClientConnections()
	n.inbound.Close()
	listener, err := net.Listen("tcp", address)
	m.NoErr(err)
	l := &suspendableListener{Listener: listener}
	l.resumed = sync.NewCond(&l.mu)
	server := &http.Server{Handler: handler}
	group := bfgroup.New(context.Background())
	group.Go("suspendable node", func(context.Context) error { _ = server.Serve(l); return nil })
	t.Cleanup(func() {
		l.resume()
		server.Close()
		group.Cancel()
	})
	return l
}

// Requests must not go on to a suspended node, whose kernel accepts connections while nothing answers.
func TestSuspendedNodeReceivesNoRequests(t *testing.T) {
	m := newMesh(t, generous, hello, hello, hello)
	l := m.suspendable(t, m.nodes[0])
	l.suspended.Store(true)
	var served, failed atomic.Int32
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			answer, _ := m.send(http.MethodGet, fmt.Sprint("/look/", i), nil)
			if answer == "200 hello" {
				served.Add(1)
			} else {
				failed.Add(1)
			}
		})
		time.Sleep(30 * time.Millisecond)
	}
	wg.Wait()
	m.True(served.Load() >= 54) // nine in ten
	m.Equal(m.fleet.Lost(), 1)
	// Only probes open connections to it from now on.
	before := l.accepted.Load()
	for i := range 30 {
		answer, _ := m.send(http.MethodGet, fmt.Sprint("/look/later/", i), nil)
		m.Equal(answer, "200 hello")
	}
	m.True(l.accepted.Load()-before <= 2)
	l.resume()
	deadline := time.Now().Add(5 * time.Second)
	for m.fleet.Lost() > 0 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	m.Equal(m.fleet.Lost(), 0)
}

// Nested calls have deadlines that end before a silent node is noticed otherwise; an expired one must
// count against the node too.
func TestExpiredRequestsCountAgainstASuspendedNode(t *testing.T) {
	m := newMesh(t, generous, hello, hello)
	l := m.suspendable(t, m.nodes[0])
	l.suspended.Store(true)
	for i := range 20 {
		m.send(http.MethodGet, fmt.Sprint("/look/", i), map[string]string{names.Deadline: "100"})
		time.Sleep(60 * time.Millisecond)
	}
	m.Equal(m.fleet.Lost(), 1)
}

// A slow target beside a node that answers must stay in use: only nodes that are silent are avoided.
func TestSlowTargetOfALivingNodeStaysInUse(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(700 * time.Millisecond)
		hello(w, r)
	}
	m := newMesh(t, generous, slow)
	answer, _ := m.send(http.MethodGet, "/look/1", nil)
	m.Equal(answer, "200 hello")
	m.Equal(m.fleet.Lost(), 0)
	m.Equal(m.nodes[0].runs.Load(), int32(1))
}

// A node must answer a probe without its target, also while all slots are in use or it is leaving.
func TestNodeAnswersProbes(t *testing.T) {
	m := newMesh(t, generous, hello)
	m.nodes[0].host.Leave()
	c, err := net.Dial("tcp", m.nodes[0].address())
	m.NoErr(err)
	defer c.Close()
	_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: node\r\nBilberry-Probe: 1\r\n\r\n")
	m.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	m.NoErr(err)
	defer response.Body.Close()
	m.Equal(response.StatusCode, http.StatusNoContent)
	m.Equal(m.nodes[0].runs.Load(), int32(0))
}

// A node that is short of processor time and answers a probe late, but requests meanwhile, must stay in use.
func TestNodeRespondingDuringAProbeStaysInUse(t *testing.T) {
	m := newMesh(t, generous, after(600*time.Millisecond, hello), after(600*time.Millisecond, hello))
	for _, n := range m.nodes {
		inbound := bfhost.NewInbound(n.host, nil)
		m.suspendableWith(t, n, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(bfheader.Probe) != "" {
				time.Sleep(700 * time.Millisecond)
			}
			inbound.ServeHTTP(w, r)
		}))
	}
	answer, _ := m.send(http.MethodGet, "/look/1", nil)
	m.Equal(answer, "200 hello")
	time.Sleep(500 * time.Millisecond) // the probe has timed out
	m.Equal(m.fleet.Lost(), 0)
}

// An entry that is short of processor time sees all nodes as silent. It must not exclude all targets of
// a service, nor cut off the requests that they run.
func TestSilentTargetsAreNotAllExcluded(t *testing.T) {
	m := newMesh(t, generous, hello, hello, hello)
	var listeners []*suspendableListener
	for _, n := range m.nodes {
		listeners = append(listeners, m.suspendable(t, n))
		listeners[len(listeners)-1].suspended.Store(true)
	}
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() { m.send(http.MethodGet, fmt.Sprint("/look/", i), nil) })
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond) // the probes have timed out
	m.Equal(m.fleet.Lost(), 1)
	for _, l := range listeners {
		l.resume()
	}
	answer, _ := m.send(http.MethodGet, "/look/later", nil)
	m.Equal(answer, "200 hello")
}

// A node whose kernel accepts connections may be short of processor time. It must not be reported as
// lost: its member would be removed for all nodes, and its load go to others that are short too.
func TestSilentNodeIsNotReportedAsLost(t *testing.T) {
	m := newMesh(t, generous, hello, hello, hello)
	l := m.suspendable(t, m.nodes[0])
	l.suspended.Store(true)
	// Any target may be chosen, so there is no number of requests that surely reaches the silent one.
	for sent := 0; sent < 10 || m.fleet.Lost() == 0; sent++ {
		m.send(http.MethodGet, fmt.Sprint("/look/", sent), nil)
		m.True(sent < 1000) // the silent target is never chosen
	}
	m.Equal(m.fleet.Lost(), 1)
	time.Sleep(bfprobe.RemoveAfter + 2*time.Second)
	m.Equal(m.fleet.Lost(), 1)
	m.True(m.lost.Load() == nil)
}

// Guards against a request that is cut off while its target works on it, because its node is too busy to
// answer a probe in time.
func TestRequestAtABusyNodeIsNotCutOff(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(900 * time.Millisecond):
			hello(w, r)
		case <-r.Context().Done():
		}
	}
	m := newMesh(t, generous, slow, hello)
	inbound := m.nodes[0].inbound.Config.Handler
	m.nodes[0].inbound.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(bfheader.Probe) != "" {
			time.Sleep(800 * time.Millisecond)
		}
		inbound.ServeHTTP(w, r)
	})
	sent := int32(0)
	// Either target may be chosen, so there is no number of requests that surely reaches the busy one.
	for sent < 6 || m.nodes[0].runs.Load() == 0 {
		answer, _ := m.send(http.MethodGet, fmt.Sprint("/look/", sent), map[string]string{names.Deadline: "3000"})
		m.Equal(answer, "200 hello")
		sent++
		m.True(sent < 1000) // the busy target is never chosen
	}
	m.Equal(m.nodes[0].runs.Load()+m.nodes[1].runs.Load(), sent) // each request ran once
}
