package bfresource

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfpace"
)

// What a process holds for a client beside its bytes, in bytes.
const (
	// connectionBytes is held for an open connection: its goroutine and buffers.
	connectionBytes = 16 << 10
	// requestBytes is held for a request: its goroutines, and the buffers of its answer.
	requestBytes = 24 << 10
	// lineBytes is held for a line of a head: its entry in the parsed head, and in the copy that is sent on.
	lineBytes = 192
)

// HeadCost returns what the head of a request takes while the request is in progress, in bytes.
func HeadCost(bytes, lines int) int64 { return 2*int64(bytes) + lineBytes*int64(lines) }

// ExhaustedError reports a request for which too little memory is left, or which was evicted in favour of others.
// It has not run.
type ExhaustedError struct {
	// Evicted is set if others got the memory of the request.
	Evicted bool
	// Bytes is what the request asked for.
	Bytes int64
}

// Error includes what the request asked for.
func (e *ExhaustedError) Error() string {
	if e.Evicted {
		return "request evicted: it arrived too slowly for the memory that it held"
	}
	return fmt.Sprintf("too little memory for clients: %d bytes asked for", e.Bytes)
}

// IsExhausted reports whether err is an *ExhaustedError.
func IsExhausted(err error) bool {
	var exhausted *ExhaustedError
	return errors.As(err, &exhausted)
}

// RetryAfter is when a request that got no memory may be sent again: what arrives slowly is evicted by then.
const RetryAfter = 2 * slowAfter

// Budget is what a process holds for its clients. It is safe for concurrent use; nil bounds nothing.
type Budget struct {
	// memory is in bytes.
	memory int64
	// pace is that of requests that are not slow.
	pace bfpace.Terms
	now  func() time.Time

	mu       sync.Mutex
	held     int64
	ports    []*Port
	arriving map[*Request]struct{}
	counts   Counts
}

// Counts are what a budget holds now, and what it has refused since its start.
type Counts struct {
	// Memory is in bytes.
	Memory, MemoryLimit int64
	Connections         int64
	// IdleClosed and SlowClosed are connections closed in favour of others, Refused those that were not
	// accepted.
	IdleClosed, SlowClosed, Refused int64
	// RequestsEvicted and RequestsRefused are requests that lost their memory or got none.
	RequestsEvicted, RequestsRefused int64
}

// New returns the budget of a process, nil for limits that are zero.
func New(limits Limits) *Budget {
	if limits == (Limits{}) {
		return nil
	}
	return &Budget{
		memory: limits.requestMemory(), pace: bfpace.Terms{Rate: limits.Body.Rate, Pause: slowAfter},
		now: time.Now, arriving: map[*Request]struct{}{},
	}
}

// Counts returns the current counts.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.counts
	counts.Memory, counts.MemoryLimit = b.held, b.memory
	for _, p := range b.ports {
		counts.Connections += int64(len(p.open))
	}
	return counts
}

// Request is what the process holds for one request; nil bounds nothing.
type Request struct {
	conn *Conn
	// evict ends the arrival of the request.
	evict func()

	// evicted is set once others got its memory.
	evicted atomic.Bool

	// The budget guards what follows.
	held  int64
	began time.Time
	// pace is that of its bytes. reading is set while it waits for some, and readAt when that changed last.
	pace    bfpace.Pace
	reading bool
	readAt  time.Time
	// ended is set once it holds nothing any more.
	ended bool
}

// Charge charges bytes to the request until its end. It fails with an *ExhaustedError.
func (r *Request) Charge(bytes int64) error {
	if r == nil || bytes <= 0 {
		return nil
	}
	b := r.conn.port.budget
	b.mu.Lock()
	victims, err := b.charge(r, bytes)
	b.mu.Unlock()
	victims.end()
	return err
}

// charge is Charge; the caller ends the victims without holding mu.
func (b *Budget) charge(r *Request, bytes int64) (victims, error) {
	if r.evicted.Load() {
		return nil, &ExhaustedError{Evicted: true, Bytes: bytes}
	}
	var ended victims
	if b.held+bytes > b.memory {
		ended = b.reclaim(r, b.held+bytes-b.memory)
	}
	if b.held+bytes > b.memory {
		b.counts.RequestsRefused++
		return ended, &ExhaustedError{Bytes: bytes}
	}
	b.held += bytes
	r.held += bytes
	return ended, nil
}

// Hold charges bytes that the request needs for an answer that is there: they can't be refused any more.
func (r *Request) Hold(bytes int64) {
	if r == nil {
		return
	}
	b := r.conn.port.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held += bytes
	r.held += bytes
}

// BeginRead marks that the request waits for its client, until EndRead.
func (r *Request) BeginRead() {
	if r == nil {
		return
	}
	b := r.conn.port.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	r.pace, r.reading, r.readAt = r.pace.Waited(now.Sub(r.readAt)), true, now
}

// EndRead marks that bytes of the request have arrived.
func (r *Request) EndRead(bytes int) {
	if r == nil {
		return
	}
	b := r.conn.port.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	r.pace, r.reading, r.readAt = r.pace.Arrived(bytes, now, b.pace), false, now
}

// Arrived marks the request as complete: it keeps what it holds until its end.
func (r *Request) Arrived() {
	if r == nil {
		return
	}
	b := r.conn.port.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.arriving, r)
}

// Evicted returns an *ExhaustedError once others got the memory of the request, else nil.
func (r *Request) Evicted() error {
	if r == nil || !r.evicted.Load() {
		return nil
	}
	return &ExhaustedError{Evicted: true}
}

// End releases what the request holds; further calls do nothing.
func (r *Request) End() {
	if r == nil {
		return
	}
	b := r.conn.port.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	delete(b.arriving, r)
	b.held -= r.held
	r.held = 0
	r.conn.endRequest()
}

type contextKey struct{}

// WithRequest returns a context with what the process holds for a request.
func WithRequest(ctx context.Context, r *Request) context.Context {
	return context.WithValue(ctx, contextKey{}, r)
}

// FromContext returns what WithRequest has added, nil for nothing.
func FromContext(ctx context.Context) *Request {
	r, _ := ctx.Value(contextKey{}).(*Request)
	return r
}
