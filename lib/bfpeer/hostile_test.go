package bfpeer

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfmetric"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// failAfter bounds the duration of a failing test.
const failAfter = 3 * time.Second

// watchedListener reports when its connections are closed, and fails its first accepts.
type watchedListener struct {
	net.Listener
	failures atomic.Int32
	closed   chan struct{}
}

func (w *watchedListener) Accept() (net.Conn, error) {
	if w.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	conn, err := w.Listener.Accept()
	return &watchedConn{Conn: conn, closed: w.closed}, err
}

type watchedConn struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

func (c *watchedConn) Close() error {
	c.once.Do(func() { c.closed <- struct{}{} })
	return c.Conn.Close()
}

func serveWatched(t *testing.T, failures int32) *watchedListener {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	w := &watchedListener{Listener: listener, closed: make(chan struct{}, 64)}
	w.failures.Store(failures)
	group := bfgroup.New(context.Background())
	calls := NewCalls(echoMethods(nil), NewTraffic(bfmetric.New()), group)
	group.Go("serve", func(ctx context.Context) error { return calls.Serve(ctx, w) })
	t.Cleanup(func() { group.Cancel(); is.NoErr(group.Wait()) })
	return w
}

func (w *watchedListener) awaitClose(t *testing.T, what string) {
	t.Helper()
	select {
	case <-w.closed:
	case <-time.After(failAfter):
		t.Fatalf("%s: the connection was not closed", what)
	}
}

// A malformed message closes its connection. Guards against leaking a file descriptor per
// connection.
func TestMalformedMessageClosesTheConnection(t *testing.T) {
	w := serveWatched(t, 0)
	bomb := encoder.EncodeAll(make([]byte, maxMessage+1), []byte{compressedMark})
	for name, data := range map[string][]byte{
		"noise":       []byte("GET / HTTP/1.1\r\nHost: " + strings.Repeat("h", 100)),
		"huge length": binary.AppendUvarint(nil, 1<<40),
		"endless":     bytes.Repeat([]byte{0xff}, 11),
		"zero length": {0},
		"bomb":        append(binary.AppendUvarint(nil, uint64(len(bomb))), bomb...),
		"half":        {40, plainMark, '{'},
		"nothing":     nil,
	} {
		conn, err := net.Dial("tcp", w.Addr().String())
		is.New(t).NoErr(err)
		_, err = conn.Write(data)
		is.New(t).NoErr(err)
		if name == "half" || name == "nothing" {
			conn.Close()
		}
		w.awaitClose(t, name)
		conn.Close()
	}
}

// Guards against allocating memory by the stated length of a message before it arrives.
func TestLengthAloneAllocatesLittle(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := readBody(strings.NewReader("x"), maxMessage, nil)
	runtime.ReadMemStats(&after)
	is := is.New(t)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(after.TotalAlloc-before.TotalAlloc < 1<<20)
}

// A malformed or unsolicited answer makes the call fail at once.
func TestMalformedAnswerFailsTheCall(t *testing.T) {
	is := is.New(t)
	for _, answer := range [][]byte{
		[]byte("HTTP/1.1 400 Bad Request\r\n\r\n"),
		encodeFrame([]byte(`{"jsonrpc":"2.0","id":7,"result":{}}`)),
		encodeFrame([]byte(`{"jsonrpc":"2.0","id":{},"result":[]}`)),
		encodeFrame([]byte(`{"jsonrpc":"2.0","result":1}`)),
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		served := make(chan struct{})
		go func() {
			defer close(served)
			conn, _ := listener.Accept()
			_, _ = conn.Read(make([]byte, 1<<10))
			_, _ = conn.Write(answer)
			conn.Close()
		}()
		calls, _ := client(t, echoMethods(nil))
		var unreachable *UnreachableError
		is.True(errors.As(calls.Call(context.Background(), listener.Addr().String(), "echo", &echo{}, nil), &unreachable))
		<-served
		listener.Close()
	}
}

// Guards against a temporary accept error, such as a lack of file descriptors, ending the
// listener.
func TestServeContinuesAfterFailedAccepts(t *testing.T) {
	w := serveWatched(t, 2)
	calls, _ := client(t, echoMethods(nil))
	ctx, cancel := context.WithTimeout(context.Background(), failAfter)
	defer cancel()
	is.New(t).NoErr(calls.Call(ctx, w.Addr().String(), "echo", &echo{}, nil))
}

