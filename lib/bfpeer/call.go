package bfpeer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/exp/jsonrpc2"

	"bilberryflow.org/lib/bfgroup"
)

// Method answers one kind of call from a peer.
type Method struct {
	// Purpose is what its bytes are counted as.
	Purpose Purpose
	// Handle decodes params and answers; it may block.
	Handle func(ctx context.Context, params json.RawMessage) (any, error)
}

// Methods are the calls that a node answers, by name.
type Methods map[string]Method

// Calls answers peers' calls and makes calls to peers.
type Calls struct {
	methods Methods
	traffic *Traffic
	group   *bfgroup.Group
	dialer  net.Dialer

	mu    sync.Mutex
	conns map[string]*pooled
}

// pooled is a connection to one peer, and when it was last used.
type pooled struct {
	conn *jsonrpc2.Connection
	used time.Time
	// ended is done once the connection can bring no more answers.
	ended context.Context
	// calls counts those in progress; a retired connection closes with the last.
	calls   int
	retired bool
}

// NewCalls makes the calls of one node; purposes of methods that it only calls are taken from methods too.
func NewCalls(methods Methods, traffic *Traffic, group *bfgroup.Group) *Calls {
	const dialTimeout = 2 * time.Second
	return &Calls{
		methods: methods, traffic: traffic, group: group,
		dialer: net.Dialer{Timeout: dialTimeout}, conns: map[string]*pooled{},
	}
}

func (c *Calls) options() jsonrpc2.ConnectionOptions {
	purposes := make(map[string]Purpose, len(c.methods))
	for name, method := range c.methods {
		purposes[name] = method.Purpose
	}
	return jsonrpc2.ConnectionOptions{
		Framer: &framer{traffic: c.traffic, purposes: purposes, calls: &sync.Map{}},
	}
}

// Bind gives each connection its own framing and handler.
//
// The library leaves a connection open whose reading ended: without the close
// each peer that went away, or sent bytes that are no message, would cost this
// process a file until none is left.
func (c *Calls) Bind(_ context.Context, conn *jsonrpc2.Connection) (jsonrpc2.ConnectionOptions, error) {
	options := c.options()
	options.Handler = &handler{calls: c, conn: conn}
	c.group.Go("watch connection", func(context.Context) error {
		// How a connection ended makes no difference: its calls are told by Call.
		_ = conn.Wait()
		_ = conn.Close()
		return nil
	})
	return options, nil
}

// handler answers the calls of one connection, each in a goroutine of its own:
// the library delivers calls one after another, and one that waits would hold
// back all that came after it.
type handler struct {
	calls *Calls
	conn  *jsonrpc2.Connection
}

// Handle starts the answer to one call.
func (h *handler) Handle(ctx context.Context, request *jsonrpc2.Request) (any, error) {
	method, found := h.calls.methods[request.Method]
	if !found {
		return nil, jsonrpc2.ErrMethodNotFound
	}
	if !request.IsCall() {
		_, err := method.Handle(ctx, request.Params)
		return nil, err
	}
	h.calls.group.Go("call "+request.Method, func(context.Context) error {
		result, err := method.Handle(ctx, request.Params)
		// A peer that went away while it was answered asks again elsewhere.
		_ = h.conn.Respond(request.ID, result, err)
		return nil
	})
	return nil, jsonrpc2.ErrAsyncResponse
}

// Serve answers peers at listener until ctx ends.
func (c *Calls) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	server, err := jsonrpc2.Serve(ctx, streamListener{listener, ctx}, c)
	if err != nil {
		return err
	}
	err = server.Wait()
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// UnreachableError reports a call that got no answer: it may have been run.
type UnreachableError struct {
	Address string
	Method  string
	Reason  error
}

// Error names the peer and the method.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s to %s: %v", e.Address, e.Method, e.Reason)
}

// Unwrap is the reason.
func (e *UnreachableError) Unwrap() error { return e.Reason }

