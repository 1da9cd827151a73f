package bfrumor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfcodec"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bftimer"
)

// fleet is a set of exchanges that call each other in memory.
type fleet struct {
	*is.I
	group *bfgroup.Group
	timer *bftimer.Service
	calls atomic.Int32
	// largest is the size in bytes of the largest message.
	largest atomic.Int64

	mu    sync.Mutex
	nodes map[string]*Exchange
	// slow holds the nodes that answer no call until it ends, with the calls to them in progress.
	slow map[string]*atomic.Int32
	// partitioned holds the nodes that cannot reach any other.
	partitioned map[string]bool
}

// caller is the Caller of one node.
type caller struct {
	fleet *fleet
	name  string
}

// repeating is a Caller whose peer returns the same page for each call.
type repeating struct{}

func (repeating) Call(_ context.Context, _, _ string, _, result any) error {
	result.(*reply).Next = []byte("same")
	return nil
}

var errPartitioned = errors.New("node is partitioned")

func (c caller) Call(ctx context.Context, address, method string, params, result any) error {
	c.fleet.calls.Add(1)
	c.fleet.mu.Lock()
	to := c.fleet.nodes[address]
	unreachable := c.fleet.partitioned[c.name] || c.fleet.partitioned[address] || to == nil
	slow := c.fleet.slow[address]
	c.fleet.mu.Unlock()
	if slow != nil {
		slow.Add(1)
		defer slow.Add(-1)
		<-ctx.Done()
		return ctx.Err()
	}
	if unreachable {
		return errPartitioned
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	c.fleet.observe(len(data))
	answer, err := to.Methods()[method].Handle(ctx, data)
	if err != nil {
		return err
	}
	if data, err = json.Marshal(answer); err != nil {
		return err
	}
	c.fleet.observe(len(data))
	return json.Unmarshal(data, result)
}

// observe records the size of a message.
func (f *fleet) observe(size int) {
	for largest := f.largest.Load(); int64(size) > largest && !f.largest.CompareAndSwap(largest, int64(size)); {
		largest = f.largest.Load()
	}
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{I: is.New(t), group: bfgroup.New(context.Background()), timer: bftimer.New(1), nodes: map[string]*Exchange{}, slow: map[string]*atomic.Int32{}, partitioned: map[string]bool{}}
	f.group.Go("timer", f.timer.Run)
	t.Cleanup(f.group.Cancel)
	return f
}

// start runs a node that sends its own records to recipients; a relay also forwards records
// that it receives.
func (f *fleet) start(name string, relay bool, recipients ...string) *Exchange {
	e := New(Config{
		Self: name, Book: bfquarantine.New(name), Calls: caller{f, name}, Timer: f.timer, Spawn: f.group.Go,
		Recipients: func(own bool) []string {
			if own || relay {
				return recipients
			}
			return nil
		},
	})
	f.mu.Lock()
	f.nodes[name] = e
	f.mu.Unlock()
	f.group.Go(name, e.Run)
	return e
}

var bad = bfquarantine.KeyOf(bfquarantine.Request{Method: "GET", Host: "h", Target: "/bad"})

func (f *fleet) crash(at *Exchange, name string) {
	at.config.Book.Crashed(bfquarantine.CrashOf(name), []bfquarantine.Key{bad}, f.timer.Now())
}

func (f *fleet) eventually(what string, holds func() bool) {
	for began := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			f.Fail() // condition not met in time
			panic(what)
		}
	}
}

func holds(e *Exchange) bool { return e.config.Book.View().HasHeld() }

// Guards against crashes that were each observed by a different node not being added up.
func TestCrashesSeenByDifferentNodesAddUp(t *testing.T) {
	f := newFleet(t)
	relay := f.start("relay", true, "a", "b", "c", "d")
	var others []*Exchange
	for _, name := range []string{"a", "b", "c", "d"} {
		others = append(others, f.start(name, false, "relay"))
	}
	for i, e := range others[:3] {
		f.crash(e, fmt.Sprint("crash ", i))
	}
	f.eventually("all nodes hold the request back", func() bool {
		for _, e := range others {
			if !holds(e) {
				return false
			}
		}
		return holds(relay)
	})
	time.Sleep(5 * batchPause)
	called := f.calls.Load()
	time.Sleep(5 * batchPause)
	f.Equal(f.calls.Load(), called) // records that every node holds are not forwarded any more
}

// Guards against a node that restarted or was partitioned running requests that others hold
// back.
func TestNodeWithMissedRecordsIsRepaired(t *testing.T) {
	f := newFleet(t)
	a := f.start("a", true, "b")
	b := f.start("b", true, "a")
	f.mu.Lock()
	f.partitioned["b"] = true
	f.mu.Unlock()
	for i := range 3 {
		f.crash(a, fmt.Sprint("crash ", i))
	}
	f.eventually("a call failed", func() bool { return f.calls.Load() > 0 })
	f.True(!holds(b))
	f.mu.Lock()
	f.partitioned["b"] = false
	f.mu.Unlock()
	b.ObserveDigest("a", a.Digest())
	f.eventually("compared", func() bool { return holds(b) })
	restarted := f.start("c", true)
	a.ObserveDigest("c", restarted.Digest()) // the other node detects the difference
	f.eventually("the restarted node has the records", func() bool { return holds(restarted) })
}

// Guards against continual comparisons.
func TestComparisonsAreRateLimited(t *testing.T) {
	f := newFleet(t)
	a := f.start("a", true)
	f.start("b", true)
	a.ObserveDigest("b", 0)
	f.Equal(f.calls.Load(), int32(0))
	for range 50 {
		a.ObserveDigest("gone", 12345)
		time.Sleep(10 * time.Millisecond)
	}
	f.Equal(f.calls.Load(), int32(1))
}

// Guards against damaged messages being merged.
func TestDamagedMessages(t *testing.T) {
	f := newFleet(t)
	a := f.start("a", true)
	for _, params := range []string{"", "[]", `{"records":"AAAA"}`, `{"records":7}`, `{"records":"oWFhAQ==","compare":true}`} {
		_, err := a.handle(context.Background(), json.RawMessage(params))
		f.True(err != nil) // a damaged message must be rejected
	}
	f.Equal(a.Digest(), uint64(0))
}

// Guards against the records of one crash exceeding a datagram.
func TestRecordsOfACrashFitADatagram(t *testing.T) {
	is := is.New(t)
	book := bfquarantine.New("n")
	var ran []bfquarantine.Key
	for i := range 12 {
		ran = append(ran, bfquarantine.KeyOf(bfquarantine.Request{Target: fmt.Sprint(i)}))
	}
	book.Crashed(bfquarantine.CrashOf("end"), ran, time.Now())
	records, err := bfcodec.Marshal(book.TakeUpdates(time.Now()))
	is.NoErr(err)
	data, err := json.Marshal(message{Peer: "10.128.100.100:65535", Records: records})
	is.NoErr(err)
	t.Logf("%d bytes of records, %d of the message", len(records), len(data))
	is.True(len(data) < bfpeer.MaxDatagram)
}
