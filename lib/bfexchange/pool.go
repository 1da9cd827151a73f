package bfexchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// Options of a Client.
type Options struct {
	// IDHeader is the header in which an answer repeats its request's ID; empty takes any answer.
	IDHeader string
	// DialTimeout bounds a new connection.
	DialTimeout time.Duration
	// IdleUnstated is how long a connection is kept unused where the peer does not say how long it keeps it.
	IdleUnstated time.Duration
	// Wrap makes what a new connection to an address is used through, nil for the
	// connection itself.
	Wrap func(address string, c net.Conn) net.Conn
}

const (
	// probeInterval and probeCount find a connection whose peer is gone without
	// a word within about four seconds.
	probeInterval = time.Second
	probeCount    = 3
	// userTimeout is how long sent bytes may stay unacknowledged. A packet is
	// sent again within a fraction of it on a sound link.
	userTimeout = 3 * time.Second
	// maxIdle bounds the unused connections to one address.
	maxIdle = 64
)

// Client sends requests over connections that it keeps.
type Client struct {
	options Options
	dialer  net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
}

// New makes a client.
func New(options Options) *Client {
	return &Client{
		options: options,
		idle:    map[string][]*conn{},
		dialer: net.Dialer{
			Timeout: options.DialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount,
			},
			Control: setUserTimeout,
		},
	}
}

const tcpUserTimeout = 18 // TCP_USER_TIMEOUT, which package syscall does not name

// setUserTimeout ends a connection whose sent bytes nobody acknowledges. Keep-alive
// probes are not sent while bytes are in flight, so without it a request on a
// connection that went silent would wait for its deadline.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// conn is one connection, used by one request at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	reused  bool
	// keep is how long it may lie unused; freed is when it was last used.
	keep  time.Duration
	freed time.Time
}

// Warm opens a connection to address for the next request.
func (c *Client) Warm(ctx context.Context, address string) error {
	opened, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	c.give(opened)
	return nil
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	opened, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.options.Wrap != nil {
		opened = c.options.Wrap(address, opened)
	}
	return &conn{Conn: opened, address: address, reader: bufio.NewReader(opened), keep: c.options.IdleUnstated}, nil
}

// take gives a connection to address, kept or new.
func (c *Client) take(ctx context.Context, address string) (*conn, error) {
	for {
		kept := c.takeIdle(address)
		if kept == nil {
			break
		}
		if time.Since(kept.freed) < kept.keep && kept.quiet() {
			return kept, nil
		}
		kept.Close()
	}
	return c.dial(ctx, address)
}

func (c *Client) takeIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[address]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	c.idle[address] = kept[:len(kept)-1]
	return last
}

// quiet reports whether nothing came on an unused connection: neither its end
// nor bytes. Bytes would be a late second answer, and the connection is not used
// any more; an end would make the next request's outcome unknown.
func (k *conn) quiet() bool {
	if k.reader.Buffered() > 0 {
		return false
	}
	if wrapped, ok := k.Conn.(interface{ Buffered() int }); ok && wrapped.Buffered() > 0 {
		return false
	}
	source, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = failed == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// give keeps a connection for the next request.
func (c *Client) give(k *conn) {
	k.reused, k.freed = true, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[k.address]) >= maxIdle {
		k.Close()
		return
	}
	c.idle[k.address] = append(c.idle[k.address], k)
}

// Forget closes the unused connections to address.
//
// Something between two ends can lose track of their connections while new ones
// work; each of the kept ones would cost a request.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	kept := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, k := range kept {
		k.Close()
	}
}

// Sweep closes connections that lay unused for as long as they may.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, kept := range c.idle {
		left := kept[:0]
		for _, k := range kept {
			if now.Sub(k.freed) < k.keep {
				left = append(left, k)
			} else {
				k.Close()
			}
		}
		if len(left) == 0 {
			delete(c.idle, address)
		} else {
			c.idle[address] = left
		}
	}
}
