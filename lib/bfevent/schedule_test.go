package bfevent

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bilberryflow.org/lib/bfconfig"
)

// TestMain fixes rapid's seed so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var base = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

func build(t interface{ Fatal(...any) }, objects ...bfconfig.Object) *bfconfig.State {
	ops := make([]bfconfig.Op, 0, len(objects))
	for _, object := range objects {
		ops = append(ops, bfconfig.Put{Object: object})
	}
	state, _, err := bfconfig.Empty().Propose(bfconfig.NewChange("c", "author", base, ops))
	if err != nil {
		t.Fatal(err)
	}
	return state
}

func policy(name string, queue int, idempotent bool) bfconfig.PolicySpec {
	return bfconfig.PolicySpec{
		Name: name, Class: name, Deadline: time.Second, Queue: queue, Idempotent: idempotent, DurableKeys: !idempotent,
	}
}

// Compares the schedule, second by second, with a naive scan over all events.
func TestScheduleAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		objects := []bfconfig.Object{policy("usual", 1, true), policy("rush", 2, false)}
		for r := range 3 {
			name := fmt.Sprintf("r%d", r)
			objects = append(objects, bfconfig.ServiceSpec{Name: "s-" + name},
				bfconfig.RouteSpec{Name: name, Prefix: "/" + name, Service: "s-" + name, Policy: "usual"})
		}
		// Events of one route don't overlap; some follow each other without a gap.
		var events []bfconfig.EventSpec
		ends := []int{20, 20, 20}
		for e := range rapid.IntRange(0, 8).Draw(t, "events") {
			r := rapid.IntRange(0, 2).Draw(t, "route")
			start := ends[r] + rapid.IntRange(0, 5).Draw(t, "gap")
			ends[r] = start + rapid.IntRange(1, 9).Draw(t, "length")
			events = append(events, bfconfig.EventSpec{
				Name: fmt.Sprintf("e%d", e), Start: base.Add(time.Duration(start) * time.Second),
				End:       base.Add(time.Duration(ends[r]) * time.Second),
				WarmUp:    time.Duration(rapid.IntRange(0, 15).Draw(t, "warmUp")) * time.Second,
				Overrides: []bfconfig.Override{{Route: fmt.Sprintf("r%d", r), Policy: "rush"}},
			})
			objects = append(objects, events[e])
		}
		schedule, err := NewSchedule(build(t, objects...))
		if err != nil {
			t.Fatal(err)
		}
		var before string
		now := base.Add(-time.Second)
		expected, more := schedule.NextEdge(now)
		for range 200 {
			answers := fmt.Sprint(naiveAnswers(events, now))
			if got := fmt.Sprint(realAnswers(schedule, now)); got != answers {
				t.Fatalf("at %v got %s, naive %s", now, got, answers)
			}
			if before != "" && answers != before && (!more || !now.Equal(expected)) {
				t.Fatalf("answers changed at %v, NextEdge returned %v %v", now, expected, more)
			}
			before = answers
			expected, more = schedule.NextEdge(now)
			now = now.Add(time.Second)
		}
	})
}

func naiveAnswers(events []bfconfig.EventSpec, now time.Time) (answers, warm []string) {
	for r := range 3 {
		name, answer := fmt.Sprintf("r%d", r), "usual"
		for _, e := range events {
			if e.Overrides[0].Route != name {
				continue
			}
			if !now.Before(e.Start) && now.Before(e.End) {
				answer = "rush by " + e.Name
			}
			if !now.Before(e.Start.Add(-e.WarmUp)) && now.Before(e.Start) && !slices.Contains(warm, "s-"+name) {
				warm = append(warm, "s-"+name)
			}
		}
		answers = append(answers, answer)
	}
	return answers, warm
}

func realAnswers(schedule *Schedule, now time.Time) (answers, warm []string) {
	for r := range 3 {
		decision, _ := schedule.InForce(fmt.Sprintf("r%d", r), now)
		answer := decision.Policy().Name
		if decision.Event() != "" {
			answer += " by " + decision.Event()
		}
		answers = append(answers, answer)
	}
	return answers, schedule.WarmUps(now)
}

// Guards against a request that is treated by two policies around the start of an event, while
// the clocks of its entry node and its target's node differ by up to MaxClockError.
func TestTreatmentFollowsTheEntryNodeAroundAnEventStart(t *testing.T) {
	is := is.New(t)
	start := base.Add(time.Minute)
	schedule, err := NewSchedule(build(t,
		policy("usual", 100, true), policy("rush", 5, false), bfconfig.ServiceSpec{Name: "portal-core"},
		bfconfig.RouteSpec{Name: "approvals", Prefix: "/approvals", Service: "portal-core", Policy: "usual"},
		bfconfig.EventSpec{
			Name: "deadline", Start: start, End: start.Add(time.Hour),
			Overrides: []bfconfig.Override{{Route: "approvals", Policy: "rush"}},
		}))
	is.NoErr(err)
	split := 0
	for offset := -3 * time.Second; offset <= 3*time.Second; offset += 100 * time.Millisecond {
		for _, skew := range []time.Duration{-MaxClockError, 0, MaxClockError} {
			entered := start.Add(offset)
			decision, _ := schedule.InForce("approvals", entered)
			stamp := decision.Stamp()
			limits, err := schedule.Reconcile(stamp, "approvals", entered.Add(skew))
			is.NoErr(err) // no skew is reported within MaxClockError
			is.Equal(stamp.DurableKeys, !entered.Before(start))
			is.Equal(stamp.Idempotent, entered.Before(start))
			atTarget := map[bool]int{true: 100, false: 5}[entered.Add(skew).Before(start)]
			is.Equal(limits.Queue(), atTarget) // the limits are those of the target's node
			if (limits.Queue() == 5) != stamp.DurableKeys {
				split++
				is.True(offset.Abs() <= MaxClockError)
			}
		}
	}
	is.Equal(split, 20) // the nodes disagree in ten steps on each side of the start
	decision, _ := schedule.InForce("approvals", start)
	_, err = schedule.Reconcile(decision.Stamp(), "approvals", start.Add(-MaxClockError-time.Millisecond))
	var skewed *SkewError
	is.True(errors.As(err, &skewed))
	limits, err := schedule.Reconcile(decision.Stamp(), "unheard-of", start)
	is.NoErr(err)
	is.Equal(limits, Limits{class: "rush"})
}
