package bfsoak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfgroup"
)

// proxyMode selects how a proxy treats connections and data.
type proxyMode int32

const (
	// pass forwards data in both directions.
	pass proxyMode = iota
	// silent accepts connections and discards data in both directions.
	silent
	// oneWay forwards requests and discards responses.
	oneWay
	// refuse resets new connections.
	refuse
)

// proxy is a TCP proxy for one loopback address that injects network faults.
type proxy struct {
	listener net.Listener
	upstream string
	group    *bfgroup.Group
	mode     atomic.Int32
	delay    atomic.Int64

	mu    sync.Mutex
	conns map[*net.TCPConn]bool
}

func newProxy(group *bfgroup.Group, to string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, upstream: to, group: group, conns: map[*net.TCPConn]bool{}}
	group.Go("proxy", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { listener.Close() })
		defer stop()
		p.accept()
		return nil
	})
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(mode proxyMode, delay time.Duration) {
	p.delay.Store(int64(delay))
	p.mode.Store(int32(mode))
}

// reset closes every open connection with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0)
		c.Close()
	}
}

// close stops the proxy like a crash of the process behind it: open connections are reset
// and new ones are refused.
func (p *proxy) close() {
	p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		c := accepted.(*net.TCPConn)
		if proxyMode(p.mode.Load()) == refuse {
			_ = c.SetLinger(0)
			c.Close()
			continue
		}
		p.group.Go("proxy connection", func(ctx context.Context) error {
			p.forward(ctx, c)
			return nil
		})
	}
}

func (p *proxy) forward(ctx context.Context, from *net.TCPConn) {
	defer from.Close()
	opened, err := net.Dial("tcp", p.upstream)
	if err != nil {
		_ = from.SetLinger(0)
		return
	}
	to := opened.(*net.TCPConn)
	defer to.Close()
	p.track(from, to)
	defer p.untrack(from, to)
	stop := context.AfterFunc(ctx, func() { from.Close(); to.Close() })
	defer stop()
	responsesDone := make(chan struct{})
	p.group.Go("proxy responses", func(context.Context) error {
		p.copyData(from, to, true)
		close(responsesDone)
		return nil
	})
	p.copyData(to, from, false)
	<-responsesDone
}

// copyData forwards data until either side closes; data received in silent mode is discarded.
func (p *proxy) copyData(to, from *net.TCPConn, response bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		mode := proxyMode(p.mode.Load())
		if n > 0 && (mode == silent || mode == oneWay && response) {
			continue
		}
		time.Sleep(time.Duration(p.delay.Load()))
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.SetLinger(0)
			to.Close()
			from.Close()
			return
		}
	}
}

func (p *proxy) track(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) untrack(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}
