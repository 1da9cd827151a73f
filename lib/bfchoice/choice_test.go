package bfchoice

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "write the golden files")

// TestMain fixes rapid's seed so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.Unix(1_800_000_000, 0)

// modelTarget is the reference model of a target.
type modelTarget struct {
	member            Member
	inFlight          int
	load              Load
	reported          bool
	ejectedUntil      time.Time
	probing           bool
	streak, ejections int
	results           []modelResult
}

type modelResult struct {
	at     time.Time
	failed bool
}

func (n *modelTarget) readmit() {
	n.ejectedUntil, n.probing, n.streak, n.results = time.Time{}, false, 0, nil
}

func (n *modelTarget) usable() bool { return n.member.State == Ready || n.member.State == Cold }

// hasCapacity reports whether the target has capacity; usual is the typical occupancy.
func (n *modelTarget) hasCapacity(now time.Time, usual float64) bool {
	expected := usual
	if n.reported {
		reported := float64(n.load.InUse+n.load.Queued) / float64(max(1, n.load.Slots))
		weight := math.Exp(-now.Sub(n.load.At).Seconds() / 0.1)
		expected = usual + (reported-usual)*weight
	}
	return max(float64(n.inFlight)/float64(n.member.Slots), expected) < 1
}

// isOutlier applies the ejection rules to the results of the current window.
func (n *modelTarget) isOutlier(now time.Time) bool {
	all, failed := 0, 0
	for _, r := range n.results {
		if r.at.Unix()/10 == now.Unix()/10 {
			all++
			if r.failed {
				failed++
			}
		}
	}
	return n.streak >= 5 || all >= 20 && 2*failed >= all
}

type modelSet []*modelTarget

func (s modelSet) count(keep func(*modelTarget) bool) int {
	count := 0
	for _, n := range s {
		if n.usable() && keep(n) {
			count++
		}
	}
	return count
}

func (n *modelTarget) ejected() bool { return !n.ejectedUntil.IsZero() }

// allowedTargets returns the targets that the rules allow.
func (s modelSet) allowedTargets(now time.Time, usual float64, exclude []string) []string {
	tiers := make([][]string, 3)
	for _, n := range s {
		excluded := n.ejected() && (now.Before(n.ejectedUntil) || n.probing)
		if !n.usable() || excluded || slices.Contains(exclude, n.member.ID) {
			continue
		}
		tier := 2
		if n.hasCapacity(now, usual) {
			tier = 1
			if n.member.FailureDomain == "d0" {
				tier = 0
			}
		}
		tiers[tier] = append(tiers[tier], n.member.ID)
	}
	for _, tier := range tiers {
		if len(tier) > 0 {
			return tier
		}
	}
	return nil
}

func (s modelSet) end(n *modelTarget, now time.Time, result Result) {
	n.inFlight--
	expired := !now.Before(n.ejectedUntil)
	if result != Cancelled {
		n.results = append(n.results, modelResult{now, result == Failure})
	}
	switch result {
	case Cancelled:
		n.probing = false
	case Success:
		n.streak = 0
		if n.ejected() && expired {
			n.readmit()
			n.ejections = 0
		}
	case Failure:
		n.streak++
		mayEject := s.count((*modelTarget).ejected) < s.count(func(*modelTarget) bool { return true })/3
		if n.ejected() && expired || !n.ejected() && n.isOutlier(now) && mayEject {
			length := min(time.Second<<n.ejections, time.Minute)
			n.ejections, n.ejectedUntil, n.probing = n.ejections+1, now.Add(length), false
		}
	}
}

// Guards against picks and ejections that differ from a reference model: only ready
// and cold targets, ejected ones only as a probe, at most a third ejected, own
// failure domain first while it has capacity.
func TestPickMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chooser, now := NewChooser("d0"), start
		known := map[string]*modelTarget{}
		var model modelSet
		usual := 0.0
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "milliseconds")) * time.Millisecond)
			if len(model) == 0 || rapid.IntRange(0, 15).Draw(t, "swap") == 0 {
				model = swap(t, chooser, known, now)
			}
			n := model[rapid.IntRange(0, len(model)-1).Draw(t, "target")]
			if rapid.Bool().Draw(t, "report") {
				n.load = Load{
					InUse: rapid.IntRange(0, 4).Draw(t, "inUse"), Queued: rapid.IntRange(0, 1).Draw(t, "queued"),
					Slots: rapid.IntRange(0, 3).Draw(t, "slots"), At: now,
				}
				n.reported = true
				usual += (n.load.occupancy() - usual) / 16
				mustTarget(t, chooser, n.member.ID).Report(n.load)
			}
			if n.inFlight > 0 {
				result := rapid.SampledFrom([]Result{Success, Failure, Failure, Failure, Failure, Cancelled}).Draw(t, "result")
				chooser.End(now, mustTarget(t, chooser, n.member.ID), result)
				model.end(n, now, result)
			}
			pickOne(t, chooser, model, now, usual)
		}
	})
}

