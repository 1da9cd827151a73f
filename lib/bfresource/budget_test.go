package bfresource

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// clock is a budget's time.
type clock struct{ at time.Time }

func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

// newBudget returns a budget of some memory in bytes, with its clock.
func newBudget(memory int64) (*Budget, *clock) {
	c := &clock{at: time.Unix(1, 0)}
	b := New(NewLimits(Machine{MemoryMB: 1, Descriptors: 100}, Clients{}))
	b.memory, b.now = memory, func() time.Time { return c.at }
	return b, c
}

// client is a connection with a request.
type client struct {
	conn            *Conn
	request         *Request
	closed, evicted bool
	unread          bool
}

func noBytes() bool { return false }

func connect(t *testing.T, p *Port) *client {
	t.Helper()
	c := &client{}
	var err error
	c.conn, err = p.Open(func() { c.closed = true }, func() bool { return c.unread })
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// send begins a request that takes bytes beside what each request takes.
func (c *client) send(bytes int64) error {
	var err error
	if c.request, err = c.conn.Begin(func() { c.evicted = true }); err != nil {
		return err
	}
	err = c.request.Charge(bytes)
	c.request.BeginRead()
	return err
}

const each = connectionBytes + requestBytes

// Guards against requests that arrive at their pace, or wait for the node itself, and are evicted before ones that
// have stopped.
func TestSlowRequestsAreEvictedBeforeLargeOnes(t *testing.T) {
	is := is.New(t)
	b, now := newBudget(4*each + 60_000)
	p := b.NewPort(10)
	fast, waiting, stopped := connect(t, p), connect(t, p), connect(t, p)
	is.NoErr(fast.send(30_000))
	is.NoErr(waiting.send(20_000))
	is.NoErr(stopped.send(1000))
	waiting.request.EndRead(1) // the node reads no more for now
	for range 10 {
		now.advance(100 * time.Millisecond)
		fast.request.EndRead(100_000)
		fast.request.BeginRead()
	}
	ordinary := connect(t, p)
	is.NoErr(ordinary.send(30_000))
	is.True(stopped.evicted && !fast.evicted && !waiting.evicted)
	connect(t, p)
	is.True(fast.evicted && !waiting.evicted) // the greatest of those that are not slow
}

// Guards against small requests that are evicted for the memory that a large one holds, and against evicting
// the one that came first instead of the one that burdens most.
func TestGreatestBurdenIsEvictedFirst(t *testing.T) {
	is := is.New(t)
	b, now := newBudget(4*each + 40_000)
	p := b.NewPort(10)
	small, large, fresh := connect(t, p), connect(t, p), connect(t, p)
	is.NoErr(small.send(1000))
	is.NoErr(large.send(30_000))
	now.advance(slowAfter)
	is.NoErr(fresh.send(1000))
	ordinary := connect(t, p)
	is.NoErr(ordinary.send(9000))
	is.True(large.evicted)
	is.True(!small.evicted && !fresh.evicted)
	is.True(IsExhausted(large.request.Evicted()))
	is.True(IsExhausted(large.request.Charge(1)))
}

// Guards against requests that lose their memory although they have arrived, and against new ones that get
// more than there is.
func TestCompleteRequestsKeepTheirMemory(t *testing.T) {
	is := is.New(t)
	b, now := newBudget(2*each + 30_000)
	p := b.NewPort(10)
	complete, next := connect(t, p), connect(t, p)
	is.NoErr(complete.send(30_000))
	complete.request.Arrived()
	now.advance(time.Minute)
	is.True(IsExhausted(next.send(1000)))
	is.True(!complete.evicted)
	is.Equal(b.Counts().RequestsRefused, int64(1))
	complete.request.End()
	next.request.End()
	is.NoErr(next.send(1000))
}

// Guards against a request that has others evicted although it is the greatest burden itself.
func TestGreatestBurdenIsRefusedItself(t *testing.T) {
	is := is.New(t)
	b, now := newBudget(2*each + 30_000)
	p := b.NewPort(10)
	small, large := connect(t, p), connect(t, p)
	is.NoErr(small.send(1000))
	is.NoErr(large.send(20_000))
	now.advance(time.Second)
	is.True(IsExhausted(large.request.Charge(20_000)))
	is.True(!small.evicted)
}

// Guards against requests that are refused while connections without a request hold memory, and against
// closing those while requests arrive slowly.
func TestIdleConnectionsAreClosedBeforeRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	b, now := newBudget(2*each + connectionBytes)
	p := b.NewPort(10)
	slow, idle := connect(t, p), connect(t, p)
	is.NoErr(slow.send(0))
	now.advance(slowAfter)
	ordinary := connect(t, p)
	is.NoErr(ordinary.send(requestBytes))
	is.True(slow.evicted)
	is.True(!idle.closed)
	is.NoErr(ordinary.request.Charge(connectionBytes))
	is.True(idle.closed)
	is.True(IsExhausted(ordinary.request.Charge(connectionBytes)))
}

