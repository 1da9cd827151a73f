package bfadmit

import (
	"fmt"
	"slices"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Compares the gate with a naive model step by step: both must give the same verdicts to
// the same requests, never use more slots than there are, and change nothing before
// NextWake.
func TestGateAgreesWithNaive(t *testing.T) {
	cases := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.SampledFrom([]int{1, 2, 3, 8}).Draw(t, "slots")
		cold := time.Duration(rapid.IntRange(0, 2).Draw(t, "cold")) * 100 * time.Millisecond
		queue := rapid.SampledFrom([]int{2, 5, 9, 40}).Draw(t, "queue")
		gate := NewGate(Config{Slots: slots, Queue: queue, ColdSince: start, ColdStart: cold})
		naive := &naiveGate{
			capacity: newCapacity(slots, start, cold), maxQueue: queue, limits: map[string]Request{},
			passed: map[string]int{}, turns: map[string]int{}, generations: map[string]int{}, services: map[string]*meter{},
		}
		// In the second mix the lower classes mostly run by their minimum share.
		mixes := [][]int{{0, 1, 2}, {0, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2}}
		classes := rapid.SampledFrom(mixes).Draw(t, "mix")
		now := start
		defer func() { cases["wrapped"] += map[bool]int{true: 1}[naive.wrapped] }()
		for i := range rapid.IntRange(300, 600).Draw(t, "steps") {
			naive.notices = nil
			now = advanceTime(t, gate, now)
			verdicts := step(t, gate, naive, now, i, classes)
			sort.Strings(verdicts)
			sort.Strings(naive.notices)
			if !slices.Equal(verdicts, naive.notices) {
				t.Fatalf("step %d: got verdicts %q, naive model %q", i, verdicts, naive.notices)
			}
			for _, s := range verdicts {
				cases[s[4:]]++
			}
			checkHistory(t, gate)
			load := gate.Load(now)
			waiting := naive.filter(func(j *naiveJob) bool { return !j.running })
			if load.InUse() != naive.running("", "") || load.InUse() > slots || load.Queued() != len(waiting) {
				t.Fatalf("got load %+v, naive model %d running and %d queued", load, naive.running("", ""), len(waiting))
			}
		}
	})
	t.Logf("verdicts: %v", cases)
	for _, verdict := range []string{" runs", " queue full", " deadline can't be met", " displaced", " draining", "wrapped"} {
		if cases[verdict] < 20 {
			t.Errorf("only %[2]d cases of %[1]q, too few to test it", verdict, cases[verdict])
		}
	}
}

// checkHistory fails if the levels kept by tenant differ from those in the history.
func checkHistory(t *rapid.T, gate *Gate) {
	starts := map[*tenant][]int{}
	for i := range gate.history.ring {
		if b := gate.history.ring[(gate.history.at+i)%window]; b.tenant != nil {
			starts[b.tenant] = append(starts[b.tenant], b.level)
		}
	}
	for tenant, levels := range starts {
		if !slices.Equal(tenant.levels, levels) {
			t.Fatalf("tenant has the levels %v, the history %v", tenant.levels, levels)
		}
	}
}

// advanceTime advances the time, often to NextWake.
func advanceTime(t *rapid.T, gate *Gate, now time.Time) time.Time {
	next := now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 1, 2, 5, 20}).Draw(t, "milliseconds")) * time.Millisecond)
	wake, asked := gate.NextWake(now)
	if !asked || next.Before(wake) {
		return next
	}
	if !wake.After(now) {
		t.Fatalf("NextWake returned %v, which is not after now, %v", wake, now)
	}
	if early := gate.Advance(wake.Add(-1)); len(early) > 0 {
		t.Fatalf("%v was due before NextWake", early)
	}
	return wake
}

func step(t *rapid.T, gate *Gate, naive *naiveGate, now time.Time, i int, classes []int) (verdicts []string) {
	say := func(id string, verdict Verdict) {
		switch v := verdict.(type) {
		case Run:
			verdicts = append(verdicts, id+" runs")
		case Refuse:
			verdicts = append(verdicts, id+" "+v.Reason().String())
			if v.RetryAfter() <= 0 && v.Reason() != Draining || v.RetryAfter() > maxRetryAfter+time.Second {
				t.Fatalf("%s: retry after %v is out of range", id, v.RetryAfter())
			}
		case Wait:
		}
	}
	var notices []Notice
	kind := rapid.IntRange(0, 119).Draw(t, "kind")
	running := naive.filter(func(j *naiveJob) bool { return j.running })
	waiting := naive.filter(func(j *naiveJob) bool { return !j.running })
	switch {
	case kind%12 < 6:
		r := drawRequest(t, now, i, classes)
		var verdict Verdict
		verdict, notices = gate.Offer(now, r)
		say(r.ID, verdict)
		naive.offer(now, r)
	case kind%12 < 10 && len(running) > 0:
		j := running[rapid.IntRange(0, len(running)-1).Draw(t, "job")]
		outcome := rapid.SampledFrom([]Outcome{Done, Done, Done, Done, Done, Done, Shed, Abandoned, Unused}).Draw(t, "outcome")
		var err error
		if notices, err = gate.Finish(now, j.ID, outcome); err != nil {
			t.Fatal(err)
		}
		naive.finish(now, j, outcome)
	case kind%12 == 10 && len(waiting) > 0:
		j := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "job")]
		notices, _ = gate.Cancel(now, j.ID)
		naive.remove(j)
		naive.settle(now)
	case kind == 71 && i > 150 && naive.drainBy.IsZero():
		notices = gate.Drain(now)
		naive.drainBy = now.Add(2 * time.Second)
		naive.settle(now)
	default:
		notices = gate.Advance(now)
		naive.settle(now)
	}
	for _, notice := range notices {
		say(notice.ID(), notice.Verdict())
	}
	return verdicts
}

func drawRequest(t *rapid.T, now time.Time, i int, classes []int) Request {
	class := rapid.SampledFrom(classes).Draw(t, "class")
	return Request{
		ID: fmt.Sprintf("r%03d", i), Class: fmt.Sprintf("c%d", class), Tenant: rapid.SampledFrom([]string{"t0", "t0", "t0", "t0", "t1", "t2"}).Draw(t, "tenant"),
		Priority: []int{0, 0, 5}[class], Queue: rapid.SampledFrom([]int{0, 2, 4, 30}).Draw(t, "queue"),
		Concurrency: rapid.SampledFrom([]int{0, 0, 0, 0, 2}).Draw(t, "concurrency"),
		TenantLimit: rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(t, "tenantLimit"),
		Deadline:    now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "deadline")) * time.Millisecond),
	}
}
