package bfwalk

import "time"

const (
	// minSearchShare is the part of its objective for which a request goes from one full
	// target to the next at an acceptance rate of 0. A longer search gives slots to
	// requests that are already late, which keeps the fleet overloaded: one that tries
	// dozens of full targets gets its slot after twice its objective.
	minSearchShare = 0.1
	// extraSearchShare is added to it at an acceptance rate of 1, since the next target
	// is then likely to accept, and the caller is served sooner than by a retry.
	extraSearchShare = 0.3
)

// MaxSearch returns how long a request may go from one full target to the next, for an
// objective and an acceptance rate from 0 to 1.
func MaxSearch(objective time.Duration, acceptRate float64) time.Duration {
	return time.Duration((minSearchShare + extraSearchShare*acceptRate) * float64(objective))
}

// minRemoteShare is the least share of refused requests that go to other failure domains.
// Without it, an entry would not detect that they have capacity again.
const minRemoteShare = 0.1

// TriesOtherDomain reports whether a refused request is sent to another failure domain. The
// probability equals the acceptance rate there, since each attempt costs traffic between
// domains. random is from 0 to 1.
func TriesOtherDomain(acceptRate, random float64) bool {
	return random <= max(acceptRate, minRemoteShare)
}

// minLinkShare is the least share of refused requests for which more than one other narrow link is asked.
const minLinkShare = 0.1

// TriesOtherLink reports whether a request refused by a narrow link may be sent to several others. If
// not, the next is the last. The probability grows with the acceptance rate: each refusal takes bytes of
// the links, and where most are refused, another request finds the room that this one misses.
func TriesOtherLink(acceptRate, random float64) bool {
	return random <= max(acceptRate, minLinkShare)
}

// maxWaitShare is the part of its slack for which a request queues at its target. The
// rest covers run times above the mean: a tenth of the requests run for more than twice
// the mean.
const maxWaitShare = 0.5

// minAcceptRate is the acceptance rate from which another target of the same domain is tried
// instead of queueing at a full one: an attempt takes half a millisecond, the next free slot of
// one target a tenth of a request's time and more.
const minAcceptRate = 0.2

// QueuesAtTarget reports whether a request queues at a full target. others is the number of
// untried targets in the same domain.
func QueuesAtTarget(others int, acceptRate float64) bool {
	return others <= 0 || acceptRate < minAcceptRate
}

// MaxWait returns how long a request may queue for a slot, from the time left until its
// objective and the usual time from send to answer. Queueing at a near target uses only
// the request's slack, while another domain costs traffic and a refusal costs a retry.
func MaxWait(left, usual time.Duration) time.Duration {
	return time.Duration(maxWaitShare * float64(max(left-usual, 0)))
}

const (
	// retryShare and retrySpread are the minimum and the random part of the first retry
	// delay, as shares of the objective, at an acceptance rate of 0. The retry can still
	// meet the objective, and callers that were refused together don't retry together.
	retryShare  = 0.15
	retrySpread = 0.25
	// minRetryFactor scales that delay at an acceptance rate of 1.
	minRetryFactor = 0.33
	// retriedShare is the part of its objective that a request must have used to count as
	// a retry; a first attempt has used only the time on the way from its caller.
	retriedShare = 0.1
	// laterRetryShare and laterRetrySpread are the minimum and the random part of the delay of a
	// further retry, as shares of the time left: a short overload has usually ended by then.
	// Callers wait for at most a third of the time that they have left.
	laterRetryShare  = 0.2
	laterRetrySpread = 0.13
)

// Refused describes a refused request whose caller receives a retry delay.
type Refused struct {
	// Objective is the time in which the request should be answered.
	Objective time.Duration
	// Used is the time that the caller has waited before this attempt, Left the time for
	// which it will still wait.
	Used, Left time.Duration
}

// RetryAfter returns the delay after which the caller should retry, at an acceptance rate
// of acceptRate. random is from 0 to 1.
func (r Refused) RetryAfter(acceptRate, random float64) time.Duration {
	if float64(r.Used) < retriedShare*float64(r.Objective) {
		factor := 1 - (1-minRetryFactor)*acceptRate
		return time.Duration(float64(r.Objective) * factor * (retryShare + retrySpread*random))
	}
	return time.Duration(float64(r.Left) * (laterRetryShare + laterRetrySpread*random))
}

// tailFactor is the 99th percentile of run times over their mean, for a log-normal
// distribution with a deviation of 0.8.
const tailFactor = 5

// LikelyInTime reports whether a request of a usual duration is 99 % likely to be answered
// within the time left.
func LikelyInTime(left, usual time.Duration) bool { return tailFactor*usual <= left }
