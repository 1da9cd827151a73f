package bfrollout

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfagenda"
)

// defect makes the answers of some targets bad.
type defect struct {
	// failing is the share of answers that fail, slow the factor of run times.
	failing, slow float64
	from, until   time.Duration
	// route limits the defect to one route, "" for all; loaded limits it to targets with more than
	// that share of their slots in use.
	route  string
	loaded float64
	// share limits the defect to a share of the targets, 0 for all.
	share float64
}

func (d defect) applies(at time.Duration, route string, t *simTarget) bool {
	return at >= d.from && (d.until == 0 || at < d.until) && (d.route == "" || d.route == route) &&
		float64(t.inFlight) >= d.loaded*simSlots && (d.share == 0 || t.draw < d.share)
}

// scenario is a roll-out on a fleet under a load.
type scenario struct {
	name string
	// entries and targets are the numbers of nodes that send requests and of targets of each
	// version; perSecond is the rate of requests of each route.
	entries, targets int
	perSecond        map[string]float64
	duration         time.Duration
	// new and both are the defects of the new version and of all targets.
	new, both []defect
	// burst multiplies the load between 4 and 7 s.
	burst float64
	// cold makes new targets slow for so long.
	cold time.Duration
	// judge replaces the test of the versions, for a comparison.
	judge func(*Ledger) bool
	// surelyFound is set for a bad version that shows early and on many requests.
	surelyFound bool
}

func (s scenario) isBad() bool { return len(s.new) > 0 }

const simSlots = 9

type simTarget struct {
	name     string
	version  string
	speed    float64
	inFlight int
	// draw decides whether a defect of a share of the targets affects this one.
	draw float64
}

// simulation is the state of one run.
type simulation struct {
	scenario
	random       *rand.Rand
	agenda       *bfagenda.Agenda
	begin        time.Time
	books        []*Book
	old, renewed []*simTarget
	result       simResult
}

// simResult is what a run showed.
type simResult struct {
	state State
	ended time.Duration
	// requests reached targets of any version, exposed those of the new one before the deadline.
	requests, exposed int
	// bad counts bad answers of the new version; overdue is the longest time from the 50th of them
	// to a later request to it.
	bad        int
	fiftiethAt time.Duration
	overdue    time.Duration
	reason     string
}

var simTerms = Terms{Share: 0.1, Slack: 50}

func simulate(s scenario, seed uint64) simResult {
	begin := time.Unix(0, 0)
	sim := &simulation{scenario: s, random: rand.New(rand.NewPCG(seed, 7)), agenda: bfagenda.New(begin), begin: begin}
	for range s.entries {
		sim.books = append(sim.books, NewBook(Config{Terms: simTerms, Entries: func() int { return s.entries }, Now: sim.agenda.Now}))
	}
	for i := range 2 * s.targets {
		t := &simTarget{name: fmt.Sprint(i), version: "v1", speed: []float64{0.7, 0.7, 1.6}[sim.random.IntN(3)], draw: sim.random.Float64()}
		if i%2 == 1 {
			t.version = "v2"
			sim.renewed = append(sim.renewed, t)
			continue
		}
		sim.old = append(sim.old, t)
	}
	order := Order{Service: "s", Version: "v2", Duration: s.duration, Revision: 1}
	for _, b := range sim.books {
		sim.agenda.After(time.Duration(sim.random.Float64()*float64(500*time.Millisecond)), func() { b.Observe(order, true) })
	}
	for route := range s.perSecond {
		sim.arrive(route)
	}
	sim.agenda.After(time.Second, sim.step)
	sim.agenda.Run()
	return sim.result
}

func (s *simulation) elapsed() time.Duration { return s.agenda.Now().Sub(s.begin) }

func (s *simulation) ended() bool { return s.elapsed() > s.duration+time.Second }

func (s *simulation) arrive(route string) {
	rate := s.perSecond[route]
	if at := s.elapsed(); s.burst > 0 && at > 4*time.Second && at < 7*time.Second {
		rate *= s.burst
	}
	s.agenda.After(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.ended() {
			return
		}
		s.arrive(route)
		s.send(route, s.books[s.entry()])
	})
}

// entry draws the entry of a request; a third of the entries send half of all requests.
func (s *simulation) entry() int {
	if s.random.IntN(2) == 0 {
		return s.random.IntN(max(s.entries/3, 1))
	}
	return s.random.IntN(s.entries)
}

func (s *simulation) send(route string, b *Book) {
	r := b.Of("s")
	var selection Selection = Old{}
	if r != nil {
		selection = r.Select(route, s.agenda.Now(), false)
	}
	var target *simTarget
	if selected, ok := selection.(New); ok {
		if selected.Tried == nil || s.elapsed() >= s.cold {
			target = s.pick(s.renewed, selected.Tried)
		}
		if target == nil && selected.Granted {
			r.Return(route)
		}
	}
	if target == nil {
		target = s.pick(s.old, nil)
	}
	if target != nil {
		s.run(route, b, target)
	}
}

