package bfexchange

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bilberryflow.org/lib/bfresource"
)

// Options configure a Client.
type Options struct {
	// IDHeader is the header in which an answer repeats its request's ID. If it is empty,
	// answers are not matched.
	IDHeader string
	// DialTimeout bounds the setup of a connection.
	DialTimeout time.Duration
	// DefaultIdleTimeout is how long an idle connection is kept if the peer does not send a
	// Keep-Alive timeout.
	DefaultIdleTimeout time.Duration
	// MaxOpen bounds the open connections to all addresses, 0 for no bound.
	MaxOpen int
	// Wrap wraps each new connection to an address; nil means no wrapping.
	Wrap func(address string, c net.Conn) net.Conn
}

const (
	// keepAliveInterval and keepAliveCount detect a peer that vanished without closing its
	// connection within about four seconds.
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// userTimeout is how long sent bytes may stay unacknowledged. On a healthy link a lost
	// packet is retransmitted well within it.
	userTimeout = 3 * time.Second
	// maxIdle bounds the idle connections per address.
	maxIdle = 64
)

// Client sends requests over pooled connections.
type Client struct {
	options Options
	dialer  net.Dialer

	// open is the number of open connections.
	open atomic.Int64

	mu   sync.Mutex
	idle map[string][]*conn

	opened, discarded, avoided atomic.Int64
}

// Opened returns the number of connections opened.
func (c *Client) Opened() int64 { return c.opened.Load() }

// Discarded returns the number of answers discarded since they were those of another request.
func (c *Client) Discarded() int64 { return c.discarded.Load() }

// Avoided returns the number of requests sent over a new connection since all that were idle had carried
// the same request.
func (c *Client) Avoided() int64 { return c.avoided.Load() }

// New makes a client without connections.
func New(options Options) *Client {
	return &Client{
		options: options,
		idle:    map[string][]*conn{},
		dialer: net.Dialer{
			Timeout: options.DialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
			},
			Control: setUserTimeout,
		},
	}
}

const tcpUserTimeout = 18 // TCP_USER_TIMEOUT, which package syscall lacks

// setUserTimeout closes a connection whose sent bytes stay unacknowledged. Keep-alive
// probes are not sent while bytes are in flight, so without it a request on a dead
// connection would wait until its deadline.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sysErr error
	err := raw.Control(func(fd uintptr) {
		sysErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sysErr
}

// conn is a connection, used by one request at a time.
type conn struct {
	net.Conn
	address string
	source  *headReader
	reader  *bufio.Reader
	reused  bool
	// begun is set once bytes of the head that is awaited have arrived.
	begun bool
	// idleTimeout is how long it may be idle; idleSince is when it was last used.
	idleTimeout time.Duration
	idleSince   time.Time
	history     history
}

// Preconnect opens a connection to address for the next request.
func (c *Client) Preconnect(ctx context.Context, address string) error {
	opened, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	c.put(opened)
	return nil
}

// Probe sends a request over a new connection and discards its answer, which may have any status. If
// there is one, idle connections that were opened earlier are closed, as they may have lost their
// other end, and the new one is kept.
func (c *Client) Probe(ctx context.Context, address string, request *Request) error {
	opened, err := c.dial(ctx, address)
	if err != nil {
		return &NotSentError{Address: address, Reason: err}
	}
	answer, err := c.sendOver(ctx, opened, request)
	if err != nil {
		return err
	}
	c.CloseIdle(address)
	answer.Discard()
	return nil
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	if err := c.reserve(); err != nil {
		return nil, err
	}
	opened, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.release()
		return nil, err
	}
	c.opened.Add(1)
	opened = bfresource.NewCounted(opened, c.release)
	if c.options.Wrap != nil {
		opened = c.options.Wrap(address, opened)
	}
	source := &headReader{conn: opened}
	return &conn{Conn: opened, address: address, source: source, reader: bufio.NewReader(source), idleTimeout: c.options.DefaultIdleTimeout}, nil
}

// get returns a connection to address that has not carried the request before, pooled or new.
func (c *Client) get(ctx context.Context, address string, request *Request) (*conn, error) {
	for {
		kept := c.popIdle(address, c.historyID(request))
		if kept == nil {
			break
		}
		if time.Since(kept.idleSince) < kept.idleTimeout && kept.isClean() {
			return kept, nil
		}
		kept.Close()
	}
	if c.hasIdle(address) {
		c.avoided.Add(1)
	}
	return c.dial(ctx, address)
}

// hasIdle reports whether there are idle connections to address.
func (c *Client) hasIdle(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle[address]) > 0
}

// popIdle takes the connection used last of those that have not carried the request with a hash; nil if
// there is none.
func (c *Client) popIdle(address string, id uint64) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[address]
	for i := len(kept) - 1; i >= 0; i-- {
		if k := kept[i]; !k.history.has(id) {
			c.idle[address] = slices.Delete(kept, i, i+1)
			return k
		}
	}
	return nil
}

// isClean reports whether an idle connection has neither been closed by the peer nor
// received bytes. Stray bytes would be taken for the next answer, and on a closed
// connection the next request's outcome would be unknown.
func (k *conn) isClean() bool {
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
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, sysErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = sysErr == syscall.EAGAIN
		return true
	})
	return err == nil && clean
}

// put returns a connection to the pool.
func (c *Client) put(k *conn) {
	k.reused, k.idleSince = true, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[k.address]) >= maxIdle {
		k.Close()
		return
	}
	c.idle[k.address] = append(c.idle[k.address], k)
}

// CloseIdle closes the idle connections to address.
//
// A middlebox can drop the state of existing connections while new ones work; each pooled
// connection would then cost one request.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	kept := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, k := range kept {
		k.Close()
	}
}

// CloseExpired closes the connections that have exceeded their idle timeout.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, kept := range c.idle {
		left := kept[:0]
		for _, k := range kept {
			if now.Sub(k.idleSince) < k.idleTimeout {
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
