package bfwalk

import (
	"sync"

	"bilberryflow.org/lib/bfshare"
)

// Odds holds, for each service, how often targets that were asked lately took the
// request; its zero value is empty. Services come from the configuration, so their
// number is bounded by it.
//
// Where most take it, one refusal is chance: the next target is worth asking, and a
// refused caller may come back soon. Where few do, the service has less room than
// work, and each further question takes the time of all for next to nothing.
type Odds struct{ byService sync.Map }

// Note counts a question to a target of the service.
func (o *Odds) Note(service string, took bool) { o.share(service).Note(took) }

// Of is the share of questions that were taken, 1 before the first.
func (o *Odds) Of(service string) float64 { return o.share(service).Value() }

func (o *Odds) share(service string) *bfshare.Share {
	held, found := o.byService.Load(service)
	if !found {
		held, _ = o.byService.LoadOrStore(service, bfshare.Full())
	}
	return held.(*bfshare.Share)
}