// Call asks the peer at address and reads its answer into result.
//
// A connection that gives no answer in time is used for no later call:
// something between the nodes may have lost track of it, and it would swallow
// those too. Calls in progress on it keep it until they end, since a single
// slow answer looks the same and must not cut the others.
func (c *Calls) Call(ctx context.Context, address, method string, params, result any) error {
	began := time.Now()
	conn, err := c.connection(ctx, address)
	if err != nil {
		return &UnreachableError{Address: address, Method: method, Reason: err}
	}
	defer c.end(conn)
	// The library never answers a call whose connection broke; without this
	// one the caller would wait for its whole timeout after a peer's crash.
	waiting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(conn.ended, func() { cancel(errConnectionLost) })
	defer stop()
	err = c.await(waiting, conn, method, params, result)
	if waiting.Err() == nil {
		return err
	}
	if !errors.Is(ctx.Err(), context.Canceled) || time.Since(began) > suspectAfter {
		c.retire(address, conn)
	}
	return &UnreachableError{Address: address, Method: method, Reason: context.Cause(waiting)}
}

// suspectAfter is how long a call that its caller gave up must have waited to
// speak against the connection: callers give up for reasons of their own.
const suspectAfter = time.Second

var errConnectionLost = errors.New("connection lost")

// await sends the call from a goroutine of its own: the library's write waits
// for the other writes on the connection whatever the context says, and a
// caller's deadline would pass while it stands behind a peer that stopped reading.
func (c *Calls) await(ctx context.Context, conn *pooled, method string, params, result any) error {
	sent := make(chan *jsonrpc2.AsyncCall, 1)
	c.group.Go("send call", func(context.Context) error {
		sent <- conn.conn.Call(ctx, method, params)
		return nil
	})
	select {
	case call := <-sent:
		return call.Await(ctx, result)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// connection gives the connection to address with one call more on it.
func (c *Calls) connection(ctx context.Context, address string) (*pooled, error) {
	if p := c.pooled(address); p != nil {
		return p, nil
	}
	life := c.group.Context()
	// The connection outlives the call that opened it.
	conn, err := jsonrpc2.Dial(context.WithoutCancel(ctx), streamDialer{&c.dialer, address, ctx, life}, c)
	if err != nil {
		return nil, err
	}
	ended, end := context.WithCancel(context.Background())
	opened := &pooled{conn: conn, used: time.Now(), ended: ended, calls: 1}
	c.group.Go("watch calls", func(context.Context) error {
		defer end()
		// How it ended makes no difference to its calls.
		_ = conn.Wait()
		return nil
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if earlier, found := c.conns[address]; found && earlier.ended.Err() == nil {
		c.close(opened)
		earlier.calls++
		return earlier, nil
	}
	c.conns[address] = opened
	return opened, nil
}

// pooled gives the open connection to address, or nil.
func (c *Calls) pooled(address string) *pooled {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, found := c.conns[address]
	if !found {
		return nil
	}
	if p.ended.Err() != nil {
		delete(c.conns, address)
		return nil
	}
	p.used = time.Now()
	p.calls++
	return p
}

// end takes one call off the connection.
func (c *Calls) end(p *pooled) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.calls--; p.retired && p.calls == 0 {
		c.close(p)
	}
}

// retire keeps later calls off the connection; its last call closes it.
func (c *Calls) retire(address string, lost *pooled) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost.retired = true
	if c.conns[address] == lost {
		delete(c.conns, address)
	}
}

// close closes the connection without waiting for what is in flight on it.
func (c *Calls) close(p *pooled) {
	c.group.Go("close connection", func(context.Context) error { return ignoreClosed(p.conn.Close()) })
}

// ignoreClosed drops the error of a connection that was already lost.
func ignoreClosed(error) error { return nil }

// CloseIdle closes connections on which nothing is in progress and no call began for idle.
func (c *Calls) CloseIdle(now time.Time, idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.conns {
		if now.Sub(p.used) > idle && p.calls == 0 {
			delete(c.conns, address)
			c.close(p)
		}
	}
}

// CloseAll closes every connection to a peer.
func (c *Calls) CloseAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.conns {
		delete(c.conns, address)
		c.close(p)
	}
}
