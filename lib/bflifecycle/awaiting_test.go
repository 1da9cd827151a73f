package bflifecycle

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func ready(incarnation string, sequence int64) Heartbeat {
	return Heartbeat{Incarnation: incarnation, Sequence: sequence, Service: "portal", Slots: 2, Address: "h:1", State: Ready}
}

func accepting(tr *Tracker) string {
	if tr.current == nil || !tr.current.acceptsWork {
		return ""
	}
	return tr.current.Incarnation()
}

// Guards against a restarted node that takes one message, which may be late, for a sign of life.
func TestNoStartIsAcceptedBeforeTheDeparturesAreKnown(t *testing.T) {
	is := is.New(t)
	tr, now := NewTracker("portal"), time.Unix(100, 0)
	tr.AwaitDepartures()
	is.True(!tr.Restore(ready("a", 0), now))
	is.Equal(tr.Rejection(ready("a", 4), now), Unconfirmed)
	is.True(!tr.ApplyHeartbeat(ready("a", 4), now))
	is.Equal(accepting(tr), "")
	is.True(tr.LearnDepartures([]Departure{{Incarnation: "a"}}, true, now))
	is.Equal(accepting(tr), "")
	is.Equal(tr.current.Source(), FromRow) // its row is to be removed
	is.Equal(tr.Rejection(ready("a", 5), now), Departed)
	is.True(tr.ApplyHeartbeat(ready("b", 1), now))
	is.Equal(accepting(tr), "b")
}

// Guards against a restart that takes longer than necessary: what arrived meanwhile is applied at once.
func TestHeldMessagesAreAppliedOnceTheDeparturesAreKnown(t *testing.T) {
	for name, c := range map[string]struct {
		row, heartbeat bool
		want           string
		source         Source
	}{
		"row":       {row: true, want: "a", source: FromRow},
		"heartbeat": {heartbeat: true, want: "b", source: FromHeartbeat},
		"both":      {row: true, heartbeat: true, want: "b", source: FromHeartbeat},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tr, now := NewTracker("portal"), time.Unix(100, 0)
			tr.AwaitDepartures()
			if c.row {
				tr.Restore(ready("a", 0), now)
			}
			if c.heartbeat {
				tr.ApplyHeartbeat(ready("b", 3), now)
			}
			is.True(tr.LearnDepartures([]Departure{{Incarnation: "z"}}, true, now))
			is.Equal(accepting(tr), c.want)
			is.Equal(tr.current.Source(), c.source)
		})
	}
}

// Guards against a running target that gets no requests as long as the store can't be read, and against
// delayed heartbeats that are taken for signs of life, however many arrive.
func TestAnswerConfirmsAStartWhileTheDeparturesAreUnknown(t *testing.T) {
	is := is.New(t)
	tr, now := NewTracker("portal"), time.Unix(100, 0)
	tr.AwaitDepartures()
	for sequence := range int64(6) {
		is.True(!tr.ApplyHeartbeat(ready("a", sequence), now.Add(time.Duration(sequence)*1500*time.Millisecond)))
	}
	is.True(!tr.Confirm("b", now.Add(8*time.Second)))
	is.Equal(accepting(tr), "")
	is.True(tr.Confirm("a", now.Add(8*time.Second)))
	is.Equal(accepting(tr), "a")
	is.Equal(tr.current.Sequence(), int64(5))
	is.True(!tr.ApplyHeartbeat(ready("a", 7), now.Add(9*time.Second))) // accepted, no change
	is.Equal(tr.current.Sequence(), int64(7))
	is.True(tr.LearnDepartures([]Departure{{Incarnation: "a"}}, true, now.Add(10*time.Second)))
	is.Equal(accepting(tr), "")
}

// Guards against a start that is confirmed after it has said to this process that it leaves, and against one
// whose heartbeat comes after its answer and is not used.
func TestConfirmationAndReportsInAnyOrder(t *testing.T) {
	is := is.New(t)
	tr, now := NewTracker("portal"), time.Unix(100, 0)
	tr.AwaitDepartures()
	tr.ApplyHeartbeat(ready("a", 1), now)
	tr.ApplyDeparture(Departure{Incarnation: "a"}, now)
	is.True(!tr.Confirm("a", now))
	is.Equal(accepting(tr), "")
	is.True(!tr.Confirm("b", now))
	is.True(tr.ApplyHeartbeat(ready("b", 1), now))
	is.Equal(accepting(tr), "b")
}

