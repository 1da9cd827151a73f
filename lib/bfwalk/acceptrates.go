package bfwalk

import (
	"sync"

	"bilberryflow.org/lib/bfshare"
)

// AcceptRates holds the recent acceptance rate of each service: the share of sends that its
// targets accepted. Its zero value is empty, and it is safe for concurrent use. It needs
// no eviction, since the configuration bounds the number of services.
//
// At a high rate the next target is likely to accept, and a refused caller may retry
// soon. At a low rate the service is overloaded, and further attempts are mostly wasted.
type AcceptRates struct{ byService sync.Map }

// Note counts a send to a target of the service, and whether the target accepted it.
func (r *AcceptRates) Note(service string, accepted bool) { r.share(service).Note(accepted) }

// Of returns the acceptance rate of the service, from 0 to 1; it is 1 before the first send.
func (r *AcceptRates) Of(service string) float64 { return r.share(service).Value() }

func (r *AcceptRates) share(service string) *bfshare.Share {
	held, found := r.byService.Load(service)
	if !found {
		held, _ = r.byService.LoadOrStore(service, bfshare.NewFull())
	}
	return held.(*bfshare.Share)
}
