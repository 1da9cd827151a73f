package bfflight

import (
	"context"
	"fmt"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"bilberryflow.org/lib/bfquarantine"
)

// Target is one start of a target.
type Target interface {
	// Name is one that no other start has.
	Name() string
	Address() string
	// Fate is what was heard of it since.
	Fate() Fate
}

// Fate is what was heard of a target.
type Fate int

// The fates of a target.
const (
	// Present targets have said nothing of an end.
	Present Fate = iota
	// Left targets have said that they leave.
	Left
	// Succeeded targets have said nothing, and another start has taken their place.
	Succeeded
)

// Options of a Register.
type Options struct {
	Book *bfquarantine.Book
	Now  func() time.Time
	// Dial opens a connection to a target's address, and may keep it for the next request.
	Dial func(ctx context.Context, address string) error
	// Crashed is called after the end of a target that had not said that it leaves.
	Crashed func(Crash)
}

// Register holds the requests that one node's targets work on.
type Register struct {
	options Options
	// flights holds every *Flight that has not ended.
	flights sync.Map
	// answers are those of the targets beside the node, known by sums under seed.
	answers bfquarantine.Answers
	seed    maphash.Seed
	// apart says that the target works on a request that has to run apart from others.
	apart atomic.Bool
	// probes has one of those who lost a request at a target find out for all whether it
	// has ended; crashed is the name of the one that did so last.
	probes  singleflight.Group
	crashed atomic.Pointer[string]
}

// New makes the register of a node.
func New(options Options) *Register {
	return &Register{options: options, seed: maphash.MakeSeed()}
}

// HeldError reports a request that the fleet holds; it has not run.
type HeldError struct {
	// For is how much longer it is held.
	For time.Duration
}

// Error says for how long.
func (e *HeldError) Error() string {
	return fmt.Sprintf("targets ended under the request, it is held for %v", e.For)
}

// BusyError reports a request that has to run apart from another one that runs now.
type BusyError struct{}

// Error says what it waits for.
func (*BusyError) Error() string { return "targets ended under the request and under one that runs" }

// Flight is one request that the target works on; End must be called.
type Flight struct {
	register *Register
	target   Target
	id       string
	asked    bfquarantine.Request
	began    time.Time
	apart    bool
}

// Check gives a HeldError for a request that the fleet holds.
func (r *Register) Check(asked bfquarantine.Request) error {
	_, err := r.judge(asked)
	return err
}

func (r *Register) judge(asked bfquarantine.Request) (bfquarantine.Verdict, error) {
	view := r.options.Book.View()
	if !view.Watches() {
		return bfquarantine.Free{}, nil
	}
	now := r.options.Now()
	verdict := view.Judge(bfquarantine.KeyOf(asked), now)
	if held, is := verdict.(bfquarantine.Held); is {
		return verdict, &HeldError{For: held.Until().Sub(now)}
	}
	return verdict, nil
}

// Begin takes a request that is to be handed to a target; its errors are HeldError and
// BusyError.
func (r *Register) Begin(target Target, id string, asked bfquarantine.Request) (*Flight, error) {
	verdict, err := r.judge(asked)
	if err != nil {
		return nil, err
	}
	_, apart := verdict.(bfquarantine.Apart)
	if apart && !r.apart.CompareAndSwap(false, true) {
		return nil, &BusyError{}
	}
	f := &Flight{register: r, target: target, id: id, asked: asked, began: r.options.Now(), apart: apart}
	r.flights.Store(f, struct{}{})
	return f, nil
}

// Began is when the request was taken.
func (f *Flight) Began() time.Time { return f.began }

// End says that the target works on the request no more.
func (f *Flight) End() {
	if _, open := f.register.flights.LoadAndDelete(f); open && f.apart {
		f.register.apart.Store(false)
	}
}

// Answered takes the target's answer as a proof that the request does not end targets.
func (f *Flight) Answered() {
	r, now := f.register, f.register.options.Now()
	r.answers.Add(r.sum(f.asked), now)
	if r.options.Book.View().Watches() {
		r.options.Book.Answered(bfquarantine.KeyOf(f.asked), now)
	}
}

// sum identifies a request within the node: it is made for each answer, and costs a
// fraction of a bfquarantine.Key.
func (r *Register) sum(asked bfquarantine.Request) uint64 {
	var h maphash.Hash
	h.SetSeed(r.seed)
	for _, part := range []string{asked.Method, asked.Host, asked.Target, asked.Caller} {
		// A hash never fails to take bytes.
		_, _ = h.WriteString(part)
		_ = h.WriteByte(0)
	}
	_, _ = h.Write(asked.Body)
	return h.Sum64()
}