func mustTarget(t *rapid.T, chooser *Chooser, id string) *Target {
	target, found := chooser.Set().Target(id)
	if !found {
		t.Fatalf("no target %s", id)
	}
	return target
}

func swap(t *rapid.T, chooser *Chooser, known map[string]*modelTarget, now time.Time) modelSet {
	var members []Member
	var model modelSet
	size := rapid.IntRange(1, 9).Draw(t, "size")
	for i := range 9 {
		id := fmt.Sprintf("t%d", i)
		if i >= size {
			delete(known, id)
			continue
		}
		states := []State{Ready, Ready, Ready, Cold, Leaving, Silent, Dead}
		member := Member{
			ID: id, FailureDomain: fmt.Sprintf("d%d", i%3), Slots: 3, ColdSince: now, ColdStart: time.Second,
			State: rapid.SampledFrom(states).Draw(t, "state"),
		}
		if known[id] == nil {
			known[id] = &modelTarget{}
		}
		known[id].member = member
		members, model = append(members, member), append(model, known[id])
	}
	chooser.Swap(members)
	// Swap may readmit any targets to keep within the limit.
	for _, n := range model {
		if n.usable() && n.ejected() && !mustTarget(t, chooser, n.member.ID).outlier.ejected() {
			n.readmit()
		}
	}
	return model
}

func pickOne(t *rapid.T, chooser *Chooser, model modelSet, now time.Time, usual float64) {
	usable := model.count(func(*modelTarget) bool { return true })
	if ejected := chooser.Set().Ejected(); ejected != model.count((*modelTarget).ejected) || ejected > usable/3 {
		t.Fatalf("%d of %d ejected, %d in the model", ejected, usable, model.count((*modelTarget).ejected))
	}
	exclude := []string{fmt.Sprintf("t%d", rapid.IntRange(0, 9).Draw(t, "exclude"))}
	allowed := model.allowedTargets(now, usual, exclude)
	target, found := Pick(now, chooser.Set(), "d0", exclude, rapid.Uint64().Draw(t, "random"))
	if found != (len(allowed) > 0) || found && !slices.Contains(allowed, target.ID()) {
		t.Fatalf("picked %v, the model allows %v", target, allowed)
	}
	if !found {
		return
	}
	target.Begin()
	for _, n := range model {
		if n.member.ID == target.ID() {
			n.inFlight++
			n.probing = n.ejected()
		}
	}
}

func members(count, slots int) []Member {
	list := make([]Member, 0, count)
	for i := range count {
		list = append(list, Member{ID: fmt.Sprintf("t%d", i), FailureDomain: fmt.Sprintf("d%d", i%3), Slots: slots})
	}
	return list
}

// Guards against trusting a health endpoint over observations: a target that sheds
// must be ejected although reported healthy, and a working one must get its share
// although reported unhealthy.
func TestWrongHealthHint(t *testing.T) {
	is := is.New(t)
	chooser := NewChooser("elsewhere")
	chooser.Swap(members(7, 12))
	random := rand.New(rand.NewPCG(1, 2))
	served, now := map[string]int{}, start
	var open []*Target
	for range 7000 {
		now = now.Add(time.Millisecond)
		// The hints are set again and again to wrong values.
		for id, hint := range map[string]Hint{"t0": HintHealthy, "t1": HintUnhealthy} {
			target, _ := chooser.Set().Target(id)
			target.SetHint(hint)
		}
		target, found := Pick(now, chooser.Set(), "elsewhere", nil, random.Uint64())
		is.True(found)
		served[target.ID()]++
		target.Begin()
		open = append(open, target)
		if len(open) < 40 {
			continue
		}
		result := Success
		if open[0].ID() == "t0" {
			result = Failure
		}
		chooser.End(now, open[0], result)
		open = open[1:]
	}
	t.Logf("picks: %v", served)
	is.True(served["t0"] < 50)  // the requests before its ejection, and its probes
	is.True(served["t1"] > 800) // a seventh of 7000 is 1000; ties go to the others
	is.Equal(chooser.Set().Ejected(), 1)
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{7, 31, 1000} {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("targets=%d/full=%v", count, full), func(b *testing.B) {
				chooser := NewChooser("d0")
				chooser.Swap(members(count, 12))
				now := time.Now()
				for _, c := range chooser.Set().usable {
					load := Load{InUse: 6, Slots: 12, At: now}
					if full {
						load.InUse = 12
					}
					c.target.Report(load)
				}
				b.ReportAllocs()
				for b.Loop() {
					if _, found := chooser.Pick(now, nil); !found {
						b.Fatal("no target")
					}
				}
			})
		}
	}
}
