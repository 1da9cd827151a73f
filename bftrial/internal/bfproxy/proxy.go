package bfproxy

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

// Mode selects how a proxy treats connections and data.
type Mode int32

const (
	// Pass forwards data in both directions.
	Pass Mode = iota
	// Silent accepts connections and discards data in both directions.
	Silent
	// OneWay forwards requests and discards responses.
	OneWay
	// Refuse resets new connections.
	Refuse
)

// Proxy is a TCP proxy for one loopback address that injects network faults.
type Proxy struct {
	listener net.Listener
	upstream string
	group    *bfgroup.Group
	mode     atomic.Int32
	delay    atomic.Int64

	mu    sync.Mutex
	conns map[*net.TCPConn]bool
}

// New starts a proxy for an address in a group.
func New(group *bfgroup.Group, to string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, upstream: to, group: group, conns: map[*net.TCPConn]bool{}}
	group.Go("proxy", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { listener.Close() })
		defer stop()
		p.accept()
		return nil
	})
	return p, nil
}

// Address returns the host and port at which the proxy accepts connections.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode and the delay of each piece of data.
func (p *Proxy) Set(mode Mode, delay time.Duration) {
	p.delay.Store(int64(delay))
	p.mode.Store(int32(mode))
}

// Reset closes every open connection with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0)
		c.Close()
	}
}

// Close stops the proxy like a crash of the process behind it: open connections are reset
// and new ones are refused.
func (p *Proxy) Close() {
	p.listener.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		c := accepted.(*net.TCPConn)
		if Mode(p.mode.Load()) == Refuse {
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

func (p *Proxy) forward(ctx context.Context, from *net.TCPConn) {
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
func (p *Proxy) copyData(to, from *net.TCPConn, response bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		mode := Mode(p.mode.Load())
		if n > 0 && (mode == Silent || mode == OneWay && response) {
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

func (p *Proxy) track(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *Proxy) untrack(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}
