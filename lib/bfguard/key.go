package bfguard

import (
	"context"

	"bilberryflow.org/lib/bfadmit"
	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfrecord/bfclaim"
)

// needsClaim reports whether the request carries a caller's own key.
func (v *visit) needsClaim() bool {
	return v.meta.Key != "" && v.meta.Stamp.DurableKeys && !v.meta.Stamp.Idempotent && !bfrecord.IsMintedKey(v.meta.Key)
}

func (v *visit) spec() bfclaim.Spec {
	return bfclaim.Spec{
		Key:     bfclaim.Key{Tenant: v.meta.Tenant, Route: v.meta.Route, Key: v.meta.Key},
		Content: v.content, Home: v.guard.parts.Home, ID: v.meta.ID,
		Deadline: v.deadline, Retention: keyRetention,
	}
}

// handOverClaimed hands the request to the target if its key is free.
//
// The slot is held while the key is claimed: a key claimed first and then
// refused for want of room would have to be given back under load, which costs
// a write for each refusal at the worst moment. The time is bounded, and the
// breaker keeps a table that hangs from taking every slot.
func (v *visit) handOverClaimed(ctx context.Context, target Status) (end, bfadmit.Outcome) {
	claims, spec := v.guard.claims, v.spec()
	switch result := claims.claim(ctx, spec).(type) {
	case bfclaim.Granted:
		end, outcome := v.handOver(ctx, target)
		if v.ran == nil {
			claims.settle(bfclaim.Release(spec))
			return end, outcome
		}
		claims.settle(bfclaim.Record(spec, v.ran, ""))
		return end, outcome
	case bfclaim.RecordedOutcome:
		v.bar()
		return ended{result.Answer()}, bfadmit.Unused
	case bfclaim.InProgress:
		v.bar()
		return busy{result.ID()}, bfadmit.Unused
	case bfclaim.ContentMismatch:
		return v.abort(bfrecord.ReasonMismatch, 0), bfadmit.Unused
	case bfclaim.HomeGone:
		v.bar()
		return ended{bfrecord.NewLostAnswer("the home of its key is gone")}, bfadmit.Unused
	case bfclaim.Refused:
		if result.NeedsRelease() {
			claims.settle(bfclaim.Release(spec))
		}
		return v.abort(bfrecord.ReasonTableAway, result.RetryAfter()), bfadmit.Unused
	}
	// The node stops; the claim, if it was written, names a home that is gone.
	return v.abort(bfrecord.ReasonLeaving, comeBack), bfadmit.Unused
}
