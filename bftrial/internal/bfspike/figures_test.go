package bfspike

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestArrivalsKeepTheRatesAndShares(t *testing.T) {
	is := is.New(t)
	const perSecond = 1000.0
	table := newTimetable(10 * time.Second)
	list := arrivals(1, table, perSecond, shapes[0].services)
	var byPhase [phases]int
	writes, flood, core := 0, 0, 0
	for i, a := range list {
		is.Equal(a.number, i)
		is.True(table.begin(a.phase) <= a.at && a.at < table.begin(a.phase+1))
		is.True(i == 0 || list[i-1].at <= a.at)
		byPhase[a.phase]++
		if a.class == write {
			writes++
		}
		if a.phase == spike && a.tenant == 0 {
			flood++
		}
		if a.service == 0 {
			core++
		}
	}
	near := func(got, want float64) { t.Helper(); is.True(got > want*0.95 && got < want*1.05) }
	for p := range phases {
		rate := perSecond * usualLoad
		if p == spike {
			rate *= spikeFactor
		}
		near(float64(byPhase[p]), rate*table[p].Seconds())
	}
	near(float64(writes), writeShare*float64(len(list)))
	near(float64(flood), (floodShare+(1-floodShare)/tenants)*float64(byPhase[spike]))
	near(float64(core), 7.0/12*float64(len(list)))
	is.Equal(arrivals(1, table, perSecond, shapes[0].services), list) // deterministic, so that all policies get the same arrivals
}

func TestCapacityAcrossAFault(t *testing.T) {
	is := is.New(t)
	c := capacity{faultAt: 10 * time.Second, before: 100, after: 60}
	is.Equal(c.between(0, 5*time.Second), 500.0)
	is.Equal(c.between(8*time.Second, 12*time.Second), 320.0)
	is.Equal(c.between(12*time.Second, 13*time.Second), 60.0)
}

func TestQuantilesAndJain(t *testing.T) {
	is := is.New(t)
	var list []time.Duration
	for i := 1000; i > 0; i-- {
		list = append(list, time.Duration(i))
	}
	is.Equal(quantilesOf(list), quantiles{p50: 501, p99: 991, p999: 1000})
	is.Equal(quantilesOf(nil), quantiles{})
	is.Equal(jainIndex([]int{5, 5, 5, 5}), 1.0)
	is.Equal(jainIndex([]int{8, 0, 0, 0}), 0.25)
	is.Equal(jainIndex(make([]int, 3)), 0.0)
}

// An arrival with a retry must count once, by the outcome of its last attempt.
func TestRetriesCountOnce(t *testing.T) {
	is := is.New(t)
	table := timetable{before: time.Second, spike: time.Second, after: 2 * time.Second}
	a, b := arrival{phase: spike, at: time.Second}, arrival{phase: spike, at: time.Second, number: 1}
	f := figures{
		shape: shapes[0], timetable: table, capacity: capacity{faultAt: time.Hour, before: 2, after: 2},
		samples: []sample{
			{arrival: a, due: time.Second, done: time.Second, outcome: refused},
			{arrival: b, due: time.Second, done: time.Second, outcome: refused, retryAfterEnd: true},
			{arrival: a, retry: true, due: 2 * time.Second, done: 2500 * time.Millisecond, outcome: served},
		},
	}
	row := f.row(spike, "all", func(class) bool { return true })
	is.Equal(row.offered, 2)
	is.Equal(row.byOutcome, [outcomes]int{served: 1, refused: 1})
	is.Equal(row.servedOnRetry, 1)
	is.Equal(row.retryAfterEnd, 1)
	is.Equal(row.goodput, 0.0) // it was served after the spike
	is.Equal(f.row(after, "all", func(class) bool { return true }).goodput, 0.25)
}

func TestRecoveryNeedsTwoConsecutiveSeconds(t *testing.T) {
	is := is.New(t)
	points := []point{{at: 0}, {at: time.Second, good: 9}, {at: 2 * time.Second}, {at: 3 * time.Second, good: 9}, {at: 4 * time.Second, good: 9}}
	good := func(p point) bool { return p.good >= 9 }
	is.Equal(firstTwoConsecutive(points, time.Second, good), 2*time.Second)
	is.True(firstTwoConsecutive(points, 4*time.Second, good) < 0)
}

func TestParseTicks(t *testing.T) {
	is := is.New(t)
	got, err := parseTicks("cpu  10 0 20 60 5 1 2 2 0 0\ncpu0 1 2 3\n")
	is.NoErr(err)
	is.Equal(got, ticks{idle: 65, total: 100})
	is.Equal(ticks{idle: 90, total: 200}.busySince(got), 0.75)
	_, err = parseTicks("intr 1")
	is.True(err != nil)
}
