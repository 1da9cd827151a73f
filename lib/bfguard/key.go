package bfguard

import (
	"context"

	"bilberryflow.org/lib/bfadmit"
	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfrecord/bfclaim"
)

// needsClaim reports whether the request must claim a caller-chosen key before it runs.
func (in *inboundRequest) needsClaim() bool {
	return in.meta.Key != "" && in.meta.Stamp.DurableKeys && !in.meta.Stamp.Idempotent && !bfrecord.IsMintedKey(in.meta.Key)
}

func (in *inboundRequest) claimSpec() bfclaim.Spec {
	return bfclaim.Spec{
		Key:     bfclaim.Key{Tenant: in.meta.Tenant, Route: in.meta.Route, Key: in.meta.Key},
		Content: in.content, Home: in.guard.config.Home, ID: in.meta.ID,
		Deadline: in.deadline, Retention: keyRetention,
	}
}

// sendClaimed claims the request's key and sends the request to the target if the key is free.
//
// The slot is acquired before the key: releasing the key of a request that is then
// rejected would cost a write for each rejection under overload. claimTimeout and
// the breaker limit how long a hanging table holds slots.
func (in *inboundRequest) sendClaimed(ctx context.Context, target Status) (inboundResult, bfadmit.Outcome) {
	claims, spec := in.guard.claims, in.claimSpec()
	switch result := claims.claim(ctx, spec).(type) {
	case bfclaim.Granted:
		runResult, outcome := in.sendToTarget(ctx, target)
		if in.answer == nil {
			claims.settle(bfclaim.Release(spec))
			return runResult, outcome
		}
		claims.settle(bfclaim.Record(spec, in.answer, ""))
		return runResult, outcome
	case bfclaim.RecordedOutcome:
		in.recordAbort()
		return finished{result.Answer()}, bfadmit.Unused
	case bfclaim.InProgress:
		in.recordAbort()
		return inProgress{result.ID()}, bfadmit.Unused
	case bfclaim.ContentMismatch:
		return in.abort(bfrecord.ReasonMismatch, 0), bfadmit.Unused
	case bfclaim.HomeGone:
		in.recordAbort()
		return finished{bfrecord.NewLostAnswer("the home of its key is gone")}, bfadmit.Unused
	case bfclaim.Refused:
		if result.NeedsRelease() {
			claims.settle(bfclaim.Release(spec))
		}
		return in.abort(bfrecord.ReasonTableUnavailable, result.RetryAfter()), bfadmit.Unused
	}
	// Not reached: only a settlement can end without a result.
	return in.abort(bfrecord.ReasonLeaving, targetRetryAfter), bfadmit.Unused
}
