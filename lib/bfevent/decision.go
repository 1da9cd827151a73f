package bfevent

import (
	"fmt"
	"time"

	"bilberryflow.org/lib/bfconfig"
)

// Decision is the policy that a node determined for a request.
type Decision struct {
	policy  bfconfig.PolicySpec
	version bfconfig.Version
	event   string
	edge    time.Time
	at      time.Time
}

// Policy is the policy in force.
func (d Decision) Policy() bfconfig.PolicySpec { return d.policy }

// Version is the configuration version the decision is based on.
func (d Decision) Version() bfconfig.Version { return d.version }

// Event names the event whose override applies; empty for the route's own policy.
func (d Decision) Event() string { return d.event }

// Edge is when an event last started or ended for the route; zero if none has.
func (d Decision) Edge() time.Time { return d.edge }

// Stamp returns the decision in the form that is sent with the request.
func (d Decision) Stamp() Stamp {
	return Stamp{
		Policy: d.policy.Name, Version: d.version, Event: d.event, Edge: d.edge, At: d.at,
		Class: d.policy.Class, Idempotent: d.policy.Idempotent, DurableKeys: d.policy.DurableKeys,
	}
}

// Stamp is the entry node's decision on a request, which is binding for every later node.
//
// It carries the treatment in addition to the policy's name, since the target's node may hold
// a version in which that name is defined differently or not at all.
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

// Limits are the admission limits that the target's node applies to a request.
type Limits struct {
	class       string
	priority    int
	queue       int
	concurrency int
	tenantLimit int
}

// Class is the class in which the request is admitted at the target.
func (l Limits) Class() string { return l.class }

// Priority is the class's precedence at a full target.
func (l Limits) Priority() int { return l.priority }

// Queue is the number of requests of the class that may wait.
func (l Limits) Queue() int { return l.queue }

// Concurrency is the maximum number of slots of the class; 0 means unlimited.
func (l Limits) Concurrency() int { return l.concurrency }

// TenantLimit is the maximum number of slots of one tenant; 0 means unlimited.
func (l Limits) TenantLimit() int { return l.tenantLimit }

// SkewError reports a request stamped more than MaxClockError in the future.
type SkewError struct {
	Stamped, Now time.Time
}

// Error states by how much the stamp is ahead.
func (e *SkewError) Error() string {
	return fmt.Sprintf("request stamped %v ahead of this node's clock, more than %v",
		e.Stamped.Sub(e.Now), MaxClockError)
}

// Reconcile returns the limits under which the target's node admits a stamped request.
//
// The limits are those of the policy that this node's schedule has at now, so that the same
// limits apply to all requests of a route. If the node doesn't have the route yet, the
// request may use a free slot but not wait for one. The treatment is always that of the
// stamp: if a node with a slower clock applied its own, a request that entered as idempotent
// could be refused for lack of a key, or one that needs a claimed key could run without it.
// A SkewError only reports clock skew; the returned limits are valid, since refusing the
// request would turn a clock fault into an outage.
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
