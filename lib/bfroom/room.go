package bfroom

import "time"

const (
	// cutFactor is the part of the requests in flight at a reset that the limit falls to.
	cutFactor = 0.85
	// minProbeWait and maxProbeWait bound the time from a change of the limit to the next probe. It
	// doubles with each probe that is reset.
	minProbeWait = 2 * time.Second
	maxProbeWait = time.Minute
	// probesPerStep is the number of successive probes that must be answered for one more slot. One
	// may be answered by chance, as another request was about to end.
	probesPerStep = 3
	// minCarried is the number of answers to requests that began with as many in flight from which a
	// reset is not attributed to load: a full target resets them all. A program error that resets one
	// request in 100 lowered the limit from 8 to 1. maxCarried bounds the answers that are remembered
	// for one number in flight.
	minCarried = 10
	maxCarried = 4 * minCarried
	// probeGap is the time between two such probes.
	probeGap = 100 * time.Millisecond
)

// Room learns the limit of one start of a target. It is not safe for concurrent use.
//
// A reset counts as one under load if at least half of the limit were in flight and a request
// that was in flight at that moment begins to be answered later. A crash or a broken link resets all of them.
// It doesn't count if many requests that began with as many in flight were answered before it.
type Room struct {
	announced int
	// learned is the learned limit, 0 for none.
	learned  int
	inFlight int
	// began counts the requests that have begun.
	began uint64
	// suspected is the number of requests in flight at the last reset that is not confirmed, and
	// suspectedAt is began at that time; 0 for none.
	suspected   int
	suspectedAt uint64
	// olderInFlight is how many of the requests up to suspectedAt are still in flight.
	olderInFlight int
	// carried counts recent answers by the number of requests in flight when the request began.
	carried   []int
	probing   bool
	nextProbe time.Time
	probeWait time.Duration
	answered  int
}

// Run is one request in flight.
type Run struct {
	number uint64
	probe  bool
	// inFlight is the number of requests in flight when it began, with itself.
	inFlight int
}

// Announce sets the number of slots that the target announces.
func (r *Room) Announce(slots int) { r.announced = slots }

// Restart forgets what was learned, for a new start of the target. The requests in flight stay.
func (r *Room) Restart() {
	*r = Room{announced: r.announced, inFlight: r.inFlight, began: r.began}
}

// Limit returns the number of requests that the target may run. While a reset is not confirmed, it is
// less than were in flight at that time.
func (r *Room) Limit() int {
	limit := r.Known()
	if r.suspected > 0 {
		limit = max(1, min(limit, r.suspected-1))
	}
	return limit
}

// Known returns the limit without regard to a reset that is not confirmed.
func (r *Room) Known() int {
	if r.learned == 0 {
		return r.announced
	}
	return min(r.learned, r.announced)
}

// IsProbeDue reports whether a repeatable request may run beyond the limit, as a probe.
func (r *Room) IsProbeDue(now time.Time) bool {
	return r.suspected == 0 && r.Limit() < r.announced && !r.probing && r.inFlight >= r.Limit() && !now.Before(r.nextProbe)
}

// Begin counts a request that is sent to the target. It is a probe if mayProbe is set and it exceeds
// the limit.
func (r *Room) Begin(mayProbe bool) Run {
	r.began++
	r.inFlight++
	run := Run{number: r.began, probe: mayProbe && r.inFlight > r.Limit() && !r.probing, inFlight: r.inFlight}
	r.probing = r.probing || run.probe
	return run
}

// Responding records that the answer to a request begins to arrive, which confirms a reset that came
// after the request.
func (r *Room) Responding(now time.Time, run Run) {
	if r.suspectedAt > 0 && run.number <= r.suspectedAt {
		r.confirm(now)
	}
}

// Answered ends a request whose answer has begun to arrive.
func (r *Room) Answered(now time.Time, run Run) {
	r.end(run)
	r.carry(run.inFlight)
	if !run.probe {
		return
	}
	r.nextProbe = now.Add(probeGap)
	if r.answered++; r.answered >= probesPerStep {
		r.answered, r.probeWait = 0, minProbeWait
		r.learned = min(r.learned+1, r.announced)
		r.nextProbe = now.Add(r.probeWait)
	}
}

// carry counts an answer to a request that began with that many in flight.
func (r *Room) carry(inFlight int) {
	for len(r.carried) <= inFlight {
		r.carried = append(r.carried, 0)
	}
	r.carried[inFlight] = min(r.carried[inFlight]+1, maxCarried)
}

// hasCarried reports whether the target has recently answered enough requests that began with at least
// that many in flight. Each time it has, half of the answers are forgotten, so that a target that now
// resets at fewer is detected after a few resets.
func (r *Room) hasCarried(inFlight int) bool {
	answers := 0
	for _, count := range r.carried[min(inFlight, len(r.carried)):] {
		answers += count
	}
	if answers < minCarried {
		return false
	}
	for at := range r.carried {
		r.carried[at] /= 2
	}
	return true
}

// confirm lowers the limit after a reset under load.
func (r *Room) confirm(now time.Time) {
	r.learned = max(1, min(int(cutFactor*float64(r.suspected)), r.suspected-1))
	r.suspected, r.suspectedAt = 0, 0
	r.answered, r.probeWait = 0, minProbeWait
	r.nextProbe = now.Add(r.probeWait)
}

// Reset ends a request whose connection the target reset, and reports whether that is known to be
// due to its load. Requests that a crash has ended are given to Abandoned.
func (r *Room) Reset(now time.Time, run Run) (underLoad bool) {
	inFlight, wasSuspected := r.inFlight, r.suspected > 0
	r.end(run)
	if run.probe {
		r.answered = 0
		r.probeWait = min(2*r.probeWait, maxProbeWait)
		r.nextProbe = now.Add(r.probeWait)
		return true
	}
	if inFlight < max(2, (r.Known()+1)/2) {
		return false
	}
	switch {
	case r.suspected > 0:
		// Of several that are reset together, the last shows how many the target keeps.
		r.suspected = min(r.suspected, inFlight)
	case wasSuspected:
		// This was the last request that could confirm it.
	case inFlight <= r.Known():
		// More than the limit are in flight after a cut only, which has taken them into account.
		if r.hasCarried(inFlight) {
			return false
		}
		r.suspected, r.suspectedAt, r.olderInFlight = inFlight, r.began, r.inFlight
	}
	return r.learned > 0
}

// Shed ends a request that the target refused without running it.
func (r *Room) Shed(now time.Time, run Run) {
	if run.probe {
		r.Reset(now, run)
		return
	}
	r.end(run)
}

// Abandoned ends a request that was neither answered nor reset.
func (r *Room) Abandoned(run Run) { r.end(run) }

func (r *Room) end(run Run) {
	r.inFlight--
	if run.number <= r.suspectedAt {
		r.olderInFlight--
		if r.olderInFlight == 0 {
			// Nothing can confirm it any more.
			r.suspected, r.suspectedAt = 0, 0
		}
	}
	if run.probe {
		r.probing = false
	}
}
