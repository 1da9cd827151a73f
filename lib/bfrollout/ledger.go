package bfrollout

import "sync"

// Ledger sums the cells of all entries by time slice and route. It is safe for concurrent use.
type Ledger struct {
	mu sync.Mutex
	// held has the newest cells of each entry, so that a later copy replaces an earlier one.
	held map[string][]Cell
	// sums has the outcomes by time slice.
	sums []map[string]Pair
}

// maxBuckets bounds the time slices that are kept.
const maxBuckets = 10_000

// Add adds cells of an entry. Cells that arrive late, twice or out of order do no harm.
func (l *Ledger) Add(entry string, cells []Cell) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil {
		l.held = map[string][]Cell{}
	}
	for _, c := range cells {
		if c.Bucket >= 0 && c.Bucket < maxBuckets {
			l.add(entry, c)
		}
	}
}

func (l *Ledger) add(entry string, c Cell) {
	held := l.held[entry]
	for i, earlier := range held {
		if earlier.Bucket != c.Bucket {
			continue
		}
		if c.requests() > earlier.requests() {
			l.sum(earlier, -1)
			l.sum(c, 1)
			held[i] = c
		}
		return
	}
	if n := len(held); n > 0 && c.Bucket < held[0].Bucket {
		return
	}
	l.sum(c, 1)
	held = append(held, c)
	l.held[entry] = held[max(len(held)-2*keptCells, 0):]
}

func (l *Ledger) sum(c Cell, sign int) {
	for len(l.sums) <= c.Bucket {
		l.sums = append(l.sums, map[string]Pair{})
	}
	for route, p := range c.Routes {
		l.sums[c.Bucket][route] = l.sums[c.Bucket][route].plus(p, sign)
	}
}

// Totals returns the numbers of requests that reached each version.
func (l *Ledger) Totals() (old, renewed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, routes := range l.sums {
		for _, p := range routes {
			old += p.Old.Requests
			renewed += p.allNew().Requests
		}
	}
	return old, renewed
}
