package bffleet

import (
	"math"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfshare"
)

// Target is one member's target, with its observed load and health.
//
// It is safe for concurrent use.
type Target struct {
	member Member
	// start is what is known of this start of the target, also across changes of the member.
	start    *startState
	inFlight atomic.Int32
	// lastLoad is the last reported load, nil before the first report.
	lastLoad atomic.Pointer[loadReport]
	// backlog is the last reported backlog of the node's link, nil if there was none.
	backlog atomic.Pointer[backlogReport]
	// suspended is the current or last suspension, nil after the target accepted a request.
	suspended atomic.Pointer[suspension]
	// failing is the share of recent answers that were failures.
	failing bfshare.Share
	// countedAt is when the last answer was counted, in Unix nanoseconds.
	countedAt atomic.Int64
	// health is the failure rate that the target's node last reported.
	health atomic.Pointer[healthReport]
	// slowness is the target's run time over the mean of its service, in units of
	// 1/65536; 0 if unknown.
	slowness atomic.Uint32
	// probing is set while the target's node is unreachable and gets no requests.
	probing atomic.Bool
	// respondedAt is when the target's node last responded to this one, nil for never. It keeps the monotonic
	// reading, since the wall clock may jump.
	respondedAt atomic.Pointer[time.Time]
	// chosenAt is when the target was last chosen, in Unix nanoseconds.
	chosenAt atomic.Int64
}

// loadReport is a reported load of a target.
type loadReport struct {
	used, slots int
	// own is the number of this node's requests at the target when it was reported.
	own  int
	when time.Time
}

// backlogReport is the time that a node's link needed for its pending long answers.
type backlogReport struct {
	length time.Duration
	when   time.Time
}

// ReportBacklog records the backlog of the node's link as reported with an answer.
func (t *Target) ReportBacklog(length time.Duration, now time.Time) {
	if length > 0 || t.backlog.Load() != nil {
		t.backlog.Store(&backlogReport{length, now})
	}
}

// linkWait returns the expected time that a long answer waits for the node's link: the
// last report less the time since.
func (t *Target) linkWait(now time.Time) time.Duration {
	report := t.backlog.Load()
	if report == nil {
		return 0
	}
	return max(report.length-now.Sub(report.when), 0)
}

// healthReport is the share of requests that a target fails, as reported by its node.
type healthReport struct {
	failing float64
	when    time.Time
}

// suspension is a period in which a target gets no requests.
type suspension struct {
	until  time.Time
	length time.Duration
}

// Member returns the member that the target belongs to.
func (t *Target) Member() Member { return t.member }

// Begin counts a request sent to the target. End must follow.
func (t *Target) Begin() { t.inFlight.Add(1) }

// End counts a request of Begin as finished.
func (t *Target) End() { t.inFlight.Add(-1) }

// ReportLoad records the load as reported with an answer.
func (t *Target) ReportLoad(used, slots int, now time.Time) {
	t.lastLoad.Store(&loadReport{used: used, slots: slots, own: int(t.inFlight.Load()), when: now})
}

const (
	// minSuspension is the first suspension of a target that refused a request for a
	// reason other than lack of slots: about two round trips between zones.
	minSuspension = 100 * time.Millisecond
	// maxSuspension bounds the doubling, and so the time until a recovered target is
	// used again.
	maxSuspension = 1500 * time.Millisecond
)

// Suspend suspends the target and returns for how long. Each consecutive suspension is
// twice as long as the one before. It returns 0 if the target is suspended already.
func (t *Target) Suspend(now time.Time) time.Duration {
	length := minSuspension
	if before := t.suspended.Load(); before != nil {
		if now.Before(before.until) {
			return 0
		}
		length = min(2*before.length, maxSuspension)
	}
	t.suspended.Store(&suspension{until: now.Add(length), length: length})
	return length
}

// Resume ends a suspension, after the target's node accepted a request.
func (t *Target) Resume() {
	if t.suspended.Load() != nil {
		t.suspended.Store(nil)
	}
}

// StartProbing excludes the target from requests until StopProbing. It reports whether the
// caller should start to probe the target's node, which is false if probing is in progress.
//
// Probes replace requests here, since a request to an unreachable machine waits for its
// connection until it is late, and a late nested call fails its parent.
func (t *Target) StartProbing() bool { return t.probing.CompareAndSwap(false, true) }

// IsProbed reports whether the target is excluded from requests while its node is probed.
func (t *Target) IsProbed() bool { return t.probing.Load() }

// RecordResponse records a response of the target's node, whatever it says.
func (t *Target) RecordResponse(now time.Time) { t.respondedAt.Store(&now) }

// RespondedSince reports whether the target's node has responded to this node since a time.
func (t *Target) RespondedSince(since time.Time) bool {
	responded := t.respondedAt.Load()
	return responded != nil && responded.After(since)
}

// StopProbing makes the target eligible again, after its node answered a probe.
func (t *Target) StopProbing() {
	t.Resume()
	t.probing.Store(false)
}

// isSuspended reports whether the target is suspended.
func (t *Target) isSuspended(now time.Time) bool {
	current := t.suspended.Load()
	return current != nil && now.Before(current.until)
}

// slownessUnit is the fixed-point representation of a slowness of 1.
const slownessUnit = 1 << 16

// RecordResult counts an answer as a success or a failure of the target.
func (t *Target) RecordResult(failed bool, now time.Time) {
	t.countedAt.Store(now.UnixNano())
	t.failing.Note(failed)
}

// failureDecay is the time constant of the failure rate while there are no answers. A
// target that is avoided for its failures would otherwise never be tried again.
const failureDecay = 3 * time.Second

// failureRate returns the estimated share of requests that fail: the higher of what this
// node observed, including broken connections, and what the target's node reported.
func (t *Target) failureRate(now time.Time) float64 {
	// The wall clock may have been set back.
	age := max(now.UnixNano()-t.countedAt.Load(), 0)
	seen := t.failing.Value() * math.Exp(-float64(age)/float64(failureDecay))
	report := t.health.Load()
	if report == nil {
		return seen
	}
	return max(seen, report.failing*math.Exp(-float64(now.Sub(report.when))/float64(failureDecay)))
}

// ReportHealth records the target's health as reported by its node: the share of requests
// that it fails, and its run time over the mean of its service, 0 if unknown.
func (t *Target) ReportHealth(failing, slowness float64, now time.Time) {
	t.health.Store(&healthReport{failing: failing, when: now})
	if slowness > 0 {
		t.slowness.Store(uint32(min(slowness, maxSlowness) * slownessUnit))
	}
}

// maxSlowness bounds the slowness that is recorded.
const maxSlowness = 4

// RelativeRunTime returns the target's run time over the mean of its service.
func (t *Target) RelativeRunTime() float64 {
	ratio := t.slowness.Load()
	if ratio == 0 {
		return 1
	}
	return float64(ratio) / slownessUnit
}

// loadDecay is the time constant with which a load report loses weight.
const loadDecay = 500 * time.Millisecond

// Load returns the estimated share of the target's slots in use, including one more
// request. It exceeds 1 if requests would wait.
func (t *Target) Load(now time.Time) float64 {
	own := float64(t.inFlight.Load())
	slots := float64(max(t.member.Slots, 1))
	used := own
	if report := t.lastLoad.Load(); report != nil {
		slots = float64(max(report.slots, 1))
		others := float64(report.used - report.own)
		used = max(own+others*math.Exp(-float64(now.Sub(report.when))/float64(loadDecay)), 0)
	}
	return (used + 1) / slots
}
