package bfrollout

import (
	"fmt"
	"time"
)

// Action is what a node does next for a roll-out. It is one of Wait, Verify, Condemn, Clear and
// WriteStatus.
type Action interface{ action() }

// Wait means that nothing is due.
type Wait struct{}

// Verify means that the status row has to be read, since the order may have ended.
type Verify struct{}

// Condemn means that the new version must receive no more requests.
type Condemn struct{ Reason string }

// Clear means that the traffic may be moved to the new version.
type Clear struct{}

// WriteStatus means that the status row has to state a state.
type WriteStatus struct{ State State }

func (Wait) action()        {}
func (Verify) action()      {}
func (Condemn) action()     {}
func (Clear) action()       {}
func (WriteStatus) action() {}

// Capacity is the number of slots of the targets of each version, and the number of the new ones.
type Capacity struct{ Old, New, NewTargets int }

const (
	// minCapacity is the least capacity of the new version, as a share of the old one's, with which
	// it takes over the traffic.
	minCapacity = 0.8
	// minTrials is the number of requests that a version must have received to be found good, and
	// minTrialShare the share of what it could have received at most, for a service with few.
	minTrials     = 20
	minTrialShare = 0.25
)

// Next decides what is due. isJudge is set on the nodes that receive the counts of all entries.
func (r *Rollout) Next(now time.Time, isJudge bool, capacity Capacity) Action {
	record, elapsed := r.record, now.Sub(r.began)
	switch {
	case record.State == Unverified:
		return Verify{}
	case record.State.IsFinal():
		return Wait{}
	case record.Condemned:
		return WriteStatus{RolledBack}
	}
	if finding, ok := r.ledger.Judge(capacity.NewTargets); ok {
		return Condemn{Reason: finding.String()}
	}
	if !record.Cleared && isJudge && elapsed >= r.schedule.clearAt() {
		missing := r.missing(capacity)
		if missing == "" {
			return Clear{}
		}
		if elapsed >= r.schedule.duration {
			return Condemn{Reason: missing}
		}
	}
	switch {
	case record.Cleared && elapsed >= r.schedule.completeAt():
		return WriteStatus{Completed}
	case record.State == Ordered:
		return WriteStatus{Running}
	}
	return Wait{}
}

// missing says what the new version lacks to take over the traffic, "" if nothing.
func (r *Rollout) missing(capacity Capacity) string {
	if capacity.New == 0 || float64(capacity.New) < minCapacity*float64(capacity.Old) {
		return fmt.Sprintf("the new version has %d slots beside %d of the old one", capacity.New, capacity.Old)
	}
	if finding, ok := r.ledger.Suspects(capacity.NewTargets); ok {
		return "suspected: " + finding.String()
	}
	old, renewed := r.ledger.Totals()
	needed := min(minTrials, minTrialShare*steadyShare*r.schedule.terms.Share*float64(old))
	if float64(renewed) < needed {
		return fmt.Sprintf("the new version received %d requests beside %d of the old one, too few to compare them", renewed, old)
	}
	return ""
}
