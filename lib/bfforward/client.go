package bfforward

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Protocol is how requests share connections.
type Protocol string

// The protocols; docs/design/connections.md has the figures.
const (
	// HTTP1 keeps a pool of connections, each with one request at a time.
	HTTP1 Protocol = "http1"
	// HTTP2 puts all requests to a peer on one connection.
	HTTP2 Protocol = "http2"
)

// Options of a Client.
type Options struct {
	Protocol    Protocol
	DialTimeout time.Duration
	// PingAfter is how long an HTTP/2 connection may be quiet before it is probed.
	PingAfter time.Duration
	// PingTimeout is how long a probe may go unanswered before the connection is replaced.
	PingTimeout time.Duration
	// IdleTimeout closes unused connections; it must be shorter than the peer's.
	IdleTimeout time.Duration
	// MaxPerPeer caps connections to one peer; 0 means no cap.
	MaxPerPeer int
}

// DefaultOptions suit hops between nodes.
func DefaultOptions() Options {
	return Options{
		// A lost first packet is sent again after a second; another target is nearer than that.
		DialTimeout: 500 * time.Millisecond,
		Protocol:    HTTP1, PingAfter: time.Second, PingTimeout: time.Second, IdleTimeout: 30 * time.Second,
	}
}

// TargetOptions suit the hop from a node to its target.
//
// A target that closes an idle connection just as a request is written to it
// leaves the request's outcome unknown, and unlike a node it can't be asked.
// Nothing is known of its idle timeout, so it is given little time; a new
// connection on the same instance costs far less than an unknown nomination.
func TargetOptions() Options {
	options := DefaultOptions()
	options.IdleTimeout = time.Second
	return options
}

// Client sends requests to peers, each with connections of its own, so that
// one peer's can be replaced without touching the others'.
type Client struct {
	options Options
	mu      sync.RWMutex
	peers   map[string]*peer
}

type peer struct {
	transport *http.Transport
	used      atomic.Int64 // nanoseconds since 1970
}

// New makes a client.
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
	p.used.Store(now)
	return p.transport
}

func (c *Client) transport() *http.Transport {
	// What is open in a spike's first moments is needed in the next; IdleTimeout
	// takes the rest back. A lower number would close and open them all through it.
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
	dialer := net.Dialer{Timeout: c.options.DialTimeout}
	opened, err := dialer.DialContext(ctx, network, address)
	if err != nil || c.options.Protocol == HTTP2 {
		return opened, err
	}
	return &conn{Conn: opened}, nil
}

// Replace drops the idle connections to a peer, so that the next request opens a new one.
//
// Something between the two ends can lose track of open connections while new
// ones work; the idle ones would swallow a request each until its deadline.
func (c *Client) Replace(address string) {
	c.mu.Lock()
	p, found := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if found {
		p.transport.CloseIdleConnections()
	}
}

// Sweep forgets peers that were not used for idle.
func (c *Client) Sweep(now time.Time, idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.peers {
		if now.UnixNano()-p.used.Load() > int64(idle) {
			delete(c.peers, address)
			p.transport.CloseIdleConnections()
		}
	}
}

// Warm opens a connection to the peer before requests need it.
func (c *Client) Warm(ctx context.Context, address string) error {
	response, err := c.Send(ctx, address, Request{Method: http.MethodOptions, Target: "*"}, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	// The body is empty; reading it to the end frees the connection.
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
