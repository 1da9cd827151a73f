package bfpeer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/semaphore"

	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfmetric"
)

// noiseOf returns text of a size in bytes that does not compress well.
func noiseOf(size int) string {
	text := make([]byte, size)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range text {
		text[i] = byte('0' + rng.IntN(64))
	}
	return string(text)
}

// listenSilent returns the address of a peer that accepts connections and never reads.
func listenSilent(t *testing.T) string {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1<<14) })
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	return listener.Addr().String()
}

// shrinkBuffers makes the calls' connections accept few bytes that the peer does not read.
func shrinkBuffers(calls *Calls) {
	calls.dialer.ControlContext = func(_ context.Context, _, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 1<<14)
		})
	}
}

// Guards against calls to a peer that stopped reading taking all memory of the node, and against
// them delaying calls to other peers.
func TestUnsentCallsAreBounded(t *testing.T) {
	is := is.New(t)
	silent := listenSilent(t)
	address, _ := serve(t, echoMethods(nil))
	calls, _ := client(t, echoMethods(nil))
	shrinkBuffers(calls)
	large := echo{Text: noiseOf(300 << 10)}
	const many = 40
	const fitting = maxUnsentPerPeer * 3 / 4 / (300 << 10)
	results := make(chan error, many)
	group := bfgroup.New(context.Background())
	for range many {
		group.Go("call", func(ctx context.Context) error {
			results <- calls.Call(ctx, silent, "echo", &large, nil)
			return nil
		})
	}
	for deadline := time.Now().Add(failAfter); len(results) < many-fitting && time.Now().Before(deadline); {
		is.True(calls.Unsent() <= maxUnsentPerPeer)
		is.NoErr(calls.Call(context.Background(), address, "echo", &echo{Text: "quick"}, nil))
	}
	rejected := len(results)
	for range rejected {
		var unsent *UnsentError
		is.True(errors.As(<-results, &unsent))
	}
	is.Equal(rejected, many-fitting)
	group.Cancel()
	is.NoErr(group.Wait())
}

// Guards against connections of which each holds a large message taking all memory.
func TestUnsentBytesOfAllConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	all := &unsent{}
	var accepted []int
	for peer := range 100 {
		err := all.reserve(peer, 1<<20)
		var unsent *UnsentError
		if !errors.As(err, &unsent) {
			is.NoErr(err)
			accepted = append(accepted, peer)
		}
	}
	is.Equal(len(accepted), maxUnsent*3/4>>20)
	small := 0 // small messages are sent beside them
	for peer := 1000; all.reserve(peer, smallMessage) == nil; peer++ {
		small++
	}
	is.Equal(all.total, maxUnsent)
	for peer := range small {
		all.release(1000+peer, smallMessage)
	}
	for _, peer := range accepted {
		all.release(peer, 1<<20)
	}
	is.Equal(all.total, 0)
	is.Equal(len(all.waiting), 0)
	is.NoErr(all.reserve(1, maxMessage)) // the largest message is sent when nothing waits
	is.True(all.reserve(2, 1) != nil)
}

// Guards against answers to a peer that does not read them taking all memory of the node.
func TestUnsentAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	large := noiseOf(300 << 10)
	var handled atomic.Int32
	methods := Methods{"large": {Purpose: Repair, Handle: func(context.Context, json.RawMessage) (any, error) {
		handled.Add(1)
		return &echo{Text: large}, nil
	}}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	group := bfgroup.New(context.Background())
	served := NewCalls(methods, NewTraffic(bfmetric.New()), group)
	group.Go("serve", func(ctx context.Context) error { return served.Serve(ctx, listener) })
	t.Cleanup(func() { group.Cancel(); is.NoErr(group.Wait()) })

	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	for id := range 200 {
		_, err = conn.Write(encodeFrame(fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"method":"large","params":{}}`, id+1)))
		is.NoErr(err)
	}
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		is.True(served.Unsent() <= maxUnsentPerPeer)
	}
	is.True(handled.Load() > 0)
}

// Guards against a peer with many calls that take long, each with its goroutine and parameters,
// taking all memory, and against it delaying the calls of other peers.
func TestServedCallsOfAConnectionAreBounded(t *testing.T) {
	is := is.New(t)
	block := make(chan struct{})
	var running, most atomic.Int32
	methods := echoMethods(block)
	blocking := methods["block"]
	methods["block"] = Method{Purpose: Requests, Handle: func(ctx context.Context, params json.RawMessage) (any, error) {
		if now := running.Add(1); now > most.Load() {
			most.Store(now)
		}
		defer running.Add(-1)
		return blocking.Handle(ctx, params)
	}}
	address, _ := serve(t, methods)
	calls, _ := client(t, echoMethods(nil))
	const many = 3 * maxServingPerConn
	results := make(chan error, many)
	group := bfgroup.New(context.Background())
	for range many {
		group.Go("call", func(ctx context.Context) error {
			results <- calls.Call(ctx, address, "block", &echo{}, nil)
			return nil
		})
	}
	for running.Load() < maxServingPerConn {
		time.Sleep(time.Millisecond)
	}
	other, _ := client(t, echoMethods(nil))
	is.NoErr(other.Call(context.Background(), address, "echo", &echo{Text: "quick"}, nil))
	time.Sleep(50 * time.Millisecond)
	close(block)
	for range many {
		is.NoErr(<-results) // those that waited are served
	}
	is.Equal(most.Load(), int32(maxServingPerConn))
}

// Guards against a few connections with large calls taking all memory, and against a call that
// could not be served keeping its place.
func TestServedBytesOfAllConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	all := semaphore.NewWeighted(maxServing)
	one, other := newServing(all), newServing(all)
	is.NoErr(one.acquire(t.Context(), maxServing))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	is.True(errors.Is(other.acquire(ctx, 1), context.DeadlineExceeded))
	is.Equal(len(other.conn), 0)
	one.release(maxServing)
	is.NoErr(other.acquire(t.Context(), maxServing+1)) // the largest call is served alone
	is.True(!all.TryAcquire(1))
	other.release(maxServing + 1)
	is.True(all.TryAcquire(maxServing))
}
