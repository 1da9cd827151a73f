package bfrollout

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Book holds the newest roll-out of each service, as one node knows it. Readers load an immutable
// view; it is safe for concurrent use.
type Book struct {
	config  Config
	mu      sync.Mutex
	view    atomic.Pointer[map[string]*Rollout]
	changed chan struct{}
	// synced is set once the node knows the orders of the fleet.
	synced atomic.Bool
}

// Config holds the dependencies of a Book.
type Config struct {
	Terms Terms
	// Entries returns the number of nodes that send requests.
	Entries func() int
	Now     func() time.Time
}

// NewBook returns a book without roll-outs.
func NewBook(config Config) *Book {
	b := &Book{config: config, changed: make(chan struct{}, 1)}
	b.view.Store(&map[string]*Rollout{})
	return b
}

// Of returns the newest roll-out of a service, nil if there is none. A nil Book has none.
func (b *Book) Of(service string) *Rollout {
	if b == nil {
		return nil
	}
	return (*b.view.Load())[service]
}

// All returns the roll-outs, sorted by service.
func (b *Book) All() []*Rollout {
	view := *b.view.Load()
	all := make([]*Rollout, 0, len(view))
	for _, service := range slices.Sorted(maps.Keys(view)) {
		all = append(all, view[service])
	}
	return all
}

// Changed signals that a record changed.
func (b *Book) Changed() <-chan struct{} { return b.changed }

// SetSynced records that the node has received the fleet's orders, so that a service without a
// roll-out is known to have none.
func (b *Book) SetSynced() { b.synced.Store(true) }

// Records returns all records, for other nodes.
func (b *Book) Records() (records []Record) {
	for _, r := range b.All() {
		records = append(records, r.Record(b.config.Now()))
	}
	return records
}

// Digest identifies the records, 0 if there are none.
func (b *Book) Digest() uint64 {
	if len(*b.view.Load()) == 0 {
		return 0
	}
	return digest(b.Records())
}

// Observe adds an order that this node has read from the store. isNew is set if it was reported as
// a change: an order that was read with the full table may have ended already, and its state is
// Unverified. It reports whether the order is new to this node.
func (b *Book) Observe(order Order, isNew bool) (changed bool) {
	state := Unverified
	if isNew {
		state = Ordered
	}
	return b.Merge([]Record{{Order: order, State: state}})
}

// Merge merges records of other nodes, and reports whether this node's changed.
func (b *Book) Merge(records []Record) (changed bool) {
	for _, r := range records {
		if r.Order.Service != "" && b.update(r.Order.Service, func(held Record, found bool) (Record, bool) {
			if !found {
				return r, true
			}
			return held.merge(r)
		}) {
			changed = true
		}
	}
	return changed
}

// SetState records that the status row of an order has a state.
func (b *Book) SetState(order Order, state State) bool {
	return b.Merge([]Record{{Order: order, State: state}})
}

// Condemn records that the version of an order is bad, and reports whether that is new.
func (b *Book) Condemn(order Order, reason string) bool {
	return b.Merge([]Record{{Order: order, Condemned: true, Reason: reason}})
}

// Clear records that the version of an order is good, and reports whether that is new.
func (b *Book) Clear(order Order) bool { return b.Merge([]Record{{Order: order, Cleared: true}}) }

// update replaces the record of a service and reports whether it changed.
func (b *Book) update(service string, change func(held Record, found bool) (Record, bool)) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	held := b.Of(service)
	var record Record
	if held != nil {
		record = held.Record(now)
	}
	next, changed := change(record, held != nil)
	if !changed && next.Elapsed == record.Elapsed {
		return false
	}
	rollout := b.rollout(held, next, now)
	view := maps.Clone(*b.view.Load())
	view[service] = rollout
	b.view.Store(&view)
	if changed {
		b.notify()
	}
	return changed
}

// rollout returns the roll-out with a record; one of the same order keeps its counts.
func (b *Book) rollout(held *Rollout, record Record, now time.Time) *Rollout {
	r := &Rollout{record: record, began: now.Add(-record.Elapsed), schedule: schedule{b.config.Terms, record.Order.Duration}}
	if held != nil && held.record.Order == record.Order {
		r.allotment, r.tally, r.ledger = held.allotment, held.tally, held.ledger
		return r
	}
	r.allotment, r.tally, r.ledger = NewAllotment(b.config.Terms, b.config.Entries()), &Tally{}, &Ledger{}
	return r
}

func (b *Book) notify() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// Admits reports whether a node lets a request run on its target of a version of a service. chosen
// is set for a request whose entry chose the target for its version. otherVersions is whether the
// service also has targets of other versions.
//
// The node beside the target decides exactly, whatever other nodes know: one that lacks the
// newest order or its end sends its requests elsewhere after a refusal.
func (b *Book) Admits(service, version string, chosen, otherVersions bool) bool {
	if b == nil {
		return true
	}
	r := b.Of(service)
	switch {
	case r == nil:
		return chosen || b.synced.Load() || !otherVersions
	case r.record.Order.Version != version:
		return r.record.State != Completed
	case r.record.withdrawn():
		return false
	}
	return chosen || r.record.State == Completed
}