// pick returns the less loaded of two random targets, nil if both are full.
func (s *simulation) pick(targets []*simTarget, window func(int) (int, int)) *simTarget {
	first, count := 0, len(targets)
	if window != nil {
		first, count = window(len(targets))
	}
	draw := func() *simTarget { return targets[(first+s.random.IntN(count))%len(targets)] }
	t := slices.MinFunc([]*simTarget{draw(), draw()}, func(a, b *simTarget) int { return cmp.Compare(a.inFlight, b.inFlight) })
	if t.inFlight >= simSlots {
		return nil
	}
	return t
}

func (s *simulation) run(route string, b *Book, t *simTarget) {
	isNew, at := t.version == "v2", s.elapsed()
	s.result.requests++
	if isNew && at < s.duration && s.result.state != Completed {
		s.result.exposed++
	}
	if isNew && s.result.bad >= 50 {
		s.result.overdue = at - s.result.fiftiethAt
	}
	o, cold := s.outcome(route, t, isNew, at)
	t.inFlight++
	s.agenda.After(o.Run, func() {
		t.inFlight--
		if isNew && (o.Bad || s.isSlow(route, t, at)) {
			s.result.bad++
			if s.result.bad == 50 {
				s.result.fiftiethAt = s.elapsed()
			}
		}
		if cold {
			o.Run = 0
		}
		if r := b.Of("s"); r != nil {
			r.Note(route, t.name, t.version, s.agenda.Now(), o)
		}
	})
}

func (s *simulation) outcome(route string, t *simTarget, isNew bool, at time.Duration) (o Outcome, cold bool) {
	seconds := 0.12 * math.Exp(0.5*s.random.NormFloat64()) * t.speed
	if float64(t.inFlight) > 0.8*simSlots {
		seconds *= 1.3
	}
	o.Bad = s.random.Float64() < 0.001
	defects := s.both
	if isNew {
		defects = slices.Concat(s.both, s.new)
		if cold = at < s.cold; cold {
			seconds *= 2
		}
	}
	for _, d := range defects {
		if !d.applies(at, route, t) {
			continue
		}
		o.Bad = o.Bad || s.random.Float64() < d.failing
		seconds *= max(d.slow, 1)
	}
	o.Run = time.Duration(seconds * float64(time.Second))
	return o, cold
}

func (s *simulation) isSlow(route string, t *simTarget, at time.Duration) bool {
	return slices.ContainsFunc(s.new, func(d defect) bool { return d.slow > 1 && d.applies(at, route, t) })
}

// step does what nodes do ten times a second: the first entries are the judges.
func (s *simulation) step() {
	if s.ended() {
		return
	}
	s.agenda.After(100*time.Millisecond, s.step)
	judges := min(len(s.books), maxJudges)
	for i, b := range s.books {
		r := b.Of("s")
		if r == nil {
			continue
		}
		for j := range judges {
			if other := s.books[j].Of("s"); other != nil {
				other.Ledger().Add(string(rune('A'+i)), r.Tally().Cells())
			}
		}
		s.act(b, r, i < judges)
	}
}

func (s *simulation) act(b *Book, r *Rollout, isJudge bool) {
	before := r.Record(s.agenda.Now())
	if s.judge != nil && isJudge && !before.Condemned && s.judge(r.Ledger()) {
		b.Condemn(r.Order(), "by the other test")
	}
	switch action := r.Next(s.agenda.Now(), isJudge, Capacity{Old: 100, New: 100, NewTargets: s.targets}).(type) {
	case Condemn:
		if s.judge == nil || s.elapsed() >= s.duration {
			b.Condemn(r.Order(), action.Reason)
		}
	case Clear:
		b.Clear(r.Order())
	case WriteStatus:
		b.SetState(r.Order(), action.State)
	}
	record := b.Of("s").Record(s.agenda.Now())
	if record.State.IsFinal() && s.result.state != record.State {
		s.result.state, s.result.ended, s.result.reason = record.State, s.elapsed(), record.Reason
	}
	if record.State == before.State && record.Condemned == before.Condemned && record.Cleared == before.Cleared {
		return
	}
	// The change reaches the other nodes a little later.
	s.agenda.After(50*time.Millisecond, func() {
		for _, other := range s.books {
			other.Merge([]Record{record})
		}
	})
}

var (
	mesh = map[string]float64{"look-up": 60, "approve": 40, "package": 6}
	desk = map[string]float64{"check": 35, "nominate": 14}
)

