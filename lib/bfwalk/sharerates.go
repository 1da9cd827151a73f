package bfwalk

import (
	"sync"

	"bilberryflow.org/lib/bfshare"
)

// ShareRates holds, for workspaces that were refused beyond their fair share of a service's slots,
// the share of recent sends that were not. Its zero value is empty, and it is safe for concurrent
// use.
//
// The acceptance rate of the service says nothing about such a workspace: others are accepted where
// it is refused.
type ShareRates struct {
	mu    sync.RWMutex
	rates map[shareKey]*bfshare.Share
}

type shareKey struct{ service, workspace string }

const (
	// maxShareRates bounds the services and workspaces: callers choose the latter.
	maxShareRates = 4096
	// forgottenRate is the rate from which a workspace is no longer kept.
	forgottenRate = 0.95
)

// Note counts a send of a workspace to a target of the service, and whether it was refused beyond
// the fair share.
func (r *ShareRates) Note(service, workspace string, beyond bool) {
	key := shareKey{service, workspace}
	rate := r.find(key)
	if rate == nil && !beyond {
		return
	}
	if rate == nil {
		rate = r.add(key)
	}
	rate.Note(!beyond)
	if !beyond && rate.Value() >= forgottenRate {
		r.mu.Lock()
		delete(r.rates, key)
		r.mu.Unlock()
	}
}

// Of returns the share of sends that were not refused beyond the fair share, from 0 to 1.
func (r *ShareRates) Of(service, workspace string) float64 {
	if rate := r.find(shareKey{service, workspace}); rate != nil {
		return rate.Value()
	}
	return 1
}

func (r *ShareRates) find(key shareKey) *bfshare.Share {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.rates[key]
}

func (r *ShareRates) add(key shareKey) *bfshare.Share {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rate := r.rates[key]; rate != nil {
		return rate
	}
	if r.rates == nil || len(r.rates) >= maxShareRates {
		r.rates = map[shareKey]*bfshare.Share{}
	}
	rate := bfshare.NewFull()
	r.rates[key] = rate
	return rate
}

// minBeyondShare is the least share of requests refused beyond the fair share that go on to another
// target. Without it, an entry would not detect that other targets have capacity again.
const minBeyondShare = 0.1

// TriesBeyondShare reports whether a request that one target refused beyond the fair share of its
// workspace is sent to another. It is, as long as enough of the sends of the workspace are accepted:
// a full target says nothing about the others. Below that, the probability is that of an acceptance.
// random is from 0 to 1.
func TriesBeyondShare(rate, random float64) bool {
	return rate >= minAcceptRate || random <= max(rate, minBeyondShare)
}
