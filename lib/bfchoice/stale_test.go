package bfchoice

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// Simulates entry nodes that send to the targets of one service and know each target's load
// only from their own responses. The more entry nodes share the traffic, the older
// each node's load reports are.

type event struct {
	at     time.Time
	order  int
	entry  int
	target int
	kind   int
	sent   time.Time
}

const (
	arrive = iota
	reach
	finish
	answer
)

type eventQueue []event

func (s eventQueue) Len() int { return len(s) }
func (s eventQueue) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].order < s[j].order
}
func (s eventQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *eventQueue) Push(x any)   { *s = append(*s, x.(event)) }
func (s *eventQueue) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

type topology struct {
	name           string
	targets, slots int
	oneWay         time.Duration
	entries        int
}

type chooseFunc func(set *Set, now time.Time, random *rand.Rand) *Target

func chooseRandom(set *Set, _ time.Time, random *rand.Rand) *Target {
	return set.usable[random.IntN(len(set.usable))].target
}

func chooseTwo(set *Set, now time.Time, random *rand.Rand) *Target {
	target, _ := Pick(now, set, "d", nil, random.Uint64())
	return target
}

func chooseLeast(set *Set, now time.Time, random *rand.Rand) *Target {
	first := random.IntN(len(set.usable))
	best := set.usable[first]
	for i := range set.usable {
		if c := set.usable[(first+i)%len(set.usable)]; c.occupancy(now) < best.occupancy(now) {
			best = c
		}
	}
	return best.target
}

// chooseDecayingLoad makes two choices by a load report whose weight decays to 0.
func chooseDecayingLoad(set *Set, now time.Time, random *rand.Rand) *Target {
	occupancy := func(c *candidate) float64 {
		own := float64(c.target.InFlight())
		if load := c.target.load.Load(); load != nil {
			fresh := max(0, 1-now.Sub(load.At).Seconds())
			own = max(own, float64(load.InUse+load.Queued)*fresh)
		}
		return own / float64(c.member.Slots)
	}
	first, second := random.IntN(len(set.usable)), random.IntN(len(set.usable)-1)
	if second >= first {
		second++
	}
	if occupancy(set.usable[first]) <= occupancy(set.usable[second]) {
		return set.usable[first].target
	}
	return set.usable[second].target
}

// simulate runs 100,000 requests at 85 % of the capacity and returns the sorted queueing times.
func simulate(s topology, choose chooseFunc) []time.Duration {
	const service = 20 * time.Millisecond
	random := rand.New(rand.NewPCG(7, 11))
	exponential := func(mean time.Duration) time.Duration { return time.Duration(random.ExpFloat64() * float64(mean)) }
	gap := time.Duration(float64(service) / (0.85 * float64(s.targets*s.slots)))
	var list []Member
	for i := range s.targets {
		list = append(list, Member{ID: fmt.Sprint(i), FailureDomain: "d", Slots: s.slots})
	}
	entries := make([]*Chooser, s.entries)
	for i := range entries {
		entries[i] = NewChooser("d")
		entries[i].Swap(list)
	}
	queues, inUse := make([][]event, s.targets), make([]int, s.targets)
	var events eventQueue
	order := 0
	push := func(next event) {
		order++
		next.order = order
		heap.Push(&events, next)
	}
	var waits []time.Duration
	push(event{at: start, kind: arrive})
	for arrivals := 0; len(events) > 0; {
		now := heap.Pop(&events).(event)
		switch now.kind {
		case arrive:
			if arrivals++; arrivals < 100_000 {
				push(event{at: now.at.Add(exponential(gap)), kind: arrive})
			}
			now.entry = random.IntN(s.entries)
			target := choose(entries[now.entry].Set(), now.at, random)
			target.Begin()
			_, _ = fmt.Sscan(target.ID(), &now.target)
			now.kind, now.at = reach, now.at.Add(s.oneWay)
			now.sent = now.at
			push(now)
		case reach:
			queues[now.target] = append(queues[now.target], now)
		case finish:
			inUse[now.target]--
			now.kind, now.at = answer, now.at.Add(s.oneWay)
			push(now)
			now.at = now.at.Add(-s.oneWay)
		case answer:
			target, _ := entries[now.entry].Set().Target(fmt.Sprint(now.target))
			target.Report(Load{InUse: inUse[now.target], Queued: len(queues[now.target]), Slots: s.slots, ServiceTime: 20 * time.Millisecond, At: now.at})
			target.inFlight.Add(-1)
		}
		for inUse[now.target] < s.slots && len(queues[now.target]) > 0 {
			first := queues[now.target][0]
			queues[now.target] = queues[now.target][1:]
			inUse[now.target]++
			waits = append(waits, now.at.Sub(first.sent))
			push(event{at: now.at.Add(exponential(service)), kind: finish, entry: first.entry, target: now.target})
		}
	}
	slices.Sort(waits)
	return waits
}

// Guards against a change of the choice that makes requests wait longer with stale
// load reports; docs/design/choice.md discusses the table. The seeds are fixed.
func TestStaleLoadTable(t *testing.T) {
	var table strings.Builder
	table.WriteString("| shape | entry nodes | choice | waited | mean wait | p99 wait |\n|---|---|---|---|---|---|\n")
	for _, topology := range []topology{
		{"portal-core 7 x 12", 7, 12, 1500 * time.Microsecond, 7},
		{"portal-core 7 x 12", 7, 12, 1500 * time.Microsecond, 70},
		{"order-desk 6 x 9", 6, 9, time.Millisecond, 6},
		{"order-desk 6 x 9", 6, 9, time.Millisecond, 60},
	} {
		for _, choice := range []struct {
			name   string
			choose chooseFunc
		}{{"random", chooseRandom}, {"least known load", chooseLeast}, {"two choices, load fading to nothing", chooseDecayingLoad}, {"two choices", chooseTwo}} {
			waits := simulate(topology, choice.choose)
			waited, total := 0, time.Duration(0)
			for _, wait := range waits {
				total += wait
				if wait > 0 {
					waited++
				}
			}
			count := len(waits)
			fmt.Fprintf(&table, "| %s | %d | %s | %.0f %% | %.1f ms | %.0f ms |\n", topology.name, topology.entries, choice.name,
				100*float64(waited)/float64(count), total.Seconds()*1000/float64(count),
				math.Round(waits[count*99/100].Seconds()*1000))
		}
	}
	compareGolden(t, "testdata/stale.golden", table.String())
}

func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(name, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil || got != string(want) {
		t.Fatalf("%s (%v) holds\n%s, got\n%s", name, err, want, got)
	}
}
