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

// proxyMode is what a proxy does to connections.
type proxyMode int32

const (
	// pass hands bytes on.
	pass proxyMode = iota
	// silent takes bytes and connections and hands nothing on.
	silent
	// oneWay hands on what goes there and nothing that comes back.
	oneWay
	// refuse resets new connections.
	refuse
)

// proxy stands before one address on loopback.
type proxy struct {
	listener net.Listener
	to       string
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
	p := &proxy{listener: listener, to: to, group: group, conns: map[*net.TCPConn]bool{}}
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

// reset ends every open connection with a reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0)
		c.Close()
	}
}

// close ends the proxy as the end of the process behind it would: what is open is reset,
// and new connections are refused.
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
		p.group.Go("proxied", func(ctx context.Context) error {
			p.join(ctx, c)
			return nil
		})
	}
}

func (p *proxy) join(ctx context.Context, from *net.TCPConn) {
	defer from.Close()
	opened, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = from.SetLinger(0)
		return
	}
	to := opened.(*net.TCPConn)
	defer to.Close()
	p.keep(from, to)
	defer p.drop(from, to)
	stop := context.AfterFunc(ctx, func() { from.Close(); to.Close() })
	defer stop()
	back := make(chan struct{})
	p.group.Go("back", func(context.Context) error {
		p.copy(from, to, true)
		close(back)
		return nil
	})
	p.copy(to, from, false)
	<-back
}

// copy hands bytes on until either side ends; what a silent proxy took is gone.
func (p *proxy) copy(to, from *net.TCPConn, back bool) {
	piece := make([]byte, 16<<10)
	for {
		n, err := from.Read(piece)
		mode := proxyMode(p.mode.Load())
		if n > 0 && (mode == silent || mode == oneWay && back) {
			continue
		}
		time.Sleep(time.Duration(p.delay.Load()))
		if n > 0 {
			if _, failed := to.Write(piece[:n]); failed != nil {
				err = failed
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

func (p *proxy) keep(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) drop(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}
