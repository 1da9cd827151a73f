package bfwalk

import (
	"sync"
	"sync/atomic"
)

// Odds holds, for each service, how often targets that were asked lately took the
// request; its zero value is empty. Services come from the configuration, so their
// number is bounded by it.
//
// Where most take it, one refusal is chance: the next target is worth asking, and a
// refused caller may come back soon. Where few do, the service has less room than
// work, and each further question takes the time of all for next to nothing.
type Odds struct{ byService sync.Map }

// share is a share of recent questions, in 1/65536.
type share struct{ value atomic.Uint32 }

const (
	// oddsWeight is how much one question counts: about the last 16 decide, which an
	// entry of a large fleet asks in about a second.
	oddsWeight = 16
	wholeOdds  = 1 << 16
)

// Note counts a question to a target of the service.
func (o *Odds) Note(service string, took bool) {
	held := o.share(service)
	for {
		before := held.value.Load()
		after := before - before/oddsWeight
		if took {
			after += wholeOdds / oddsWeight
		}
		if held.value.CompareAndSwap(before, after) {
			return
		}
	}
}

// Of is the share of questions that were taken, 1 before the first.
func (o *Odds) Of(service string) float64 {
	return min(float64(o.share(service).value.Load())/wholeOdds, 1)
}

func (o *Odds) share(service string) *share {
	if held, found := o.byService.Load(service); found {
		return held.(*share)
	}
	fresh := &share{}
	fresh.value.Store(wholeOdds)
	held, _ := o.byService.LoadOrStore(service, fresh)
	return held.(*share)
}
