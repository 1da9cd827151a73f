package bfretry

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// token is the cost of one retry in the unit of Budget.tokens.
	token = 1_000_000
	// tokenPercent is what one success adds for each percent of share.
	tokenPercent = token / 100
	// maxTokens caps the tokens of a budget, so that a long period without failures
	// can't pay for a retry storm.
	maxTokens = 20 * token
	// floorInterval is how often a budget without tokens still allows one retry, for
	// nodes that get few requests.
	floorInterval = 10 * time.Second
	// maxDepth is the number of hops that may retry; deeper ones don't.
	maxDepth = 6
	// The entry hop gets a half of the share and each of the five below it a tenth,
	// which adds up to the whole share. Most calls go no deeper than the entry hop.
	entryDivisor  = 2
	deeperDivisor = 10
)

// Budget is the token bucket of the retries of one class at one entry node.
//
// It is safe for concurrent use.
type Budget struct {
	tokens atomic.Int64
	// lastFloorAt is when the last retry beyond the tokens was allowed, in Unix nanoseconds.
	lastFloorAt atomic.Int64
}

// Earn adds percent of a token, scaled for depth, after a success at this node. Depth is
// the number of hops above this one.
//
// Call it for the success of a first attempt only: successes of retries would otherwise
// pay for further retries.
func (b *Budget) Earn(percent, depth int) {
	earned := earnings(percent, depth)
	for {
		saved := b.tokens.Load()
		next := min(saved+earned, maxTokens)
		if next == saved || b.tokens.CompareAndSwap(saved, next) {
			return
		}
	}
}

func earnings(percent, depth int) int64 {
	total := int64(max(percent, 0)) * tokenPercent
	switch {
	case depth == 0:
		return total / entryDivisor
	case 0 < depth && depth < maxDepth:
		return total / deeperDivisor
	}
	return 0
}

// take removes one token, and reports whether a retry is allowed.
func (b *Budget) take(now time.Time) bool {
	for {
		saved := b.tokens.Load()
		if saved < token {
			return b.takeFloor(now)
		}
		if b.tokens.CompareAndSwap(saved, saved-token) {
			return true
		}
	}
}

// takeFloor allows one retry in each floorInterval, to one of the concurrent callers.
func (b *Budget) takeFloor(now time.Time) bool {
	last := b.lastFloorAt.Load()
	if now.UnixNano()-last < int64(floorInterval) {
		return false
	}
	return b.lastFloorAt.CompareAndSwap(last, now.UnixNano())
}

// Tokens returns the number of whole tokens, without the retry allowed each floorInterval.
func (b *Budget) Tokens() int { return int(b.tokens.Load() / token) }

// Budgets holds the budget of each class at one entry node. Its zero value is empty.
//
// It needs no eviction, since the configuration bounds the number of classes.
type Budgets struct {
	mu sync.Mutex
	// byClass is copied on write, so that lookups need no lock.
	byClass atomic.Pointer[map[string]*Budget]
}

// Of returns the budget of class, which it creates at first use.
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
