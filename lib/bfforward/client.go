package bfforward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfresource"
)

// Protocol is the HTTP version used between peers.
type Protocol string

// The supported protocols; docs/design/connections.md compares them.
const (
	// HTTP1 uses a pool of connections, each with one request at a time.
	HTTP1 Protocol = "http1"
	// HTTP2 multiplexes all requests to a peer over one connection.
	HTTP2 Protocol = "http2"
)

// Options configures a Client.
type Options struct {
	Protocol    Protocol
	DialTimeout time.Duration
	// PingAfter is the idle time after which an HTTP/2 connection is probed.
	PingAfter time.Duration
	// PingTimeout is the time without a reply to a probe after which the connection is closed.
	PingTimeout time.Duration
	// IdleTimeout is the time after which unused connections are closed; it must be shorter than the peer's.
	IdleTimeout time.Duration
	// MaxPerPeer limits the connections to one peer; 0 means no limit.
	MaxPerPeer int
	// MaxOpen limits the connections to all peers; 0 means no limit.
	MaxOpen int
}

// DefaultOptions returns options for connections between nodes.
func DefaultOptions() Options {
	return Options{
		// Shorter than the retransmission of a lost SYN, 1 s: trying another target is faster.
		DialTimeout: 500 * time.Millisecond,
		Protocol:    HTTP1, PingAfter: time.Second, PingTimeout: time.Second, IdleTimeout: 30 * time.Second,
	}
}

// TargetOptions returns options for connections from a node to its target.
//
// If the target closes an idle connection while a request is written to it, the
// request's outcome is unknown, and a target can't be queried for it. The target's
// idle timeout is not known either, so this one is short; a new connection on the
// same instance is cheap.
func TargetOptions() Options {
	options := DefaultOptions()
	options.IdleTimeout = time.Second
	return options
}

// Client sends requests to peers. Each peer has its own transport, so that its
// connections can be dropped without affecting other peers.
type Client struct {
	options Options
	// open is the number of open connections.
	open  atomic.Int64
	mu    sync.RWMutex
	peers map[string]*peer
}

type peer struct {
	transport *http.Transport
	lastUsed  atomic.Int64 // nanoseconds since 1970
}

// New returns a client.
func New(options Options) *Client {
	return &Client{options: options, peers: map[string]*peer{}}
}

func (c *Client) peer(address string) *http.Transport {
	now := time.Now().UnixNano()
	c.mu.RLock()
	p, found := c.peers[address]
	c.mu.RUnlock()
	if !found {
		c.mu.Lock()
		if p, found = c.peers[address]; !found {
			p = &peer{transport: c.transport()}
			c.peers[address] = p
		}
		c.mu.Unlock()
	}
	p.lastUsed.Store(now)
	return p.transport
}

func (c *Client) transport() *http.Transport {
	// Keeps the connections of a burst open until IdleTimeout; a lower limit would
	// close and reopen them throughout the burst.
	const idlePerPeer = 256
	t := &http.Transport{
		DialContext:         c.dial,
		MaxIdleConnsPerHost: idlePerPeer,
		MaxConnsPerHost:     c.options.MaxPerPeer,
		IdleConnTimeout:     c.options.IdleTimeout,
		DisableCompression:  true,
	}
	if c.options.Protocol == HTTP2 {
		t.Protocols = new(http.Protocols)
		t.Protocols.SetUnencryptedHTTP2(true)
		t.HTTP2 = &http.HTTP2Config{SendPingTimeout: c.options.PingAfter, PingTimeout: c.options.PingTimeout}
	}
	return t
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := c.reserve(); err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: c.options.DialTimeout}
	opened, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		c.open.Add(-1)
		return nil, err
	}
	counted := bfresource.NewCounted(opened, func() { c.open.Add(-1) })
	if c.options.Protocol == HTTP2 {
		return counted, nil
	}
	return &conn{Conn: counted}, nil
}

// ConnectionsError reports a connection that was not opened, as all that the client may have are open.
type ConnectionsError struct{ Limit int }

// Error includes the limit.
func (e *ConnectionsError) Error() string { return fmt.Sprintf("all %d connections are open", e.Limit) }

// reserve counts a connection that is about to be opened. If there are too many, it closes the idle ones; it
// fails with a *ConnectionsError if that is not enough.
func (c *Client) reserve() error {
	limit := int64(c.options.MaxOpen)
	if c.open.Add(1) <= limit || limit == 0 {
		return nil
	}
	c.closeIdle()
	if c.open.Load() <= limit {
		return nil
	}
	c.open.Add(-1)
	return &ConnectionsError{Limit: c.options.MaxOpen}
}

// closeIdle closes the idle connections to all peers.
func (c *Client) closeIdle() {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, p := range c.peers {
		p.transport.CloseIdleConnections()
	}
}

// ResetPeer drops the idle connections to a peer, so that the next request opens a new one.
//
// Connections can go silently dead while new ones work; each idle one would
// otherwise lose a request.
func (c *Client) ResetPeer(address string) {
	c.mu.Lock()
	p, found := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if found {
		p.transport.CloseIdleConnections()
	}
}

// Sweep removes the peers that have not been used for the duration idle.
func (c *Client) Sweep(now time.Time, idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.peers {
		if now.UnixNano()-p.lastUsed.Load() > int64(idle) {
			delete(c.peers, address)
			p.transport.CloseIdleConnections()
		}
	}
}

// Warm opens a connection to the peer in advance.
func (c *Client) Warm(ctx context.Context, address string) error {
	response, err := c.Send(ctx, address, Request{Method: http.MethodOptions, Target: "*"}, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	// Reading the empty body to its end returns the connection to the pool.
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