// scenarios are the roll-outs of the table: good versions beside troubles of both, and versions
// that are bad in each way.
func scenarios() (all []scenario) {
	base := scenario{entries: 24, targets: 4, perSecond: mesh, duration: 12 * time.Second, cold: 3 * time.Second}
	with := func(name string, change func(*scenario)) {
		s := base
		s.name = name
		change(&s)
		all = append(all, s)
	}
	with("good", func(*scenario) {})
	with("good, few requests", func(s *scenario) { s.entries, s.targets, s.perSecond = 10, 3, desk })
	with("good, burst", func(s *scenario) { s.burst = 2.5 })
	with("good, a third of all targets fail", func(s *scenario) {
		s.both = []defect{{failing: 0.4, share: 0.33, from: 4 * time.Second, until: 8 * time.Second}}
	})
	with("good, a sixth of all targets slow", func(s *scenario) {
		s.both = []defect{{slow: 5, share: 0.16, from: 4 * time.Second, until: 8 * time.Second}}
	})
	with("good, a third of all targets slow", func(s *scenario) {
		s.both = []defect{{slow: 5, share: 0.33, from: 4 * time.Second, until: 8 * time.Second}}
	})
	for _, kind := range []struct {
		name string
		defect
	}{{"fails 0.3", defect{failing: 0.3}}, {"4 times as slow", defect{slow: 4}}} {
		with(kind.name+" at once", func(s *scenario) { s.new, s.surelyFound = []defect{kind.defect}, kind.failing > 0 })
		with(kind.name+" from the half on", func(s *scenario) { d := kind.defect; d.from = 6 * time.Second; s.new = []defect{d} })
		with(kind.name+" under load", func(s *scenario) {
			d := kind.defect
			d.loaded = 0.4
			s.new, s.targets, s.entries, s.surelyFound = []defect{d}, 20, 60, true
			s.perSecond = map[string]float64{"look-up": 360, "approve": 240, "package": 36}
		})
		with(kind.name+" on a rare route", func(s *scenario) { d := kind.defect; d.route = "package"; s.new = []defect{d} })
		with(kind.name+", few requests", func(s *scenario) { s.new = []defect{kind.defect}; s.entries, s.targets, s.perSecond = 10, 3, desk })
	}
	return all
}

var (
	seeds       = flag.Int("seeds", 3, "seeds of each simulated roll-out")
	alternative = flag.Bool("alternative", false, "judge by fixed ratios instead")
)

// judgeByRatios is the alternative to Ledger.Judge: a version is bad if after 30 requests it fails
// twice as often as the old one and 5 in 100 more, or runs twice as long.
func judgeByRatios(l *Ledger) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	byRoute := map[string]Pair{}
	for _, routes := range l.sums {
		for route, p := range routes {
			byRoute[route] = byRoute[route].plus(p, 1)
		}
	}
	for _, p := range byRoute {
		renewed := p.allNew()
		if renewed.Requests < 30 {
			continue
		}
		failing, oldFailing := float64(renewed.Bad)/float64(renewed.Requests), float64(p.Old.Bad)/float64(max(p.Old.Requests, 1))
		if failing > 2*oldFailing+0.05 || renewed.meanLog()-p.Old.meanLog() > math.Log(2) {
			return true
		}
	}
	return false
}

// tableRow sums the runs of a scenario.
type tableRow struct {
	completed, rolledBack int
	// exposure is the largest number of requests to the new version relative to what the terms
	// allow; overdue is the longest time from the 50th bad answer to a later request.
	exposure       float64
	overdue, ended time.Duration
	bad            int
}

func (r *tableRow) add(result simResult) {
	switch result.state {
	case Completed:
		r.completed++
	case RolledBack:
		r.rolledBack++
	}
	r.exposure = max(r.exposure, float64(result.exposed)/(simTerms.Share*float64(result.requests)+simTerms.Slack))
	r.overdue, r.ended, r.bad = max(r.overdue, result.overdue), max(r.ended, result.ended), max(r.bad, result.bad)
}

// Guards against bad versions that receive more than their share or are completed, and against good
// ones that are rolled back for troubles of both versions.
func TestRollOutsOfSimulatedFleets(t *testing.T) {
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			if *alternative {
				s.judge = judgeByRatios
			}
			var row tableRow
			for seed := range uint64(*seeds) {
				row.add(simulate(s, seed))
			}
			t.Logf("| %s | %d | %d | %.2f | %.1f s | %.1f s | %d |", s.name, row.completed, row.rolledBack, row.exposure, row.overdue.Seconds(), row.ended.Seconds(), row.bad)
			is.Equal(row.completed+row.rolledBack, *seeds) // each has an end
			is.True(row.exposure <= 1)
			if *seeds > 3 || *alternative {
				return
			}
			if !s.isBad() {
				is.Equal(row.completed, *seeds)
				is.True(row.ended <= s.duration)
			}
			if s.surelyFound {
				is.Equal(row.rolledBack, *seeds)
			}
		})
	}
}
