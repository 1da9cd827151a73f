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

// fleet is some exchanges that call each other in memory.
type fleet struct {
	*is.I
	group *bfgroup.Group
	timer *bftimer.Service
	calls atomic.Int32

	mu    sync.Mutex
	nodes map[string]*Exchange
	// cut are the nodes that nobody reaches and that reach nobody.
	cut map[string]bool
}

// from is a node's way to the others.
type from struct {
	fleet *fleet
	name  string
}

var errCut = errors.New("cut off")

func (f from) Call(ctx context.Context, address, method string, params, result any) error {
	f.fleet.calls.Add(1)
	f.fleet.mu.Lock()
	to := f.fleet.nodes[address]
	cut := f.fleet.cut[f.name] || f.fleet.cut[address] || to == nil
	f.fleet.mu.Unlock()
	if cut {
		return errCut
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := to.Methods()[method].Handle(ctx, data)
	if err != nil {
		return err
	}
	if data, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{I: is.New(t), group: bfgroup.New(context.Background()), timer: bftimer.New(1), nodes: map[string]*Exchange{}, cut: map[string]bool{}}
	f.group.Go("timer", f.timer.Run)
	t.Cleanup(f.group.Cancel)
	return f
}

// start starts a node that tells audience; relays pass on what they hear.
func (f *fleet) start(name string, relay bool, audience ...string) *Exchange {
	e := New(Parts{
		Self: name, Book: bfquarantine.New(name), Calls: from{f, name}, Timer: f.timer, Spawn: f.group.Go,
		Audience: func(own bool) []string {
			if own || relay {
				return audience
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
	at.parts.Book.Crashed(bfquarantine.CrashOf(name), []bfquarantine.Key{bad}, f.timer.Now())
}

func (f *fleet) eventually(what string, holds func() bool) {
	for began := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			f.Fail() // what
			panic(what)
		}
	}
}

func holds(e *Exchange) bool { return e.parts.Book.View().Holds() }

// Guards against nodes that each saw one end of a target, and none of which knows of three.
func TestEndsSeenByDifferentNodesAddUp(t *testing.T) {
	f := newFleet(t)
	relay := f.start("relay", true, "a", "b", "c", "d")
	var others []*Exchange
	for _, name := range []string{"a", "b", "c", "d"} {
		others = append(others, f.start(name, false, "relay"))
	}
	for i, e := range others[:3] {
		f.crash(e, fmt.Sprint("end ", i))
	}
	f.eventually("all hold it", func() bool {
		for _, e := range others {
			if !holds(e) {
				return false
			}
		}
		return holds(relay)
	})
	time.Sleep(5 * gatherPause)
	called := f.calls.Load()
	time.Sleep(5 * gatherPause)
	f.Equal(f.calls.Load(), called) // what everybody knows is passed on no more
}

// Guards against a node that was started anew, or was cut off, running what others hold.
func TestNodeThatMissedItComparesByTheDigest(t *testing.T) {
	f := newFleet(t)
	a := f.start("a", true, "b")
	b := f.start("b", true, "a")
	f.mu.Lock()
	f.cut["b"] = true
	f.mu.Unlock()
	for i := range 3 {
		f.crash(a, fmt.Sprint("end ", i))
	}
	f.eventually("told in vain", func() bool { return f.calls.Load() > 0 })
	f.True(!holds(b))
	f.mu.Lock()
	f.cut["b"] = false
	f.mu.Unlock()
	b.Saw("a", a.Digest())
	f.eventually("compared", func() bool { return holds(b) })
	anew := f.start("c", true)
	a.Saw("c", anew.Digest()) // it is the other that finds the difference
	f.eventually("brought", func() bool { return holds(anew) })
}

// Guards against nodes comparing again and again.
func TestComparingIsRare(t *testing.T) {
	f := newFleet(t)
	a := f.start("a", true)
	f.start("b", true)
	a.Saw("b", 0)
	f.Equal(f.calls.Load(), int32(0))
	for range 50 {
		a.Saw("gone", 12345)
		time.Sleep(10 * time.Millisecond)
	}
	f.Equal(f.calls.Load(), int32(1))
}

// Guards against damaged messages being taken for news.
func TestDamagedMessages(t *testing.T) {
	f := newFleet(t)
	a := f.start("a", true)
	for _, params := range []string{"", "[]", `{"records":"AAAA"}`, `{"records":7}`, `{"records":"oWFhAQ==","compare":true}`} {
		_, err := a.answer(context.Background(), json.RawMessage(params))
		f.True(err != nil) // params
	}
	f.Equal(a.Digest(), uint64(0))
}

// Guards against the news of one crash taking more than a packet.
func TestNewsOfACrashFitsAPacket(t *testing.T) {
	is := is.New(t)
	book := bfquarantine.New("n")
	var ran []bfquarantine.Key
	for i := range 12 {
		ran = append(ran, bfquarantine.KeyOf(bfquarantine.Request{Target: fmt.Sprint(i)}))
	}
	book.Crashed(bfquarantine.CrashOf("end"), ran, time.Now())
	records, err := bfcodec.Marshal(book.TakeNews(time.Now()))
	is.NoErr(err)
	data, err := json.Marshal(message{Peer: "10.128.100.100:65535", Records: records})
	is.NoErr(err)
	t.Logf("%d bytes of records, %d of the message", len(records), len(data))
	is.True(len(data) < bfpeer.MaxDatagram)
}
