package bfevent

import (
	"fmt"
	"time"

	"bilberryflow.org/lib/bfconfig"
)

// Decision is the policy one node found in force for a request.
type Decision struct {
	policy  bfconfig.PolicySpec
	version bfconfig.Version
	event   string
	edge    time.Time
	at      time.Time
}

// Policy is the policy in force.
func (d Decision) Policy() bfconfig.PolicySpec { return d.policy }

// Version is the version the decision was made by.
func (d Decision) Version() bfconfig.Version { return d.version }

// Event names the event that put the policy in force, empty for the route's own policy.
func (d Decision) Event() string { return d.event }

// Edge is the start or end of an event that last changed the route's policy, zero if none has.
func (d Decision) Edge() time.Time { return d.edge }

// Stamp is the decision as it travels with the request.
func (d Decision) Stamp() Stamp {
	return Stamp{
		Policy: d.policy.Name, Version: d.version, Event: d.event, Edge: d.edge, At: d.at,
		Class: d.policy.Class, Idempotent: d.policy.Idempotent, DurableKeys: d.policy.DurableKeys,
	}
}

// Stamp is the entry node's decision on a request, which every later node keeps to.
//
// It carries the treatment itself beside the policy's name, since the target's
// node may hold a version in which that name means something else or nothing.
type Stamp struct {
	Policy      string           `json:"policy"`
	Version     bfconfig.Version `json:"version"`
	Event       string           `json:"event,omitempty"`
	Edge        time.Time        `json:"edge,omitzero"`
	At          time.Time        `json:"at"`
	Class       string           `json:"class"`
	Idempotent  bool             `json:"idempotent,omitempty"`
	DurableKeys bool             `json:"durableKeys,omitempty"`
}

// Limits are the admission limits of the target's node for a request.
type Limits struct {
	class       string
	priority    int
	queue       int
	concurrency int
	tenantLimit int
}

// Class is the class in which the request takes its place at the target.
func (l Limits) Class() string { return l.class }

// Priority orders the class at a full target.
func (l Limits) Priority() int { return l.priority }

// Queue is how many of the class may wait.
func (l Limits) Queue() int { return l.queue }

// Concurrency caps the class's slots; 0 means no cap.
func (l Limits) Concurrency() int { return l.concurrency }

// TenantLimit caps one tenant's slots; 0 means no cap.
func (l Limits) TenantLimit() int { return l.tenantLimit }

// SkewError reports a request stamped further in the future than MaxClockError explains.
type SkewError struct {
	Stamped, Now time.Time
}

// Error gives both times.
func (e *SkewError) Error() string {
	return fmt.Sprintf("request stamped %v ahead of this node's clock, more than %v",
		e.Stamped.Sub(e.Now), MaxClockError)
}

// Reconcile gives the limits under which the target's node admits a stamped request.
//
// They are those of the policy in force here and now, so that all requests of
// a route meet one set of limits. A node that does not know the route yet lets
// it run on a free slot but not wait. The treatment stays the stamp's in every
// case: were a node with a slower clock to apply its own, a request entered as
// idempotent could be refused for want of a key, or one that was promised a
// key could run without a claim. The error is a report of a bad clock only; the
// limits hold beside it, since refusing would turn a clock fault into an outage.
func (s *Schedule) Reconcile(stamp Stamp, route string, now time.Time) (Limits, error) {
	limits := Limits{class: stamp.Class}
	if decision, found := s.InForce(route, now); found {
		limits = limitsOf(decision.policy)
	}
	if stamp.At.Sub(now) > MaxClockError {
		return limits, &SkewError{Stamped: stamp.At, Now: now}
	}
	return limits, nil
}

func limitsOf(policy bfconfig.PolicySpec) Limits {
	return Limits{
		class: policy.Class, priority: policy.Priority, queue: policy.Queue,
		concurrency: policy.Concurrency, tenantLimit: policy.TenantLimit,
	}
}