// Guards against a cancelled call closing the connection that other calls are using.
func TestCancelKeepsOtherCalls(t *testing.T) {
	is := is.New(t)
	block := make(chan struct{})
	address, _ := serve(t, echoMethods(block))
	calls, _ := client(t, echoMethods(nil))
	is.NoErr(calls.Call(context.Background(), address, "echo", &echo{}, nil))
	other, cancelled := make(chan error, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { other <- calls.Call(context.Background(), address, "block", &echo{}, nil) }()
	go func() { cancelled <- calls.Call(ctx, address, "block", &echo{}, nil) }()
	calls.awaitCalls(address, 2)
	cancel()
	is.True(<-cancelled != nil)
	close(block)
	is.NoErr(<-other)
}

// After a call timed out, the next call uses a new connection, and other calls on the old
// one still get their answers.
func TestTimeoutKeepsOtherCalls(t *testing.T) {
	is := is.New(t)
	block := make(chan struct{})
	address, _ := serve(t, echoMethods(block))
	calls, _ := client(t, echoMethods(nil))
	other := make(chan error, 1)
	go func() { other <- calls.Call(context.Background(), address, "block", &echo{}, nil) }()
	calls.awaitCalls(address, 1)
	old := calls.acquire(address)
	calls.release(old)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	is.True(calls.Call(ctx, address, "block", &echo{}, nil) != nil)
	is.NoErr(calls.Call(context.Background(), address, "echo", &echo{}, nil))
	next := calls.acquire(address)
	calls.release(next)
	is.True(next != old)
	close(block)
	is.NoErr(<-other)
}

// awaitCalls returns once n calls to address are in progress.
func (c *Calls) awaitCalls(address string, n int) {
	for {
		c.mu.Lock()
		p := c.conns[address]
		busy := p != nil && p.calls >= n
		c.mu.Unlock()
		if busy {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against connecting to a dead host for longer than the caller's deadline.
func TestDeadlineBoundsConnecting(t *testing.T) {
	is := is.New(t)
	calls, _ := client(t, echoMethods(nil))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	want, _ := ctx.Deadline()
	var dialed time.Time
	calls.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		dialed, _ = ctx.Deadline()
		return errors.New("no route")
	}
	var unreachable *UnreachableError
	is.True(errors.As(calls.Call(ctx, "127.0.0.1:9", "echo", &echo{}, nil), &unreachable))
	is.True(!dialed.After(want))
}

// Guards against a blocked write keeping the caller past its deadline.
func TestDeadlineBoundsWriting(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	calls, _ := client(t, echoMethods(nil))
	calls.dialer.ControlContext = func(_ context.Context, _, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 1<<16)
		})
	}
	noise := make([]byte, 2<<20)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range noise {
		noise[i] = byte('0' + rng.IntN(64))
	}
	result := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	go func() { result <- calls.Call(ctx, listener.Addr().String(), "echo", &echo{Text: string(noise)}, nil) }()
	select {
	case err := <-result:
		is.True(errors.Is(err, context.DeadlineExceeded))
	case <-time.After(failAfter):
		t.Fatal("Call blocked on the write")
	}
}

// Concurrent calls between two nodes without a connection all succeed and leave one
// connection per direction.
func TestNodesConnectToEachOtherConcurrently(t *testing.T) {
	is := is.New(t)
	nodes := make([]*Calls, 2)
	addresses := make([]string, 2)
	for i := range nodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		group := bfgroup.New(context.Background())
		nodes[i] = NewCalls(echoMethods(nil), NewTraffic(bfmetric.New()), group)
		addresses[i] = listener.Addr().String()
		group.Go("serve", func(ctx context.Context) error { return nodes[i].Serve(ctx, listener) })
		t.Cleanup(func() { group.Cancel(); is.NoErr(group.Wait()) })
	}
	const each = 16
	results := make(chan error, 2*each)
	for i := range nodes {
		for range each {
			go func() {
				results <- nodes[i].Call(context.Background(), addresses[1-i], "echo", &echo{Text: "x"}, nil)
			}()
		}
	}
	for range 2 * each {
		is.NoErr(<-results)
	}
	is.Equal(len(nodes[0].conns), 1)
	is.Equal(len(nodes[1].conns), 1)
}

// Guards against short messages that are charged as much as the longest, so that two at a time close the
// connections of others: their compressed form doesn't state their size.
func TestShortMessagesCostLittle(t *testing.T) {
	is := is.New(t)
	for _, length := range []int{1, 127, 128, 200, 255, 256, 1000, 100_000} {
		data := []byte(strings.Repeat("x", length))
		frame := encodeFrame(data)
		_, size := binary.Uvarint(frame)
		cost := decodedBytes(frame[size:])
		is.True(cost >= 2*int64(length))
		is.True(cost <= 2*int64(length)+4<<10)
	}
}
