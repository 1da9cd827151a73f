package bfrollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bilberryflow.org/lib/bfstore"
)

var testTerms = Terms{Share: 0.1, Slack: 50}

// newBook returns a book whose clock the test sets.
func newBook() (*Book, *time.Time) {
	now := time.Unix(1000, 0)
	return NewBook(Config{Terms: testTerms, Entries: func() int { return 10 }, Now: func() time.Time { return now }}), &now
}

func order(version string, revision bfstore.Revision) Order {
	return Order{Service: "s", Version: version, Duration: 10 * time.Second, Revision: revision}
}

// Guards against a fleet that sends a version more than its share: naive counts of entries with
// unequal loads, which restart, repeat and send requests that reach no target.
func TestEntriesKeepTheShareTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 8).Draw(t, "entries")
		moving := rapid.Bool().Draw(t, "moving")
		s := schedule{testTerms, 10 * time.Second}
		allotments := make([]*Allotment, entries)
		for i := range allotments {
			allotments[i] = NewAllotment(testTerms, entries)
		}
		restarts, reached, renewed := 0, 0, 0
		for range rapid.IntRange(0, 600).Draw(t, "requests") {
			i := min(rapid.IntRange(0, 2*entries).Draw(t, "entry"), entries-1)
			route := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route")
			if restarts < entries && rapid.IntRange(0, 99).Draw(t, "restart") == 0 {
				restarts++
				allotments[i] = NewAllotment(testTerms, entries)
			}
			isNew := allotments[i].Take(route, moving)
			if rapid.IntRange(0, 9).Draw(t, "refused") == 0 {
				if isNew {
					allotments[i].Return(route)
				}
				continue
			}
			reached++
			if isNew {
				renewed++
			}
			allotments[i].Reached(s.maxShare(), s.share(0))
		}
		if float64(renewed) > testTerms.Share*float64(reached)+testTerms.Slack {
			t.Fatalf("%d of %d requests reached the new version", renewed, reached)
		}
	})
}

// Guards against a rare route on which a bad version isn't noticed, since all trials go to others.
func TestRareRoutesAreTriedAsOften(t *testing.T) {
	is := is.New(t)
	a := NewAllotment(testTerms, 10)
	s := schedule{testTerms, 10 * time.Second}
	tried := map[string]int{}
	for i := range 2000 {
		route := "usual"
		if i%10 == 0 {
			route = "rare"
		}
		if a.Take(route, false) {
			tried[route]++
		}
		a.Reached(s.maxShare(), s.share(9*time.Second))
	}
	is.True(tried["rare"] > 50)
	is.True(tried["rare"]+tried["usual"] > 100)
}

// drawRecord draws a record of one of few orders.
func drawRecord(t *rapid.T) Record {
	return Record{
		Order: order(rapid.SampledFrom([]string{"v2", "v3"}).Draw(t, "version"), bfstore.Revision(rapid.IntRange(1, 3).Draw(t, "revision"))),
		State: State(rapid.IntRange(0, int(Running)).Draw(t, "state")), Condemned: rapid.Bool().Draw(t, "condemned"), Cleared: rapid.Bool().Draw(t, "cleared"),
	}
}

// Guards against nodes that disagree for good, since records reach them in different orders.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 6).Draw(t, "records")
		// An order has one version and time.
		for i := range records {
			records[i].Order.Version = []string{"", "v2", "v3", "v4"}[records[i].Order.Revision]
		}
		one, _ := newBook()
		other, _ := newBook()
		one.Merge(records)
		for _, i := range rapid.Permutation(indices(len(records))).Draw(t, "permutation") {
			other.Merge(records[i : i+1])
		}
		other.Merge(records)
		if one.Digest() != other.Digest() {
			t.Fatalf("%+v != %+v", one.Records(), other.Records())
		}
	})
}

func indices(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// Guards against a decision that is lost when the store is restored: the order is read again under
// another revision, or an earlier order appears in its place.
func TestDecisionsSurviveARestoreOfTheStore(t *testing.T) {
	is := is.New(t)
	b, _ := newBook()
	first, second := order("v2", bfstore.RevisionOf(1, 10)), order("v3", bfstore.RevisionOf(1, 20))
	b.Observe(first, true)
	b.SetState(first, Completed)
	b.Observe(second, true)
	b.Condemn(second, "bad")
	b.SetState(second, RolledBack)

	b.Observe(order("v2", bfstore.RevisionOf(2, 10)), false) // the copy lacks the second order
	is.Equal(b.Of("s").Order(), second)
	b.Observe(order("v3", bfstore.RevisionOf(2, 12)), true) // written again by the operator
	is.Equal(b.Of("s").Record(time.Time{}).State, RolledBack)
	is.True(!b.Admits("s", "v3", true, true))
}

// Guards against orders without a defined end.
func TestOrdersFollowEachOther(t *testing.T) {
	for name, test := range map[string]struct {
		next Order
		want State
	}{
		"the same row again":             {order("v2", 10), RolledBack},
		"the same version ordered again": {order("v2", 30), Ordered},
		"another version":                {order("v3", 30), Ordered},
		"back to the old version":        {order("v1", 30), Ordered},
		"an older row":                   {order("v3", 5), RolledBack},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, _ := newBook()
			b.Observe(order("v2", 10), true)
			b.Condemn(order("v2", 10), "bad")
			b.SetState(order("v2", 10), RolledBack)
			b.Observe(test.next, true)
			is.Equal(b.Of("s").Record(time.Time{}).State, test.want)
		})
	}
}

