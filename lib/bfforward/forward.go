package bfforward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
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
	// PingAfter is how long a connection may be quiet before it is probed.
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
		Protocol: HTTP1, DialTimeout: time.Second, PingAfter: time.Second,
		PingTimeout: time.Second, IdleTimeout: 30 * time.Second,
	}
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

// Request is what goes over the hop.
type Request struct {
	Method string
	// Target is the escaped path with the query.
	Target string
	Header http.Header
	Body   []byte
}

// NotSentError reports a request of which no byte left this node.
type NotSentError struct {
	Address string
	Reason  error
}

// Error names the peer and the reason.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent to %s: %v", e.Address, e.Reason) }

// Unwrap is the reason.
func (e *NotSentError) Unwrap() error { return e.Reason }

// LostError reports a request that may have arrived and has no answer.
type LostError struct {
	Address string
	Reason  error
}

// Error names the peer and the reason.
func (e *LostError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", e.Address, e.Reason)
}

// Unwrap is the reason.
func (e *LostError) Unwrap() error { return e.Reason }

// onceBody hides the body's type from net/http, which would otherwise send a
// request again by itself when a connection breaks: a nomination without a
// body, or with an Idempotency-Key, would run twice.
type onceBody struct{ io.Reader }

// Close has nothing to close.
func (onceBody) Close() error { return nil }

// Send sends the request to the peer at address; its errors are NotSentError and LostError.
//
// sending is called before the first byte can leave.
func (c *Client) Send(ctx context.Context, address string, r Request, sending func()) (*http.Response, error) {
	var mayHaveLeft atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		if mayHaveLeft.CompareAndSwap(false, true) && sending != nil {
			sending()
		}
	}}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, "http://"+address+r.Target, nil)
	if err != nil {
		return nil, &NotSentError{Address: address, Reason: err}
	}
	if r.Header != nil {
		request.Header = r.Header
	}
	request.Body = onceBody{bytes.NewReader(r.Body)}
	request.ContentLength = int64(len(r.Body))
	response, err := c.peer(address).RoundTrip(request)
	switch {
	case err == nil:
		return response, nil
	case mayHaveLeft.Load():
		return nil, &LostError{Address: address, Reason: err}
	default:
		return nil, &NotSentError{Address: address, Reason: err}
	}
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
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: c.options.DialTimeout}).DialContext,
		MaxIdleConnsPerHost: 64,
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