// Guards against a port that takes no connections while it has idle or slow ones, or more than its limit.
func TestFullPortClosesIdleThenSlowConnections(t *testing.T) {
	is := is.New(t)
	b, now := newBudget(1 << 30)
	p := b.NewPort(3)
	first, second, slow := connect(t, p), connect(t, p), connect(t, p)
	is.NoErr(slow.send(1 << 20))
	now.advance(slowAfter)
	is.NoErr(connect(t, p).send(0))
	is.True(first.closed && !second.closed)
	is.NoErr(connect(t, p).send(0))
	is.True(second.closed && !slow.closed)
	is.NoErr(connect(t, p).send(0))
	is.True(slow.closed)
	_, err := p.Open(func() {}, noBytes)
	var full *FullError
	is.True(errors.As(err, &full)) // those left have just begun to send
	counts := b.Counts()
	is.Equal([]int64{counts.Connections, counts.IdleClosed, counts.SlowClosed, counts.Refused}, []int64{3, 2, 1, 1})
}

// Guards against closing a connection on which complete requests are in progress.
func TestConnectionWithRequestsInProgressIsKept(t *testing.T) {
	is := is.New(t)
	b, now := newBudget(1 << 30)
	p := b.NewPort(1)
	c := connect(t, p)
	is.NoErr(c.send(0))
	c.request.Arrived()
	is.NoErr(c.send(0)) // pipelined behind it
	now.advance(time.Minute)
	_, err := p.Open(func() {}, noBytes)
	is.True(err != nil)
	is.True(!c.closed)
}

// Guards against a budget that loses count, or is exceeded.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := newBudget(10 * each)
		ports := []*Port{b.NewPort(4), b.NewPort(6)}
		var conns []*Conn
		var requests []*Request
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				if c, err := ports[rapid.IntRange(0, 1).Draw(t, "port")].Open(func() {}, noBytes); err == nil {
					conns = append(conns, c)
				}
			case 1:
				if len(conns) > 0 {
					r, _ := conns[rapid.IntRange(0, len(conns)-1).Draw(t, "conn")].Begin(func() {})
					requests = append(requests, r)
				}
			case 2:
				conns = closeOne(t, conns)
			case 3:
				now.advance(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			default:
				actOn(t, requests)
			}
			if b.held > b.memory || b.held < 0 {
				t.Fatalf("%d bytes held of %d", b.held, b.memory)
			}
		}
		for _, r := range requests {
			r.End()
		}
		for _, c := range conns {
			c.Close()
		}
		if b.held != 0 || b.Counts().Connections != 0 || len(b.arriving) != 0 {
			t.Fatalf("%d bytes and %d connections held at the end", b.held, b.Counts().Connections)
		}
	})
}

func closeOne(t *rapid.T, conns []*Conn) []*Conn {
	if len(conns) == 0 {
		return conns
	}
	at := rapid.IntRange(0, len(conns)-1).Draw(t, "close")
	conns[at].Close()
	return conns
}

func actOn(t *rapid.T, requests []*Request) {
	if len(requests) == 0 {
		return
	}
	r := requests[rapid.IntRange(0, len(requests)-1).Draw(t, "request")]
	switch rapid.IntRange(0, 2).Draw(t, "act") {
	case 0:
		if !r.ended {
			_ = r.Charge(int64(rapid.IntRange(0, 3*each).Draw(t, "bytes")))
		}
	case 1:
		r.Arrived()
	default:
		r.End()
	}
}

// Guards against memory that is reserved for a stated length before the bytes arrive.
func TestReadAllChargesWhatArrives(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(1 << 20)
	c := connect(t, b.NewPort(1))
	is.NoErr(c.send(0))
	before := c.request.held
	read, err := ReadAll(strings.NewReader("x"), 1<<30, c.request)
	is.NoErr(err)
	is.Equal(string(read), "x")
	is.Equal(c.request.held-before, int64(firstBytes))
	_, err = ReadAll(strings.NewReader(strings.Repeat("x", 1<<20)), -1, c.request)
	is.True(IsExhausted(err))
}

