package bfquarantine

import (
	"sync/atomic"
	"time"
)

const (
	// answerRetention is the least time for which an answer is remembered, unless there are
	// more than filterCapacity in it.
	answerRetention = 30 * time.Second
	// filterBits is the size of one Bloom filter, filterHashes the number of bits set for
	// each answer, and filterCapacity the number
	// of answers that it is made for.
	filterBits     = 1 << 17
	filterHashes   = 4
	filterCapacity = filterBits / 8
)

// RecentAnswers remembers in Bloom filters which requests targets answered recently. It is safe
// for concurrent use.
//
// A frequent request runs at several targets at any moment. If these crash together for
// another reason, it ran at each crash, and there may be no other run left to clear it.
// But it was answered shortly before, which a request that crashes targets never is.
type RecentAnswers struct{ filters atomic.Pointer[filters] }

// filters holds the filter that answers are added to and the one before it.
type filters struct {
	newest, older *filter
	began         time.Time
}

type filter struct {
	words [filterBits / 64]atomic.Uint64
	added atomic.Int64
}

// Add records an answer to the request with a hash of sum.
func (a *RecentAnswers) Add(sum uint64, now time.Time) {
	f := a.filters.Load()
	if f == nil || now.Sub(f.began) >= answerRetention || f.newest.added.Load() >= filterCapacity {
		f = a.rotate(f, now)
	}
	f.newest.added.Add(1)
	for bit := range bitsOf(sum) {
		f.newest.words[bit/64].Or(1 << (bit % 64))
	}
}

// rotate begins a new filter, unless another goroutine has done so, and returns the
// current filters.
func (a *RecentAnswers) rotate(old *filters, now time.Time) *filters {
	next := &filters{newest: new(filter), began: now}
	if old != nil && now.Sub(old.began) < 2*answerRetention {
		next.older = old.newest
	}
	if !a.filters.CompareAndSwap(old, next) {
		return a.filters.Load()
	}
	return next
}

// Has reports whether the request with a hash of sum was answered recently. It may return
// true for one that was not, with the false-positive rate of the filters.
func (a *RecentAnswers) Has(sum uint64, now time.Time) bool {
	f := a.filters.Load()
	if f == nil || now.Sub(f.began) >= 2*answerRetention {
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

// bitsOf iterates over the filter bits of a hash.
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
