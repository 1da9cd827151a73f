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

// failAfter only bounds how long a test that fails takes to say so.
const failAfter = 3 * time.Second

// watched is a listener whose connections tell when they are closed, and whose
// first accepts fail.
type watched struct {
	net.Listener
	failures atomic.Int32
	closed   chan struct{}
}

func (w *watched) Accept() (net.Conn, error) {
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

func serveWatched(t *testing.T, failures int32) *watched {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	w := &watched{Listener: listener, closed: make(chan struct{}, 64)}
	w.failures.Store(failures)
	group := bfgroup.New(context.Background())
	calls := NewCalls(echoMethods(nil), NewTraffic(bfmetric.New()), group)
	group.Go("serve", func(ctx context.Context) error { return calls.Serve(ctx, w) })
	t.Cleanup(func() { group.Cancel(); is.NoErr(group.Wait()) })
	return w
}

func (w *watched) awaitClose(t *testing.T, what string) {
	t.Helper()
	select {
	case <-w.closed:
	case <-time.After(failAfter):
		t.Fatalf("%s: the connection was left open", what)
	}
}

// A stranger, or a peer of another version, sends bytes that are no message:
// noise, a length without end, a frame that unpacks to a gigabyte, half a frame,
// or nothing at all. The node must close each such connection. Left open, each
// costs it a file, until it can open none to its target.
func TestForeignBytesEndTheConnection(t *testing.T) {
	w := serveWatched(t, 0)
	bomb := packer.EncodeAll(make([]byte, maxMessage+1), []byte{packedMark})
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

// A length alone is all that a stranger has sent. The node must not allocate by
// it, or a few connections fill its 128 MB and it is killed with all requests.
func TestLengthAloneAllocatesLittle(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := readBody(strings.NewReader("x"), maxMessage)
	runtime.ReadMemStats(&after)
	is := is.New(t)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(after.TotalAlloc-before.TotalAlloc < 1<<20)
}

// The peer answers with noise, then with an answer to a question never asked.
// The caller is told at once that it got no answer, and nothing crashes.
func TestForeignAnswerIsNoAnswer(t *testing.T) {
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

// The process has run out of files for a moment, so accepts fail. Once it has
// some again peers must reach it, or every question about its requests stays
// unanswered until it is restarted.
func TestListeningOutlivesFailedAccepts(t *testing.T) {
	w := serveWatched(t, 2)
	calls, _ := client(t, echoMethods(nil))
	ctx, cancel := context.WithTimeout(context.Background(), failAfter)
	defer cancel()
	is.New(t).NoErr(calls.Call(ctx, w.Addr().String(), "echo", &echo{}, nil))
}

// Two questions are in progress on one connection when the asker of one gives
// up, because its own caller went away. The other must still get its answer; a
// connection closed for the one would report the other's request as lost.
func TestGivingUpLeavesOtherCalls(t *testing.T) {
	is := is.New(t)
	block := make(chan struct{})
	address, _ := serve(t, echoMethods(block))
	calls, _ := client(t, echoMethods(nil))
	is.NoErr(calls.Call(context.Background(), address, "echo", &echo{}, nil))
	kept, given := make(chan error, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { kept <- calls.Call(context.Background(), address, "block", &echo{}, nil) }()
	go func() { given <- calls.Call(ctx, address, "block", &echo{}, nil) }()
	calls.awaitCalls(address, 2)
	cancel()
	is.True(<-given != nil)
	close(block)
	is.NoErr(<-kept)
}

// A question's deadline ends while another waits on the same connection. The
// next question uses a new connection, and the one that waits still gets its answer.
func TestTimeoutLeavesOtherCalls(t *testing.T) {
	is := is.New(t)
	block := make(chan struct{})
	address, _ := serve(t, echoMethods(block))
	calls, _ := client(t, echoMethods(nil))
	kept := make(chan error, 1)
	go func() { kept <- calls.Call(context.Background(), address, "block", &echo{}, nil) }()
	calls.awaitCalls(address, 1)
	old := calls.pooled(address)
	calls.end(old)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	is.True(calls.Call(ctx, address, "block", &echo{}, nil) != nil)
	is.NoErr(calls.Call(context.Background(), address, "echo", &echo{}, nil))
	next := calls.pooled(address)
	calls.end(next)
	is.True(next != old)
	close(block)
	is.NoErr(<-kept)
}

// awaitCalls returns once n calls are in progress to address.
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

// The peer's machine is gone: nothing answers the opening of a connection. The
// caller's own deadline must bound it, not the longer one of the dialer, or an
// answer that was due in a moment comes seconds later.
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

// The peer stopped reading in the middle of a large message. The caller must
// hear at its deadline, not when the write is given up seconds later.
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
		t.Fatal("the caller waited for the write")
	}
}

// Two nodes ask each other many things at once, with no connection open yet.
// Every question is answered, and each node keeps one connection to the other.
func TestNodesConnectToEachOtherAtOnce(t *testing.T) {
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
