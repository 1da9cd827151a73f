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

// Target is one incarnation of a target.
type Target interface {
	// Name returns the unique name of the incarnation.
	Name() string
	// Address returns the address that the target listens at.
	Address() string
	// State returns the last known state of the incarnation.
	State() State
}

// State is the last known state of a target's incarnation.
type State int

// The states of a target's incarnation.
const (
	// Running means that the incarnation has not announced its end.
	Running State = iota
	// Left means that the incarnation has announced its end.
	Left
	// Replaced means that another incarnation has replaced it without such an
	// announcement.
	Replaced
)

// Options configures a Register.
type Options struct {
	// Book records the crashes of targets.
	Book *bfquarantine.Book
	// Now returns the current time.
	Now func() time.Time
	// Dial opens a connection to a target's address. It may keep the connection for reuse.
	Dial func(ctx context.Context, address string) error
	// Crashed is called after each crash of a target. It may be nil.
	Crashed func(Crash)
}

// Tracker tracks the requests in flight at the targets of one node. It is safe for
// concurrent use.
type Tracker struct {
	options Options
	// flights holds every *Flight that has not ended.
	flights sync.Map
	// answers remembers the recent answers of the node's targets, by hashes with seed.
	answers bfquarantine.RecentAnswers
	seed    maphash.Seed
	// suspectInFlight is set while a request with an Isolated verdict is in flight.
	suspectInFlight atomic.Bool
	// checks merges concurrent checks for a crash of the same target. lastCrashed is the name
	// of the last target that crashed.
	checks      singleflight.Group
	lastCrashed atomic.Pointer[string]
}

// New returns a register without requests.
func New(options Options) *Tracker {
	return &Tracker{options: options, seed: maphash.MakeSeed()}
}

// HeldError reports a request that did not run because it is quarantined.
type HeldError struct {
	// For is the remaining time of the quarantine.
	For time.Duration
}

// Error returns the message with the remaining time.
func (e *HeldError) Error() string {
	return fmt.Sprintf("request quarantined for %v: targets crashed while running it", e.For)
}

// BusyError reports a request that did not run because it is suspected of crashing targets
// and may not run concurrently with the suspected request in flight.
type BusyError struct{}

// Error returns the message.
func (*BusyError) Error() string {
	return "another request suspected of crashing targets is in flight"
}

// Flight is one request in flight; End must be called.
type Flight struct {
	register *Tracker
	target   Target
	id       string
	request  bfquarantine.Request
	began    time.Time
	apart    bool
}

// Check returns a HeldError if the request is quarantined.
func (r *Tracker) Check(request bfquarantine.Request) error {
	_, err := r.judge(request)
	return err
}

func (r *Tracker) judge(request bfquarantine.Request) (bfquarantine.Verdict, error) {
	view := r.options.Book.View()
	if !view.HasSuspects() {
		return bfquarantine.Free{}, nil
	}
	now := r.options.Now()
	verdict := view.Judge(bfquarantine.KeyOf(request), now)
	if held, is := verdict.(bfquarantine.Held); is {
		return verdict, &HeldError{For: held.Until().Sub(now)}
	}
	return verdict, nil
}

// Begin adds a request that is about to be sent to a target. Its errors are HeldError and
// BusyError.
func (r *Tracker) Begin(target Target, id string, request bfquarantine.Request) (*Flight, error) {
	verdict, err := r.judge(request)
	if err != nil {
		return nil, err
	}
	_, apart := verdict.(bfquarantine.Isolated)
	if apart && !r.suspectInFlight.CompareAndSwap(false, true) {
		return nil, &BusyError{}
	}
	f := &Flight{register: r, target: target, id: id, request: request, began: r.options.Now(), apart: apart}
	r.flights.Store(f, struct{}{})
	return f, nil
}

// Began returns the time of Begin.
func (f *Flight) Began() time.Time { return f.began }

// End removes the request; further calls do nothing.
func (f *Flight) End() {
	if _, open := f.register.flights.LoadAndDelete(f); open && f.apart {
		f.register.suspectInFlight.Store(false)
	}
}

// Answered records that the target answered, which shows that the request doesn't crash it.
func (f *Flight) Answered() {
	r, now := f.register, f.register.options.Now()
	r.answers.Add(r.requestHash(f.request), now)
	if r.options.Book.View().HasSuspects() {
		r.options.Book.Answered(bfquarantine.KeyOf(f.request), now)
	}
}

// requestHash returns a hash of the request that is valid within this process. It is computed for
// each answer, and is much cheaper than a bfquarantine.Key.
func (r *Tracker) requestHash(request bfquarantine.Request) uint64 {
	var h maphash.Hash
	h.SetSeed(r.seed)
	for _, part := range []string{request.Method, request.Host, request.Target, request.Caller} {
		// A hash never returns an error.
		_, _ = h.WriteString(part)
		_ = h.WriteByte(0)
	}
	_, _ = h.Write(request.Body)
	return h.Sum64()
}
