package bfledger

import "sync"

// Run counts what happened to one request at the target.
type Run struct {
	ID string `json:"id"`
	// Key is the caller's idempotency key, empty if the request had none.
	Key       string `json:"key,omitempty"`
	Started   int    `json:"started"`
	Finished  int    `json:"finished"`
	Cancelled int    `json:"cancelled"`
	Shed      int    `json:"shed"`
}

// Ledger records the runs of one target; it is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	runs    map[string]*Run
	maxRuns int
	lost    int
}

// New returns a ledger of at most max requests; further ones are only counted.
func New(max int) *Ledger { return &Ledger{runs: map[string]*Run{}, maxRuns: max} }

// Record applies edit to the run of a request ID and creates the run if it is new.
func (l *Ledger) Record(id, key string, edit func(*Run)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run, found := l.runs[id]
	if !found {
		if len(l.runs) >= l.maxRuns {
			l.lost++
			return
		}
		run = &Run{ID: id, Key: key}
		l.runs[id] = run
	}
	edit(run)
}

// Page is a copy of the ledger as it is served.
type Page struct {
	Runs []Run `json:"runs"`
	// Lost counts the requests beyond the ledger's size; unless it is 0, the ledger is
	// incomplete and proves nothing.
	Lost int `json:"lost"`
}

// Page returns a copy of the ledger.
func (l *Ledger) Page() Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := Page{Runs: make([]Run, 0, len(l.runs)), Lost: l.lost}
	for _, run := range l.runs {
		page.Runs = append(page.Runs, *run)
	}
	return page
}
