package bfhedge

import (
	"sync"

	"bilberryflow.org/lib/bfshare"
)

// Terms limit the copies.
type Terms struct {
	// Share is the number of copies for each request, 0 for none.
	Share float64
}

// Budget holds the copies that one entry may send to each service. Each request earns Terms.Share of a
// copy and a copy costs a whole one, so that the copies of an entry, and so of all entries together,
// never exceed the share, whatever the number of entries. The zero value has no copies. It is safe for
// concurrent use.
type Budget struct {
	mu        sync.Mutex
	byService map[string]*account
}

type account struct {
	balance float64
	// won is the share of recent copies that were answered before the first one.
	won *bfshare.Share
	// skipped counts the copies that were not sent since the last one because they seldom win.
	skipped int
}

const (
	// maxSaved bounds the copies that an entry saves up while no request is slow. More would allow a
	// burst of copies when a whole service becomes slow.
	maxSaved = 4
	// minWon is the share of won copies below which they are of little use; then one in rareInterval
	// is sent to find out whether that has changed.
	minWon       = 0.25
	rareInterval = 10
)

// account returns the account of a service. The caller must hold mu. The configuration bounds the
// number of services.
func (b *Budget) account(service string) *account {
	held := b.byService[service]
	if held == nil {
		if b.byService == nil {
			b.byService = map[string]*account{}
		}
		held = &account{won: bfshare.NewFull()}
		b.byService[service] = held
	}
	return held
}

// Earn counts a request that is sent to a service for the first time.
func (b *Budget) Earn(service string, terms Terms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.account(service)
	held.balance = min(held.balance+terms.Share, maxSaved)
}

// Take spends a copy to a service and reports whether there was one.
func (b *Budget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.account(service)
	if held.balance < 1 {
		return false
	}
	if held.won.Value() < minWon {
		held.skipped++
		if held.skipped < rareInterval {
			return false
		}
	}
	held.skipped = 0
	held.balance--
	return true
}

// Return gives back a copy that was not sent.
func (b *Budget) Return(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.account(service)
	held.balance = min(held.balance+1, maxSaved)
}

// Note records whether a copy was answered before the first one.
func (b *Budget) Note(service string, won bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(service).won.Note(won)
}

// Won returns the share of recent copies to a service that were answered before the first one.
func (b *Budget) Won(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account(service).won.Value()
}
