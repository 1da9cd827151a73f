package bfretry

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// token is one retry, in the unit in which budgets count.
	token = 1_000_000
	// percentOfToken is what one success earns for each percent of share.
	percentOfToken = token / 100
	// maxSaved bounds what a budget saves, so that only recent successes count:
	// an hour of quiet must not pay for a storm.
	maxSaved = 20 * token
	// floorInterval is how often a budget below one token is raised to one, so
	// that a node with few requests can still retry now and then.
	floorInterval = 10 * time.Second
	// maxDepth is how many hops a call may go; hops below it do not retry.
	maxDepth = 6
	// The entry hop earns a half of the share and each of the five below it a
	// tenth, so that together they earn the share and no more. The entry hop has
	// most, since most calls go no deeper.
	entryPart  = 2
	deeperPart = 10
)

// Budget is the retries that one class may make at one entry node.
//
// All methods may be called by many goroutines at once.
type Budget struct {
	saved atomic.Int64
	// floorAt is when the floor last gave, in nanoseconds since 1970.
	floorAt atomic.Int64
}

// Earn adds the share that one success brings at depth, the number of hops above this one.
//
// Only the success of a first copy earns: a retry that earned would pay for
// further ones.
func (b *Budget) Earn(percent, depth int) {
	earned := earnings(percent, depth)
	for {
		saved := b.saved.Load()
		next := min(saved+earned, maxSaved)
		if next == saved || b.saved.CompareAndSwap(saved, next) {
			return
		}
	}
}

func earnings(percent, depth int) int64 {
	whole := int64(max(percent, 0)) * percentOfToken
	switch {
	case depth == 0:
		return whole / entryPart
	case 0 < depth && depth < maxDepth:
		return whole / deeperPart
	}
	return 0
}

// take removes one token if there is one.
func (b *Budget) take(now time.Time) bool {
	for {
		saved := b.saved.Load()
		if saved < token {
			return b.takeFloor(now)
		}
		if b.saved.CompareAndSwap(saved, saved-token) {
			return true
		}
	}
}

// takeFloor gives one token an interval, to exactly one of those who ask.
func (b *Budget) takeFloor(now time.Time) bool {
	last := b.floorAt.Load()
	if now.UnixNano()-last < int64(floorInterval) {
		return false
	}
	return b.floorAt.CompareAndSwap(last, now.UnixNano())
}

// Saved is how many whole retries the budget holds beside its floor.
func (b *Budget) Saved() int { return int(b.saved.Load() / token) }

// Budgets holds the budget of each class at one entry node; its zero value is empty.
//
// Classes come from the configuration, so their number is bounded by it.
type Budgets struct {
	mu sync.Mutex
	// byClass is copied for each new class, so that requests read it without a lock.
	byClass atomic.Pointer[map[string]*Budget]
}

// Of is the budget of class, made at first use.
func (b *Budgets) Of(class string) *Budget {
	if held := b.byClass.Load(); held != nil {
		if budget := (*held)[class]; budget != nil {
			return budget
		}
	}
	return b.add(class)
}

func (b *Budgets) add(class string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := map[string]*Budget{}
	if held := b.byClass.Load(); held != nil {
		maps.Copy(next, *held)
	}
	if next[class] == nil {
		next[class] = &Budget{}
	}
	b.byClass.Store(&next)
	return next[class]
}
