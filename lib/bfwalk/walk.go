package bfwalk

import "time"

const (
	// askShare is the part of its objective for which a request goes from one full
	// target to the next where next to none takes it. One that walked on through dozens
	// of them got its slot after 1.5 s of an objective of 0.8 s: it held a slot that a
	// fresh request would have had in time, and many such kept a fleet of 54 targets
	// late after its restart.
	askShare = 0.1
	// moreAskShare is what is added to it where all that are asked take it: the next
	// one is likely to, and the caller is served sooner than if it came back.
	moreAskShare = 0.3
)

// Longest is how long a request goes from one full target to the next, where a share
// of the targets that were asked lately took what they were asked for.
func Longest(objective time.Duration, odds float64) time.Duration {
	return time.Duration((askShare + moreAskShare*odds) * float64(objective))
}

// leastFar is the share of refused requests that go to another failure domain however
// few of them are taken there: without them nobody would hear of room that is back.
const leastFar = 0.1

// GoesFar reports whether a request that was refused goes on to another failure
// domain: as often as those take it, since each question there costs bytes between
// domains. Chance is a random number from 0 to 1.
func GoesFar(odds, chance float64) bool { return chance <= max(odds, leastFar) }

// slackPatience is the part of its slack for which a request waits at the target that
// was chosen for it. A tenth of the requests run for more than twice the mean, so the
// whole slack would be used up by waiting alone.
const slackPatience = 0.5

// enoughOdds are the odds from which another target of the own domain is asked rather
// than waited for: two questions take a millisecond, the next slot of one target a
// tenth of a request's time and more. In a replay of 28 targets with a tenth of their
// slots to spare, 93 in 100 requests were in time where all waited at their first
// target, and 95 where they went on.
const enoughOdds = 0.2

// Waits reports whether a request waits at a full target, where others of the same
// domain are left to ask.
func Waits(others int, odds float64) bool { return others <= 0 || odds < enoughOdds }

// Patience is how long a request waits for a slot that has some time left and usually
// takes another from its sending to its answer. One that waits for the next slot of a
// near target costs nothing but its own slack; sent on to another domain it costs
// bytes, and refused it comes back.
func Patience(left, usual time.Duration) time.Duration {
	return time.Duration(slackPatience * float64(max(left-usual, 0)))
}

const (
	// comeBackShare and comeBackSpread place the time to come back within the
	// objective, where next to no target takes what it is asked for: early enough that
	// the request can still be served in it, and spread so that those refused together
	// do not come back together.
	comeBackShare  = 0.15
	comeBackSpread = 0.25
	// soonest is the part of that where all targets take what they are asked for.
	soonest = 0.33
	// returnedShare is the part of its objective after which a request counts as
	// one that has come back; less is the way from the caller.
	returnedShare = 0.1
	// lateShare and lateSpread place it within the time that is left, for a request
	// that has come back already. Where it would be refused a third time at once, it
	// is served late once the burst has passed; callers wait for a third of what they
	// have left at most.
	lateShare  = 0.2
	lateSpread = 0.13
)

// Refused is a request whose caller is to be told when to come back.
type Refused struct {
	Objective time.Duration
	// Used is what its caller has waited before this attempt, Left for how long it
	// waits still.
	Used, Left time.Duration
}

// ComeBack is when the caller is told to come back. Chance is a random number from 0 to 1.
func (r Refused) ComeBack(odds, chance float64) time.Duration {
	if float64(r.Used) < returnedShare*float64(r.Objective) {
		sooner := 1 - (1-soonest)*odds
		return time.Duration(float64(r.Objective) * sooner * (comeBackShare + comeBackSpread*chance))
	}
	return time.Duration(float64(r.Left) * (lateShare + lateSpread*chance))
}

// longTail is how many times its usual time a request may run: of times whose logarithms
// have a deviation of 0.8, one in a hundred is longer than five times the mean.
const longTail = 5

// FitsIn reports whether a request that usually takes some time is answered in what is
// left, but for one in a hundred.
func FitsIn(left, usual time.Duration) bool { return longTail*usual <= left }
