package bfquarantine

import (
	"sync/atomic"
	"time"
)

const (
	// answersFor is how long an answer is remembered at the least.
	answersFor = 30 * time.Second
	// filterBits is the size of one filter, filterHashes how many bits of it each answer
	// sets, mostAnswers how many answers it takes.
	filterBits   = 1 << 17
	filterHashes = 4
	mostAnswers  = filterBits / 8
)

// Answers remembers, in bounded memory, what targets answered lately; it is safe for
// concurrent use.
//
// A request that many make runs at several targets at any moment. Where these end for a
// reason of their own, at one moment, it has run at the end of each of them, and nothing
// that runs elsewhere may be left to clear it; but it was answered shortly before, and
// under a request that ends targets nothing ever is.
type Answers struct{ filters atomic.Pointer[filters] }

// filters are the one that answers are added to and the one before it.
type filters struct {
	newest, older *filter
	began         time.Time
}

type filter struct {
	words [filterBits / 64]atomic.Uint64
	added atomic.Int64
}

// Add notes the answer to a request that is known by the sum.
func (a *Answers) Add(sum uint64, now time.Time) {
	f := a.filters.Load()
	if f == nil || now.Sub(f.began) >= answersFor || f.newest.added.Load() >= mostAnswers {
		f = a.turn(f, now)
	}
	f.newest.added.Add(1)
	for bit := range bitsOf(sum) {
		f.newest.words[bit/64].Or(1 << (bit % 64))
	}
}

// turn begins a new filter; one that was begun by somebody else meanwhile will do as well.
func (a *Answers) turn(old *filters, now time.Time) *filters {
	next := &filters{newest: new(filter), began: now}
	if old != nil && now.Sub(old.began) < 2*answersFor {
		next.older = old.newest
	}
	if !a.filters.CompareAndSwap(old, next) {
		return a.filters.Load()
	}
	return next
}

// Has reports whether a request that is known by the sum was answered lately.
func (a *Answers) Has(sum uint64, now time.Time) bool {
	f := a.filters.Load()
	if f == nil || now.Sub(f.began) >= 2*answersFor {
		return false
	}
	return f.newest.has(sum) || f.older != nil && f.older.has(sum)
}

func (f *filter) has(sum uint64) bool {
	for bit := range bitsOf(sum) {
		if f.words[bit/64].Load()&(1<<(bit%64)) == 0 {
			return false
		}
	}
	return true
}

// bitsOf gives the bits that a sum sets.
func bitsOf(sum uint64) func(yield func(bit uint64) bool) {
	return func(yield func(bit uint64) bool) {
		step := mix(sum) | 1
		for range filterHashes {
			if !yield(sum % filterBits) {
				return
			}
			sum += step
		}
	}
}