// Guards against bodies that ReadAll changes.
func TestReadAllReadsTheBody(t *testing.T) {
	for size := range 9000 {
		body := strings.Repeat("x", size%97) + strings.Repeat("y", size-size%97)
		for _, length := range []int64{-1, int64(size), int64(size) + 1} {
			read, err := ReadAll(io.LimitReader(strings.NewReader(body), int64(size)), length, nil)
			if err != nil || string(read) != body {
				t.Fatalf("%d bytes of %d, %v", len(read), size, err)
			}
		}
	}
}

// Guards against requests whose limits are unknown that are refused.
func TestNoBudgetBoundsNothing(t *testing.T) {
	is := is.New(t)
	var b *Budget
	c, err := b.NewPort(1).Open(func() {}, noBytes)
	is.NoErr(err)
	r, err := c.Begin(func() {})
	is.NoErr(err)
	is.NoErr(r.Charge(1 << 40))
	is.NoErr(r.Evicted())
	r.Hold(1)
	r.Arrived()
	r.End()
	c.Close()
	is.True(New(Limits{}) == nil)
}

// Guards against shares of connections that exceed the descriptors together.
func TestConnectionsFitTheDescriptors(t *testing.T) {
	is := is.New(t)
	for _, descriptors := range []int{1024, 4100, 1 << 20} {
		for _, share := range []float64{0.1, 0.5, 0.6} {
			l := NewLimits(Machine{MemoryMB: 284, Descriptors: descriptors}, Clients{ConnectionShare: share})
			const servicePorts = 4
			sum := l.CallerConnections() + l.NodeConnections() + l.PeerConnections() + servicePorts*l.ServiceConnections() + l.ForwardConnections() + l.TargetConnections()
			is.True(sum+ownDescriptors < descriptors)
		}
	}
}

// Guards against closing all that is idle for a request that is too large all the same.
func TestNothingIsClosedInVain(t *testing.T) {
	is := is.New(t)
	b, now := newBudget(10 * each)
	p := b.NewPort(10)
	idle, slow, asking := connect(t, p), connect(t, p), connect(t, p)
	is.NoErr(slow.send(1000))
	now.advance(time.Second)
	is.NoErr(asking.send(0))
	is.True(IsExhausted(asking.request.Charge(10 * each)))
	is.True(!idle.closed && !slow.evicted)
	is.NoErr(asking.request.Charge(7 * each))
}

// Guards against closing a connection whose next request has arrived and was not read yet (LOST).
func TestConnectionWithUnreadBytesIsNotIdle(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(1 << 30)
	p := b.NewPort(2)
	first, second := connect(t, p), connect(t, p)
	first.unread = true
	connect(t, p)
	is.True(!first.closed && second.closed)
}

// Guards against connections whose unread bytes are not seen while a read of them waits.
func TestUnreadBytesOfAConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	sender, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer sender.Close()
	accepted, err := listener.Accept()
	is.NoErr(err)
	defer accepted.Close()
	is.True(!hasUnread(accepted))
	_, err = sender.Write([]byte("x"))
	is.NoErr(err)
	for began := time.Now(); !hasUnread(accepted); time.Sleep(time.Millisecond) {
		is.True(time.Since(began) < 5*time.Second)
	}
	var read sync.WaitGroup
	read.Go(func() { _, _ = io.ReadFull(accepted, make([]byte, 2)) })
	for began := time.Now(); hasUnread(accepted); time.Sleep(time.Millisecond) {
		is.True(time.Since(began) < 5*time.Second)
	}
	sender.Close()
	read.Wait()
}

// Guards against closing a connection for the slowness of the node itself.
func TestConnectionWithUnreadBytesIsNotSlow(t *testing.T) {
	is := is.New(t)
	b, now := newBudget(1 << 30)
	p := b.NewPort(1)
	c := connect(t, p)
	is.NoErr(c.send(0))
	c.unread = true
	now.advance(time.Minute)
	_, err := p.Open(func() {}, noBytes)
	is.True(err != nil && !c.closed)
	c.unread = false
	connect(t, p)
	is.True(c.closed)
}
