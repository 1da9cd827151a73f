package bfcaller_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// faultProxy is a TCP proxy before one port. It can close its connections, or stall
// them while new ones work.
type faultProxy struct {
	listener net.Listener
	backend  atomic.Value // string
	// blackholed drops all traffic, also on new connections.
	blackholed atomic.Bool
	mu         sync.Mutex
	conns      []*proxiedConn
	copying    sync.WaitGroup
}

// proxiedConn is one connection through a faultProxy.
type proxiedConn struct {
	client, server net.Conn
	// dropFromClient and dropFromServer discard what that end sends.
	dropFromClient, dropFromServer atomic.Bool
	// truncateAfter, if not 0, is the number of bytes after which the server's data is discarded.
	truncateAfter atomic.Int64
}

func newFaultProxy(t testing.TB, backend string) *faultProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &faultProxy{listener: listener}
	p.backend.Store(backend)
	p.copying.Add(1)
	go p.accept()
	t.Cleanup(func() {
		listener.Close()
		p.closeConns()
		p.copying.Wait()
	})
	return p
}

func (p *faultProxy) address() string { return p.listener.Addr().String() }

func (p *faultProxy) accept() {
	defer p.copying.Done()
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.backend.Load().(string))
		if err != nil {
			client.Close()
			continue
		}
		conn := &proxiedConn{client: client, server: server}
		conn.dropFromClient.Store(p.blackholed.Load())
		p.mu.Lock()
		p.conns = append(p.conns, conn)
		p.mu.Unlock()
		p.copying.Add(2)
		go conn.copy(server, client, &conn.dropFromClient, &p.copying)
		go conn.copy(client, server, &conn.dropFromServer, &p.copying)
	}
}

func (c *proxiedConn) copy(to, from net.Conn, discard *atomic.Bool, done *sync.WaitGroup) {
	defer done.Done()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if discard.Load() {
			if err != nil {
				return // the close is not forwarded
			}
			continue
		}
		if left := c.truncateAfter.Load(); left > 0 && from == c.server {
			n = int(min(int64(n), left))
			discard.Store(true)
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			to.Close()
			return
		}
	}
}

func (p *faultProxy) forEachConn(change func(*proxiedConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		change(conn)
	}
}

func (p *faultProxy) connCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// stall silences every open connection for good.
func (p *faultProxy) stall() {
	p.forEachConn(func(c *proxiedConn) { c.dropFromClient.Store(true); c.dropFromServer.Store(true) })
}

// blackhole simulates the loss of the machine: no traffic passes, also on new connections.
func (p *faultProxy) blackhole() {
	p.blackholed.Store(true)
	p.stall()
}

// dropResponses discards what the server sends over the open connections.
func (p *faultProxy) dropResponses() {
	p.forEachConn(func(c *proxiedConn) { c.dropFromServer.Store(true) })
}

// closeConns closes every connection.
func (p *faultProxy) closeConns() {
	p.forEachConn(func(c *proxiedConn) { c.client.Close(); c.server.Close() })
}
