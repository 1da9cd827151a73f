package bflifecycle

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A target that restarts under the same name starts with a new sequence and a clean state.
// Delayed heartbeats and departures of the earlier start have no effect.
func TestTargetRestartsUnderTheSameName(t *testing.T) {
	beat := func(started int64, sequence int64, state State) Heartbeat {
		return Heartbeat{Incarnation: "a", Started: time.UnixMilli(started), Sequence: sequence, Service: "portal", State: state, Slots: 2, Address: "h:1"}
	}
	now := time.UnixMilli(50_000)
	for _, first := range []func(*Tracker){
		func(tr *Tracker) { tr.ApplyHeartbeat(beat(1000, 40, Ready), now) },
		func(tr *Tracker) { tr.ApplyHeartbeat(beat(1000, 40, Draining), now) },
		func(tr *Tracker) {
			tr.ApplyHeartbeat(beat(1000, 40, Ready), now)
			tr.ApplyDeparture(Departure{Incarnation: "a"}, now)
		},
		func(tr *Tracker) {
			tr.ApplyDeparture(Departure{Incarnation: "a", Started: time.UnixMilli(1000)}, now)
		},
		func(*Tracker) {}, // the node has restarted too
	} {
		is := is.New(t)
		tr := NewTracker("portal")
		first(tr)
		is.True(tr.ApplyHeartbeat(beat(9000, 1, Ready), now))
		is.True(tr.current.acceptsWork)
		is.True(!tr.ApplyHeartbeat(beat(1000, 41, Draining), now))
		is.True(!tr.ApplyDeparture(Departure{Incarnation: "a", Started: time.UnixMilli(1000)}, now))
		is.True(tr.current.acceptsWork)
		is.Equal(tr.current.heartbeat.Sequence, int64(1))
		is.True(tr.ApplyDeparture(Departure{Incarnation: "a", Started: time.UnixMilli(9000)}, now))
		is.True(!tr.ApplyHeartbeat(beat(9000, 2, Ready), now)) // the departure is final
	}
}

// A departure that arrives before any heartbeat blocks delayed heartbeats of that start,
// but not those of a later start.
func TestDepartureOfAnUnknownStart(t *testing.T) {
	is := is.New(t)
	tr, now := NewTracker("portal"), time.UnixMilli(50_000)
	tr.ApplyDeparture(Departure{Incarnation: "a"}, now)
	late := Heartbeat{Incarnation: "a", Started: time.UnixMilli(1000), Sequence: 7, Service: "portal", State: Ready, Slots: 2}
	is.True(!tr.ApplyHeartbeat(late, now))
	again := late
	again.Started, again.Sequence = time.UnixMilli(53_000), 1
	is.True(tr.ApplyHeartbeat(again, now.Add(4*time.Second)))
}

// A restored view expires shortly after the heartbeat interval. Guards against sending to a
// target that crashed or drained while its node was down.
func TestRestoredTargetExpires(t *testing.T) {
	is := is.New(t)
	tr := NewTracker("portal")
	now := time.Unix(100, 0)
	is.True(tr.Restore(Heartbeat{Incarnation: "a", Service: "portal", Slots: 2}, now))
	is.True(!tr.current.IsStale(now.Add(1500 * time.Millisecond)))
	is.True(tr.current.IsStale(now.Add(provisionalTTL + time.Millisecond)))
	is.True(!tr.Restore(Heartbeat{Incarnation: "a", Service: "portal", Slots: 2}, now)) // only once
	is.True(!NewTracker("vault").Restore(Heartbeat{Incarnation: "a", Service: "portal"}, now))
}

// Guards against a departure that is acknowledged and has no effect (DRAIN): a target that starts again under its
// name after its clock was set back was taken for outdated for good.
func TestTargetRestartsAfterItsClockWasSetBack(t *testing.T) {
	beat := func(started int64, sequence int64, state State) Heartbeat {
		return Heartbeat{Incarnation: "a", Started: time.UnixMilli(started), Sequence: sequence, Service: "portal", State: state, Slots: 2, Address: "h:1"}
	}
	is := is.New(t)
	tr, now := NewTracker("portal"), time.UnixMilli(50_000)
	tr.ApplyHeartbeat(beat(9000, 40, Ready), now)
	now = now.Add(takeoverDelay - 1)
	is.Equal(tr.Rejection(beat(8500, 1, Ready), now), Outdated) // it may be an earlier start's
	var unapplied *UnappliedError
	is.True(!tr.ApplyHeartbeat(beat(8000, 9, Draining), now))
	is.True(errors.As(tr.CheckDeparture("a"), &unapplied)) // so that it is not acknowledged
	is.NoErr(tr.CheckDeparture("b"))
	now = now.Add(1)
	is.True(tr.ApplyHeartbeat(beat(8500, 2, Ready), now))
	is.True(tr.current.acceptsWork)
	is.True(tr.ApplyHeartbeat(beat(8500, 3, Draining), now.Add(time.Second)))
	is.True(!tr.current.acceptsWork)
	is.NoErr(tr.CheckDeparture("a"))
	is.Equal(tr.Rejection(beat(8500, 4, Ready), now), Departed)
}

// Guards against waiting for the heartbeats of a start that has crashed.
func TestTargetRestartsAfterACrashAndItsClockWasSetBack(t *testing.T) {
	is := is.New(t)
	tr, now := NewTracker("portal"), time.UnixMilli(50_000)
	first := Heartbeat{Incarnation: "a", Started: time.UnixMilli(9000), Sequence: 40, Service: "portal", State: Ready, Slots: 2, Address: "h:1"}
	tr.ApplyHeartbeat(first, now)
	tr.Crash(first)
	second := first
	second.Started, second.Sequence = time.UnixMilli(8500), 1
	is.True(tr.ApplyHeartbeat(second, now))
	is.Equal(tr.current.Started(), second.Started)
}
