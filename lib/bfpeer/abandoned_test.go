package bfpeer

import (
	"context"
	"encoding/json"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/exp/jsonrpc2"

	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfmetric"
)

const (
	// abandonedCalls is the number of connections that end before their call is read.
	abandonedCalls = 150
	// maxProcessorPerCall is the processor time that such a call may cost: 400 of them, on a third
	// of a core, leave two seconds of three to other work.
	maxProcessorPerCall = 800 * time.Microsecond
)

// Guards against a node that resumes after a pause and has no processor time left, since each
// call whose peer has disconnected meanwhile occupies the processor until it is preempted.
func TestAbandonedCallsCostLittleProcessorTime(t *testing.T) {
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var handled atomic.Int32
	methods := Methods{"tell": {Purpose: Versions, Handle: func(context.Context, json.RawMessage) (any, error) {
		handled.Add(1)
		return &echo{}, nil
	}}}
	for range abandonedCalls {
		abandonCall(is, listener.Addr().String(), methods)
	}
	group := bfgroup.New(context.Background())
	calls := NewCalls(methods, NewTraffic(bfmetric.New()), group)
	began := processorTime(is)
	group.Go("serve", func(ctx context.Context) error { return calls.Serve(ctx, listener) })
	deadline := time.Now().Add(30 * time.Second)
	for handled.Load() < abandonedCalls && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	used := processorTime(is) - began
	group.Cancel()
	is.NoErr(group.Wait())
	is.Equal(handled.Load(), int32(abandonedCalls))
	if used > abandonedCalls*maxProcessorPerCall {
		t.Fatalf("%d abandoned calls took %v of processor time, more than %v", abandonedCalls, used, abandonedCalls*maxProcessorPerCall)
	}
}

// abandonCall sends one call and closes the connection without waiting for the answer.
func abandonCall(is *is.I, address string, methods Methods) {
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	call, err := jsonrpc2.NewCall(jsonrpc2.Int64ID(1), "tell", &echo{Text: "late"})
	is.NoErr(err)
	framing := NewCalls(methods, NewTraffic(bfmetric.New()), nil).options().Framer
	_, err = framing.Writer(conn).Write(context.Background(), call)
	is.NoErr(err)
	is.NoErr(conn.Close())
}

func processorTime(is *is.I) time.Duration {
	var usage syscall.Rusage
	is.NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
