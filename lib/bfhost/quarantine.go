package bfhost

import (
	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bfquarantine"
)

// judge is the verdict on a request, and the refusal of one that is held.
func (h *Host) judge(r *bfexchange.Request) (verdict bfquarantine.Verdict, refused Result) {
	view := h.parts.Quarantine.View()
	if !view.Watches() {
		return bfquarantine.Free{}, nil
	}
	now := h.parts.Timer.Now()
	verdict = view.Judge(bfquarantine.KeyOf(Asked(r, h.parts.Names.CallerService)), now)
	if held, is := verdict.(bfquarantine.Held); is {
		return verdict, Refused{Reason: Quarantined, RetryAfter: held.Until().Sub(now)}
	}
	return verdict, nil
}

// setApart gives a request that has to run apart the target's one place for such, until
// free is called. Where that is taken another target is asked.
func (h *Host) setApart(r *bfexchange.Request) (free func(), refused Result) {
	verdict, refused := h.judge(r)
	if refused != nil {
		return nil, refused
	}
	if _, apart := verdict.(bfquarantine.Apart); !apart {
		return func() {}, nil
	}
	if !h.apart.CompareAndSwap(false, true) {
		return nil, Refused{Reason: Full}
	}
	return func() { h.apart.Store(false) }, nil
}

// clear takes a target's answer as a proof that the request does not end targets.
func (h *Host) clear(f *flight, end Result) {
	if _, answered := end.(Answered); !answered {
		return
	}
	view := h.parts.Quarantine.View()
	if !view.Watches() {
		return
	}
	h.parts.Quarantine.Answered(bfquarantine.KeyOf(f.asked), h.parts.Timer.Now())
}
