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
	"golang.org/x/sync/semaphore"

	"bilberryflow.org/lib/bfgroup"
)

// Method handles one kind of call from a peer.
type Method struct {
	// Purpose is what the bytes of its messages are counted as.
	Purpose Purpose
	// Handle decodes params and returns the result. It may block.
	Handle func(ctx context.Context, params json.RawMessage) (any, error)
}

// Methods are the calls that a node serves, by name.
type Methods map[string]Method

// Calls serves peers' calls and makes calls to peers.
type Calls struct {
	methods Methods
	traffic *Traffic
	group   *bfgroup.Group
	dialer  net.Dialer
	unsent  unsent
	// serving bounds the calls of all connections that are being served.
	serving *semaphore.Weighted

	mu    sync.Mutex
	conns map[string]*pooledConn
}

// pooledConn is a connection to one peer.
type pooledConn struct {
	address string
	conn    *jsonrpc2.Connection
	// lastUsed is when the latest call began.
	lastUsed time.Time
	// ended is cancelled once the connection can't deliver any more answers.
	ended context.Context
	// calls counts the calls in progress; a retired connection is closed with the last one.
	calls   int
	retired bool
}

// NewCalls makes the calls of one node. Methods that the node only calls are listed too, for
// their purpose.
func NewCalls(methods Methods, traffic *Traffic, group *bfgroup.Group) *Calls {
	const dialTimeout = 2 * time.Second
	return &Calls{
		methods: methods, traffic: traffic, group: group,
		dialer: net.Dialer{Timeout: dialTimeout}, conns: map[string]*pooledConn{},
		serving: semaphore.NewWeighted(maxServing),
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

// Bind sets up the framing and the handler of a new connection.
//
// jsonrpc2 does not close a connection whose reader ended. Bind does, since each peer that
// disconnects or sends malformed messages would otherwise leak a file descriptor.
func (c *Calls) Bind(_ context.Context, conn *jsonrpc2.Connection) (jsonrpc2.ConnectionOptions, error) {
	options := c.options()
	options.Preempter = &handler{calls: c, conn: conn, serving: newServing(c.serving)}
	c.group.Go("watch connection", func(context.Context) error {
		// The error is irrelevant here: Call reports it to the pending calls.
		_ = conn.Wait()
		_ = conn.Close()
		return nil
	})
	return options, nil
}

// handler serves the calls of one connection, each in its own goroutine: jsonrpc2 delivers
// calls sequentially, so a call that blocks would delay all later ones.
//
// It is the connection's preempter and not its handler, so that jsonrpc2 queues no call. While a
// call is queued on a connection that has ended, jsonrpc2's queue is a busy loop, and a node that
// resumes after a pause with hundreds of such connections would do nothing else for seconds.
type handler struct {
	calls   *Calls
	conn    *jsonrpc2.Connection
	serving *serving
}

// Preempt starts serving one call.
func (h *handler) Preempt(ctx context.Context, request *jsonrpc2.Request) (any, error) {
	method, found := h.calls.methods[request.Method]
	if !found {
		return nil, jsonrpc2.ErrMethodNotFound
	}
	if !request.IsCall() {
		_, err := method.Handle(ctx, request.Params)
		return nil, err
	}
	size := len(request.Params)
	if err := h.serving.acquire(h.calls.group.Context(), size); err != nil {
		return nil, err
	}
	h.calls.group.Go("call "+request.Method, func(context.Context) error {
		defer h.serving.release(size)
		result, err := method.Handle(ctx, request.Params)
		h.respond(request.ID, result, err)
		return nil
	})
	return nil, jsonrpc2.ErrAsyncResponse
}

// respond sends the answer of a call, or an UnsentError if too much waits for slow connections.
func (h *handler) respond(id jsonrpc2.ID, result any, err error) {
	var data json.RawMessage
	if err == nil {
		data, err = json.Marshal(result)
	}
	if err == nil {
		if err = h.calls.reserve(h, len(data)); err == nil {
			defer h.calls.unsent.release(h, len(data))
		}
	}
	// If the peer has disconnected, it retries at another node.
	if err != nil {
		_ = h.conn.Respond(id, nil, err)
		return
	}
	_ = h.conn.Respond(id, data, nil)
}

// Serve serves peers that connect to listener until ctx ends.
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

// UnreachableError reports a call without an answer: it may have been executed.
type UnreachableError struct {
	Address string
	Method  string
	Reason  error
}

// Error includes the peer's address, the method and the reason.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s to %s: %v", e.Address, e.Method, e.Reason)
}

// Unwrap returns the reason.
func (e *UnreachableError) Unwrap() error { return e.Reason }

// Call calls a method of the peer at address and decodes its answer into result. If no
// answer arrives, it returns an UnreachableError.
//
// A connection on which a call timed out is not used for later calls, since a middlebox may
// have dropped its state. It is closed only after its other calls have ended: a single slow
// answer looks the same and must not cancel them.
func (c *Calls) Call(ctx context.Context, address, method string, params, result any) error {
	began := time.Now()
	conn, err := c.connection(ctx, address)
	if err != nil {
		return &UnreachableError{Address: address, Method: method, Reason: err}
	}
	defer c.release(conn)
	// jsonrpc2 never completes a call whose connection broke. Without this
	// the caller would wait for its full timeout after a peer's crash.
	waiting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(conn.ended, func() { cancel(errConnectionLost) })
	defer stop()
	err = c.send(waiting, conn, method, params, result)
	if waiting.Err() == nil {
		return err
	}
	if !errors.Is(ctx.Err(), context.Canceled) || time.Since(began) > suspectAfter {
		c.retire(address, conn)
	}
	return &UnreachableError{Address: address, Method: method, Reason: context.Cause(waiting)}
}

// suspectAfter is how long a call must have waited for its cancellation to count against
// the connection: callers also cancel for reasons of their own.
const suspectAfter = time.Second

var errConnectionLost = errors.New("connection lost")

// send sends the call from a separate goroutine: jsonrpc2 serializes the writes of a
// connection regardless of ctx, so a peer that stopped reading would delay the caller past
// its deadline.
//
// The message counts as unsent until it is written, also after the caller has given up.
func (c *Calls) send(ctx context.Context, conn *pooledConn, method string, params, result any) error {
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	if err := c.reserve(conn.address, len(data)); err != nil {
		return &UnreachableError{Address: conn.address, Method: method, Reason: err}
	}
	sent := make(chan *jsonrpc2.AsyncCall, 1)
	c.group.Go("send call", func(context.Context) error {
		defer c.unsent.release(conn.address, len(data))
		sent <- conn.conn.Call(ctx, method, json.RawMessage(data))
		return nil
	})
	select {
	case call := <-sent:
		return call.Await(ctx, result)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// connection returns the connection to address and counts one more call on it.
func (c *Calls) connection(ctx context.Context, address string) (*pooledConn, error) {
	if p := c.acquire(address); p != nil {
		return p, nil
	}
	life := c.group.Context()
	// The connection outlives the call that opens it.
	conn, err := jsonrpc2.Dial(context.WithoutCancel(ctx), streamDialer{&c.dialer, address, ctx, life}, c)
	if err != nil {
		return nil, err
	}
	ended, end := context.WithCancel(context.Background())
	opened := &pooledConn{address: address, conn: conn, lastUsed: time.Now(), ended: ended, calls: 1}
	c.group.Go("watch calls", func(context.Context) error {
		defer end()
		// The calls only need to know that it ended.
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

// acquire returns the open connection to address and counts one more call on it, or nil.
func (c *Calls) acquire(address string) *pooledConn {
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
	p.lastUsed = time.Now()
	p.calls++
	return p
}

// release ends one call on the connection.
func (c *Calls) release(p *pooledConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.calls--; p.retired && p.calls == 0 {
		c.close(p)
	}
}

// retire excludes the connection from later calls; it is closed with its last call.
func (c *Calls) retire(address string, lost *pooledConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost.retired = true
	if c.conns[address] == lost {
		delete(c.conns, address)
	}
}

// close closes the connection in the background, since closing waits for the calls in flight.
func (c *Calls) close(p *pooledConn) {
	c.group.Go("close connection", func(context.Context) error { return ignoreClosed(p.conn.Close()) })
}

// ignoreClosed drops the error of closing a connection that is already broken.
func ignoreClosed(error) error { return nil }

// CloseIdle closes connections without calls on which no call began for idle.
func (c *Calls) CloseIdle(now time.Time, idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.conns {
		if now.Sub(p.lastUsed) > idle && p.calls == 0 {
			delete(c.conns, address)
			c.close(p)
		}
	}
}

// CloseAll closes all connections to peers.
func (c *Calls) CloseAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.conns {
		delete(c.conns, address)
		c.close(p)
	}
}
