package bffleet

import (
	"math"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfshare"
)

// Target is one member's target as requests are sent to it.
//
// All methods may be called by many goroutines at once.
type Target struct {
	member   Member
	inFlight atomic.Int32
	// told is the load that its node last told.
	told atomic.Pointer[toldLoad]
	// backlog is how busy its node's link was when it last told.
	backlog atomic.Pointer[toldBacklog]
	// away is how the target is set aside, nil while it takes work.
	away atomic.Pointer[absence]
	// failing is the share of recent answers that were failures.
	failing bfshare.Share
	// judged is when the last answer was counted, in nanoseconds since 1970.
	judged atomic.Int64
	// track is how the target fares by its node's word.
	track atomic.Pointer[toldTrack]
	// slowness is how long the target takes, in 1/65536 of the mean of its service.
	slowness atomic.Uint32
	// probing says that the target's node is being looked for, and that no request
	// goes there until it is found.
	probing atomic.Bool
	// probed is when the target was last chosen for want of news, in nanoseconds since 1970.
	probed atomic.Int64
}

// toldLoad is a target's load at one moment.
type toldLoad struct {
	used, slots int
	// own is how many of this node's requests were there when it was told.
	own  int
	when time.Time
}

// toldBacklog is how long a node's link takes for its long answers, at one moment.
type toldBacklog struct {
	length time.Duration
	when   time.Time
}

// ToldBacklog takes the backlog of the node's link that came with an answer.
func (t *Target) ToldBacklog(length time.Duration, now time.Time) {
	if length > 0 || t.backlog.Load() != nil {
		t.backlog.Store(&toldBacklog{length, now})
	}
}

// linkWait is how long a long answer is expected to wait for the node's link, by
// what was told and has drained since.
func (t *Target) linkWait(now time.Time) time.Duration {
	told := t.backlog.Load()
	if told == nil {
		return 0
	}
	return max(told.length-now.Sub(told.when), 0)
}

// toldTrack is the share of requests that a target fails, as its node told it.
type toldTrack struct {
	failing float64
	when    time.Time
}

// absence is a time during which a target gets no requests.
type absence struct {
	until  time.Time
	length time.Duration
}

// Member is who the target is.
func (t *Target) Member() Member { return t.member }

// Begin counts a request that is sent to the target; End must follow.
func (t *Target) Begin() { t.inFlight.Add(1) }

// End takes back a Begin.
func (t *Target) End() { t.inFlight.Add(-1) }

// Told takes the load that came with an answer.
func (t *Target) Told(used, slots int, now time.Time) {
	t.told.Store(&toldLoad{used: used, slots: slots, own: int(t.inFlight.Load()), when: now})
}

const (
	// firstAbsence is how long a target is passed over after it first refused
	// for a reason other than want of slots; about two exchanges between zones.
	firstAbsence = 100 * time.Millisecond
	// lastAbsence bounds the doubling: a target that takes work again is found
	// within about that time.
	lastAbsence = 1500 * time.Millisecond
)

// SetAside passes the target over for a while, longer each time in a row, and
// gives how long; 0 means that it is passed over already.
func (t *Target) SetAside(now time.Time) time.Duration {
	length := firstAbsence
	if before := t.away.Load(); before != nil {
		if now.Before(before.until) {
			return 0
		}
		length = min(2*before.length, lastAbsence)
	}
	t.away.Store(&absence{until: now.Add(length), length: length})
	return length
}

// Present ends an absence: the target's node has taken a request.
func (t *Target) Present() {
	if t.away.Load() != nil {
		t.away.Store(nil)
	}
}

// LookFor has the target get no requests until Found, and reports whether nobody
// looks for it yet.
//
// A request that is sent to find out whether a lost machine is back waits for a
// connection that nobody takes: a nested call is late then, and its parent fails.
func (t *Target) LookFor() bool { return t.probing.CompareAndSwap(false, true) }

// Found ends LookFor: the target's node takes connections.
func (t *Target) Found() {
	t.Present()
	t.probing.Store(false)
}

// aside reports whether the target is passed over for a while.
func (t *Target) aside(now time.Time) bool {
	away := t.away.Load()
	return away != nil && now.Before(away.until)
}

// whole is 1 in the unit in which slowness is held.
const whole = 1 << 16

// Judge counts an answer as a success or a failure of the target's own.
func (t *Target) Judge(failed bool, now time.Time) {
	t.judged.Store(now.UnixNano())
	t.failing.Note(failed)
}

// pardon is how fast failures lose their weight while no answer comes. A target
// that is passed over for its failures would else never show that it works again.
const pardon = 3 * time.Second

// failure is the share of failures that the target is believed to answer with: what
// this node saw, connections that broke included, or what the target's node told.
func (t *Target) failure(now time.Time) float64 {
	// The time of day may have jumped back since.
	age := max(now.UnixNano()-t.judged.Load(), 0)
	seen := t.failing.Value() * math.Exp(-float64(age)/float64(pardon))
	told := t.track.Load()
	if told == nil {
		return seen
	}
	return max(seen, told.failing*math.Exp(-float64(now.Sub(told.when))/float64(pardon)))
}

// ToldTrack takes how the target fares by its node's word: the share of requests
// that it fails, and its time over the mean of its service, 0 where that is unknown.
func (t *Target) ToldTrack(failing, slowness float64, now time.Time) {
	t.track.Store(&toldTrack{failing: failing, when: now})
	if slowness > 0 {
		t.slowness.Store(uint32(min(slowness, maxSlowness) * whole))
	}
}

// maxSlowness bounds what a target's slowness counts.
const maxSlowness = 4

// slow is the target's time over the mean of its service.
func (t *Target) slow() float64 {
	ratio := t.slowness.Load()
	if ratio == 0 {
		return 1
	}
	return float64(ratio) / whole
}

// forgetting is how fast a told load loses its weight.
const forgetting = 500 * time.Millisecond

// load is the share of the target's slots that are believed in use, with one more request.
func (t *Target) load(now time.Time) float64 {
	own := float64(t.inFlight.Load())
	slots := float64(max(t.member.Slots, 1))
	used := own
	if told := t.told.Load(); told != nil {
		slots = float64(max(told.slots, 1))
		others := float64(told.used - told.own)
		used = max(own+others*math.Exp(-float64(now.Sub(told.when))/float64(forgetting)), 0)
	}
	return (used + 1) / slots
}
