package bfledger

import "sync"

// Run is what happened to one request at the target.
type Run struct {
	ID string `json:"id"`
	// Key is the caller's idempotency key, if the request had one.
	Key       string `json:"key,omitempty"`
	Started   int    `json:"started"`
	Finished  int    `json:"finished"`
	Cancelled int    `json:"cancelled"`
	Shed      int    `json:"shed"`
}

// Ledger holds the runs of one target.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]*Run
	max  int
	lost int
}

// New makes a ledger of at most max requests; later ones are only counted as lost.
func New(max int) *Ledger { return &Ledger{runs: map[string]*Run{}, max: max} }

// Record changes the run of id by edit.
func (l *Ledger) Record(id, key string, edit func(*Run)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run, found := l.runs[id]
	if !found {
		if len(l.runs) >= l.max {
			l.lost++
			return
		}
		run = &Run{ID: id, Key: key}
		l.runs[id] = run
	}
	edit(run)
}

// Page is the ledger as it is shown.
type Page struct {
	Runs []Run `json:"runs"`
	// Lost counts requests beyond what the ledger holds: with any, it proves nothing.
	Lost int `json:"lost"`
}

// Page copies the ledger.
func (l *Ledger) Page() Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := Page{Runs: make([]Run, 0, len(l.runs)), Lost: l.lost}
	for _, run := range l.runs {
		page.Runs = append(page.Runs, *run)
	}
	return page
}
