package bfrollout

import "time"

// Rollout is the newest roll-out of a service with this node's counts. Its record is immutable.
type Rollout struct {
	record    Record
	began     time.Time
	schedule  schedule
	allotment *Allotment
	tally     *Tally
	ledger    *Ledger
}

// Order returns the operator's order.
func (r *Rollout) Order() Order { return r.record.Order }

// Record returns the record as of now.
func (r *Rollout) Record(now time.Time) Record {
	record := r.record
	record.Elapsed = max(now.Sub(r.began), 0)
	return record
}

// Ledger returns the counts that this node has received.
func (r *Rollout) Ledger() *Ledger { return r.ledger }

// Tally returns this node's own counts.
func (r *Rollout) Tally() *Tally { return r.tally }

// Selection says which targets a request may be sent to: those of the version, those of the other
// ones, or all. It is one of All, Old and New.
type Selection interface{ selection() }

// All selects the targets of all versions.
type All struct{}

// Old selects the targets of all versions but one.
type Old struct {
	Version string
	// OrAny allows all targets if there is no other.
	OrAny bool
}

// New selects the targets of one version.
type New struct {
	Version string
	// Granted is set if the request counts against the allotment. If it reaches no target, Return
	// must be called, and the request may be sent to the other versions.
	Granted bool
	// Tried limits the targets to a window in their order, nil for no limit.
	Tried func(targets int) (first, count int)
}

func (All) selection() {}
func (Old) selection() {}
func (New) selection() {}

// Select decides to which version a request of a route is sent next. again is set if the request
// was sent to the new version before.
func (r *Rollout) Select(route string, now time.Time, again bool) Selection {
	version, elapsed := r.record.Order.Version, now.Sub(r.began)
	switch {
	case r.record.State == Completed:
		return New{Version: version}
	case r.record.withdrawn():
		return Old{Version: version}
	case r.record.State == Unverified:
		return Old{Version: version, OrAny: true}
	case r.record.Cleared && elapsed >= r.schedule.duration:
		return New{Version: version}
	case r.record.Cleared && elapsed >= r.schedule.moveAt():
		if r.allotment.Take(route, true) {
			return New{Version: version, Granted: true}
		}
	case !again && r.allotment.Take(route, false):
		return New{Version: version, Granted: true, Tried: func(targets int) (int, int) { return r.schedule.tried(elapsed, targets) }}
	}
	return Old{Version: version}
}

// Return takes back a request that was granted and reached no target.
func (r *Rollout) Return(route string) { r.allotment.Return(route) }

// Note counts a request that reached a target of a version.
func (r *Rollout) Note(route, target, version string, now time.Time, o Outcome) {
	if r.record.State.IsFinal() {
		return
	}
	elapsed := now.Sub(r.began)
	r.allotment.Reached(r.schedule.maxShare(), r.schedule.share(elapsed))
	if version != r.record.Order.Version {
		target = ""
	}
	r.tally.Note(int(elapsed/r.schedule.bucketLength()), route, target, o)
}
