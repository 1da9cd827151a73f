package bfguard

import (
	"context"

	"bilberryflow.org/lib/bfadmit"
	"bilberryflow.org/lib/bfhop"
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
		Content: v.content(), Home: v.guard.parts.Home, ID: v.meta.ID,
		Deadline: v.arrived.Add(v.meta.Left), Retention: keyRetention,
	}
}

// handOverClaimed hands the request to the target if its key is free.
//
// The slot is held while the key is claimed: a key claimed first and then
// refused for want of room would have to be given back under load, which costs
// a write for each refusal at the worst moment.
func (v *visit) handOverClaimed(ctx context.Context) bfadmit.Outcome {
	claims, spec := v.guard.claims, v.spec()
	switch result := claims.run(ctx, bfclaim.NewClaim(spec)).(type) {
	case bfclaim.Granted:
		outcome := v.handOver(ctx)
		if v.ran == nil {
			claims.settle(bfclaim.Release(spec))
			return outcome
		}
		claims.settle(bfclaim.Record(spec, v.ran, ""))
		return outcome
	case bfclaim.RecordedOutcome:
		v.bar()
		v.replay(result.Answer())
	case bfclaim.InProgress:
		v.bar()
		bfhop.WriteBusy(v.w, result.ID())
	case bfclaim.ContentMismatch:
		v.abort(bfrecord.ReasonMismatch, 0)
	case bfclaim.HomeGone:
		v.bar()
		bfhop.WriteLost(v.w)
	case bfclaim.Refused:
		v.abort(bfrecord.ReasonTableAway, result.RetryAfter())
		if result.NeedsRelease() {
			claims.settle(bfclaim.Release(spec))
		}
	default:
		// The node stops; the claim, if it was written, names a home that is gone.
		v.abort(bfrecord.ReasonLeaving, comeBack)
	}
	return bfadmit.Unused
}