// Guards against requests without end for a start that has ended, while the departures can't be read.
func TestStartIsUsedWhileItsHeartbeatsArrive(t *testing.T) {
	is := is.New(t)
	tr, now := NewTracker("portal"), time.Unix(100, 0)
	tr.AwaitDepartures()
	tr.ApplyHeartbeat(ready("a", 4), now)
	is.True(tr.Confirm("a", now))
	is.True(!tr.Current().IsStale(now.Add(provisionalTTL)))
	is.True(tr.Current().IsStale(now.Add(provisionalTTL + time.Millisecond)))
	tr.ApplyHeartbeat(ready("a", 6), now.Add(time.Minute))
	is.True(!tr.Current().IsStale(now.Add(time.Minute)))
	tr.LearnDepartures(nil, true, now.Add(time.Minute))
	is.True(!tr.Current().IsStale(now.Add(time.Hour)))
}

// Guards against heartbeats that confirm a start, its own or another one.
func TestHeartbeatsOfAnotherStartConfirmNothing(t *testing.T) {
	is := is.New(t)
	tr, now := NewTracker("portal"), time.Unix(100, 0)
	tr.AwaitDepartures()
	for at := range 6 {
		is.True(!tr.ApplyHeartbeat(ready([]string{"a", "b"}[at%2], int64(at)), now.Add(time.Duration(at)*time.Second)))
	}
}

// Guards against departures that were lost with a restored store: heartbeats have to confirm their start, but
// not for longer than they are delayed.
func TestIncompleteDeparturesNeedConfirmation(t *testing.T) {
	is := is.New(t)
	tr, now := NewTracker("portal"), time.Unix(100, 0)
	tr.AwaitDepartures()
	tr.Restore(ready("a", 0), now)
	is.True(!tr.LearnDepartures(nil, false, now))
	is.True(!tr.ApplyHeartbeat(ready("a", 1), now))
	is.Equal(accepting(tr), "")
	is.True(tr.ApplyHeartbeat(ready("b", 1), now.Add(maxHeartbeatDelay+time.Millisecond)))
	is.Equal(accepting(tr), "b")
}

// Guards against a draining heartbeat that is acknowledged and ignored since another start is the current one.
func TestDrainingHoldsForAStartThatIsNotCurrent(t *testing.T) {
	is := is.New(t)
	tr, now := NewTracker("portal"), time.Unix(100, 0)
	is.True(tr.ApplyHeartbeat(ready("crashed", 9), now))
	draining := ready("b", 5)
	draining.State = Draining
	is.True(!tr.ApplyHeartbeat(draining, now.Add(time.Second)))
	is.Equal(accepting(tr), "crashed")
	is.True(!tr.ApplyHeartbeat(ready("b", 4), now.Add(takeoverDelay)))
	is.Equal(accepting(tr), "crashed")
	is.Equal(tr.Departures(), []Departure{{Incarnation: "b"}})
	is.True(tr.ApplyHeartbeat(ready("c", 1), now.Add(takeoverDelay)))
	is.Equal(accepting(tr), "c")
}

// Guards against a report that is never acknowledged, since each repetition has to be recorded anew.
func TestRepeatedDepartureOfAnUnknownStartIsRecordedOnce(t *testing.T) {
	is := is.New(t)
	tr, now := NewTracker("portal"), time.Unix(100, 0)
	for repeat := range 5 {
		tr.ApplyDeparture(Departure{Incarnation: "a"}, now.Add(time.Duration(repeat)*time.Second))
	}
	is.Equal(tr.Recorded(), 1)
	is.Equal(len(tr.Departures()), 1)
}

// Guards against a departure that is forgotten because its start was replaced by another one and that one
// left too.
func TestDrainingHoldsAfterOtherStarts(t *testing.T) {
	is := is.New(t)
	tr, now := NewTracker("portal"), time.Unix(100, 0)
	tr.ApplyHeartbeat(ready("a", 1), now)
	draining := ready("a", 5)
	draining.State = Draining
	is.True(tr.ApplyHeartbeat(draining, now))
	is.True(tr.ApplyHeartbeat(ready("b", 1), now)) // late, of a start that has crashed
	is.True(tr.ApplyMisdirected("b", now))
	is.True(!tr.ApplyHeartbeat(ready("a", 4), now))
	is.Equal(accepting(tr), "")
}