// Guards against requests on targets of a version that a roll-out gives none.
func TestNodesAdmitVersions(t *testing.T) {
	set := func(records ...Record) func(*Book) { return func(b *Book) { b.Merge(records) } }
	running := Record{Order: order("v2", 10), State: Running}
	condemned, completed := running, running
	condemned.Condemned, completed.State = true, Completed
	for _, test := range []struct {
		name            string
		set             func(*Book)
		version         string
		chosen, another bool
		want            bool
	}{
		{"no roll-out", func(b *Book) { b.SetSynced() }, "v1", false, false, true},
		{"versions that were never ordered", func(b *Book) { b.SetSynced() }, "v2", false, true, true},
		{"before the orders are known, one version", func(*Book) {}, "v1", false, false, true},
		{"before the orders are known, two versions", func(*Book) {}, "v2", false, true, false},
		{"running, new, not chosen", set(running), "v2", false, true, false},
		{"running, new, chosen", set(running), "v2", true, true, true},
		{"running, old", set(running), "v1", false, true, true},
		{"condemned, new", set(condemned), "v2", true, true, false},
		{"condemned, old", set(condemned), "v1", false, true, true},
		{"completed, new", set(completed), "v2", false, true, true},
		{"completed, old", set(completed), "v1", false, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b, _ := newBook()
			test.set(b)
			is.Equal(b.Admits("s", test.version, test.chosen, test.another), test.want)
		})
	}
}

// Guards against a roll-out that skips a step, or moves traffic to targets that can't bear it.
func TestNextStep(t *testing.T) {
	enough := Capacity{Old: 40, New: 40, NewTargets: 4}
	for _, test := range []struct {
		name     string
		record   Record
		elapsed  time.Duration
		trials   int
		isJudge  bool
		capacity Capacity
		want     Action
	}{
		{"order that may have ended", Record{}, 0, 0, true, enough, Verify{}},
		{"order", Record{State: Ordered}, 0, 0, true, enough, WriteStatus{Running}},
		{"running", Record{State: Running}, 5 * time.Second, 100, true, enough, Wait{}},
		{"good", Record{State: Running}, 8700 * time.Millisecond, 100, true, enough, Clear{}},
		{"good, but not a judge", Record{State: Running}, 8700 * time.Millisecond, 100, false, enough, Wait{}},
		{"no trials", Record{State: Running}, 8700 * time.Millisecond, 0, true, enough, Wait{}},
		{"no trials at the deadline", Record{State: Running}, 10 * time.Second, 0, true, enough,
			Condemn{"the new version received 0 requests beside 2000 of the old one, too few to compare them"}},
		{"no new targets at the deadline", Record{State: Running}, 10 * time.Second, 100, true, Capacity{Old: 40}, Condemn{"the new version has 0 slots beside 40 of the old one"}},
		{"cleared", Record{State: Running, Cleared: true}, 8900 * time.Millisecond, 100, true, enough, Wait{}},
		{"moved", Record{State: Running, Cleared: true}, 9300 * time.Millisecond, 100, false, enough, WriteStatus{Completed}},
		{"condemned after it was cleared", Record{State: Running, Cleared: true, Condemned: true}, 9300 * time.Millisecond, 100, true, enough, WriteStatus{RolledBack}},
		{"ended", Record{State: Completed, Cleared: true}, time.Hour, 0, true, enough, Wait{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b, now := newBook()
			test.record.Order = order("v2", 10)
			b.Merge([]Record{test.record})
			r := b.Of("s")
			cell := Cell{Bucket: 1, Routes: map[string]Pair{"r": {Old: Sums{Requests: 2000}, New: map[string]Sums{"t": {Requests: test.trials}}}}}
			r.Ledger().Add("n", []Cell{cell})
			is.Equal(r.Next(now.Add(test.elapsed), test.isJudge, test.capacity), test.want)
		})
	}
}

// Guards against counts that are lost or doubled when reports arrive twice or out of order.
func TestCountsMergeInAnyOrder(t *testing.T) {
	is := is.New(t)
	var tally Tally
	var reports [][]Cell
	for i := range 40 {
		tally.Note(i/10, "r", []string{"", "t"}[i%2], Outcome{Run: time.Millisecond})
		reports = append(reports, tally.Cells())
	}
	var l Ledger
	for _, i := range []int{3, 9, 5, 12, 19, 18, 25, 29, 29, 35, 31, 39, 2} {
		l.Add("n", reports[i])
	}
	old, renewed := l.Totals()
	is.Equal(old, 20)
	is.Equal(renewed, 20)
}

// Guards against a version that turns bad late and is protected by its good start.
func TestLateDefectIsFoundAfterALongGoodTime(t *testing.T) {
	is := is.New(t)
	var l Ledger
	add := func(bucket, bad int) {
		renewed := map[string]Sums{"t1": {Requests: 10, Bad: bad}, "t2": {Requests: 10, Bad: bad}}
		l.Add("n", []Cell{{Bucket: bucket, Routes: map[string]Pair{"r": {Old: Sums{Requests: 300}, New: renewed}}}})
	}
	for bucket := range 100 {
		add(bucket, 0)
	}
	_, ok := l.Judge(2)
	is.True(!ok)
	add(100, 4)
	finding, ok := l.Judge(2)
	is.True(ok)
	is.Equal(finding.What, failures)
	is.Equal(finding.New.Requests, 20)
}
