package bfflight

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfquarantine"
)

// target is a fake target that refuses connections once ended is set.
type target struct {
	name  string
	ended bool
	fate  State
}

func (t *target) Name() string    { return t.name }
func (t *target) Address() string { return t.name }
func (t *target) State() State    { return t.fate }

// fixture is a register with fake targets.
type fixture struct {
	*is.I
	register *Tracker
	book     *bfquarantine.Book
	targets  map[string]*target
	crashes  []Crash
	dials    int
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	r := &fixture{I: is.New(t), book: bfquarantine.New("n"), targets: map[string]*target{}}
	r.register = New(Options{Book: r.book, Now: time.Now, Dial: r.dial, Crashed: func(c Crash) { r.crashes = append(r.crashes, c) }})
	return r
}

func (r *fixture) dial(_ context.Context, address string) error {
	r.dials++
	if r.targets[address].ended {
		return syscall.ECONNREFUSED
	}
	return nil
}

func (r *fixture) target(name string) *target {
	if r.targets[name] == nil {
		r.targets[name] = &target{name: name}
	}
	return r.targets[name]
}

func (r *fixture) begin(at *target, path string) *Flight {
	f, err := r.register.Begin(at, path, bfquarantine.Request{Target: path})
	r.NoErr(err)
	return f
}

func (r *fixture) end(at *target, flights ...*Flight) {
	at.ended = true
	for _, f := range flights {
		f.CheckCrash(context.Background())
	}
	for _, f := range flights {
		f.End()
	}
}

// Guards against blaming a frequent request for several crashes at one moment.
func TestRecentlyAnsweredRequestIsNotBlamed(t *testing.T) {
	r := newFixture(t)
	f := r.begin(r.target("t"), "/popular")
	f.Answered()
	f.End()
	for i := range 5 {
		at := r.target(fmt.Sprint("t", i))
		r.end(at, r.begin(at, "/popular"), r.begin(at, fmt.Sprint("/once/", i)))
	}
	r.True(!r.book.View().HasSuspects())
	r.Equal(len(r.crashes), 5)
	r.Equal(r.crashes[0].Answered, 1)
	r.Equal(len(r.crashes[0].Blamed), 1)
}

// Guards against recording one crash once for each request in flight.
func TestCrashIsRecordedOnce(t *testing.T) {
	r := newFixture(t)
	a, b := r.target("a"), r.target("b")
	elsewhere := r.begin(b, "/elsewhere")
	r.end(a, r.begin(a, "/1"), r.begin(a, "/2"))
	r.Equal(len(r.crashes), 1)
	r.Equal(len(r.crashes[0].Runs), 2)
	r.Equal(r.dials, 1)
	elsewhere.CheckCrash(context.Background())
	r.Equal(len(r.crashes), 1) // b still accepts connections
}

// Guards against mistaking planned stops and cancelled requests for crashes.
func TestPlannedStopsAreNoCrashes(t *testing.T) {
	r := newFixture(t)
	leaving := r.target("leaving")
	leaving.fate = Left
	r.end(leaving, r.begin(leaving, "/1"))
	left, cancel := context.WithCancel(context.Background())
	cancel()
	ended := r.target("ended")
	ended.ended = true
	r.begin(ended, "/2").CheckCrash(left)
	r.Equal(len(r.crashes), 0)
	r.Equal(r.dials, 0)
	succeeded := r.target("succeeded")
	succeeded.fate = Replaced
	r.begin(succeeded, "/3").CheckCrash(context.Background())
	r.Equal(len(r.crashes), 1)
	r.Equal(r.dials, 0) // the next incarnation has the same address
}

func BenchmarkRequestWithEmptyBook(b *testing.B) {
	register := New(Options{Book: bfquarantine.New("n"), Now: time.Now})
	at := &target{name: "t"}
	asked := bfquarantine.Request{Method: "POST", Host: "h.example", Target: "/approve/1", Caller: "portal", Body: make([]byte, 4000)}
	for b.Loop() {
		f, err := register.Begin(at, "id", asked)
		if err != nil {
			b.Fatal(err)
		}
		f.Answered()
		f.End()
	}
}
