package bfspike

import (
	"slices"
	"time"
)

// capacity is the request rate that all slots can serve, per second, before and after the fault.
type capacity struct {
	faultAt       time.Duration
	before, after float64
}

// between returns the number of requests that the slots can serve between two times of the run.
func (c capacity) between(from, to time.Duration) float64 {
	split := min(max(c.faultAt, from), to)
	return c.before*(split-from).Seconds() + c.after*(to-split).Seconds()
}

// quantiles holds the 50th, 99th and 99.9th percentiles of durations.
type quantiles struct{ p50, p99, p999 time.Duration }

func quantilesOf(list []time.Duration) quantiles {
	if len(list) == 0 {
		return quantiles{}
	}
	slices.Sort(list)
	at := func(permille int) time.Duration { return list[min(len(list)*permille/1000, len(list)-1)] }
	return quantiles{p50: at(500), p99: at(990), p999: at(999)}
}

// Row holds the figures of one class in one phase.
type Row struct {
	phase phase
	class string
	// offered counts the arrivals of the phase, without retries.
	offered int
	// byOutcome counts the arrivals by the outcome of their last attempt.
	byOutcome [outcomes]int
	// servedOnRetry counts the arrivals served on retry.
	servedOnRetry int
	// retryAfterEnd counts the arrivals whose retry time was after the end of the run.
	retryAfterEnd int
	// goodput is the number of responses within the deadline that completed in the phase,
	// as a fraction of all slots' capacity.
	goodput float64
	served  quantiles
	// refused is the latency of refusals.
	refused quantiles
}

// Report holds the figures of one policy.
type Report struct {
	policy string
	rows   []Row
	busy   [phases]float64
	// lag is the delay of sends after their due time, caused by the load generator itself.
	lag quantiles
	// addedLatency is the latency before the spike in excess of the target's service time.
	addedLatency quantiles
	// fairness is Jain's index over tenants of look-ups served in the spike; floodFraction is the flooding tenant's fraction.
	fairness, floodFraction float64
	// runs counts runs started by targets, wasted those without a response within the deadline,
	// and repeated the writes run more than once.
	runs, wasted, repeated int
	// goodputRecovery and latencyRecovery are the times from the spike's end until goodput, and
	// goodput together with p99, recover; negative if they don't within the run.
	goodputRecovery, latencyRecovery time.Duration
	timeline                         []point
}

// point is one second of a run.
type point struct {
	at time.Duration
	// share is the goodput of each class as a fraction of the capacity.
	share [classes]float64
	good  int
	p99   time.Duration
	// first and retries count first attempts and retries due in that second.
	first, retries int
	// firstServed counts the first attempts that were served within the deadline.
	firstServed int
}

// figures evaluates the samples of one run.
type figures struct {
	shape     shape
	timetable timetable
	capacity  capacity
	samples   []sample
	runs      map[string]int
}

func (f figures) report(policy string, busy [phases]float64) Report {
	r := Report{policy: policy, busy: busy, timeline: f.timeline()}
	for p := before; p < phases; p++ {
		r.rows = append(r.rows, f.row(p, "all", func(class) bool { return true }))
		for c := range classes {
			r.rows = append(r.rows, f.row(p, f.shape.className(c), func(other class) bool { return c == other }))
		}
	}
	r.lag, r.addedLatency = f.lag(), f.addedLatency()
	r.fairness, r.floodFraction = f.fairness()
	r.goodputRecovery, r.latencyRecovery = f.recovery(r.timeline)
	f.countRuns(&r)
	return r
}

func (f figures) row(p phase, name string, includes func(class) bool) Row {
	row := Row{phase: p, class: name}
	from, to := f.timetable.begin(p), f.timetable.begin(p+1)
	var latencies, refusals []time.Duration
	good := 0
	for _, s := range f.samples {
		if !includes(s.arrival.class) {
			continue
		}
		if s.outcome == served && from <= s.done && s.done < to {
			good++
		}
		if s.arrival.phase != p {
			continue
		}
		row.count(s)
		switch s.outcome {
		case served:
			latencies = append(latencies, s.latency())
		case refused:
			refusals = append(refusals, s.latency())
		default:
		}
	}
	row.goodput = float64(good) / f.capacity.between(from, to)
	row.served, row.refused = quantilesOf(latencies), quantilesOf(refusals)
	return row
}

// count adds one attempt. A retry replaces the refusal that preceded it.
func (r *Row) count(s sample) {
	if s.retry {
		r.byOutcome[refused]--
	} else {
		r.offered++
	}
	r.byOutcome[s.outcome]++
	if s.retry && s.outcome == served {
		r.servedOnRetry++
	}
	if s.retryAfterEnd {
		r.retryAfterEnd++
	}
}

// lag covers all phases and omits dropped attempts.
func (f figures) lag() quantiles {
	var list []time.Duration
	for _, s := range f.samples {
		if s.outcome != dropped {
			list = append(list, s.began-s.due)
		}
	}
	return quantilesOf(list)
}

func (f figures) addedLatency() quantiles {
	var list []time.Duration
	for _, s := range f.samples {
		if s.arrival.phase == before && s.outcome == served && s.serviceTime > 0 {
			list = append(list, s.done-s.lastTry-s.serviceTime)
		}
	}
	return quantilesOf(list)
}

// fairness returns Jain's index over tenants of look-ups served in the spike, and the flooding tenant's fraction.
func (f figures) fairness() (index, flood float64) {
	counts := make([]int, tenants)
	for _, s := range f.samples {
		inSpike := s.done >= f.timetable.begin(spike) && s.done < f.timetable.begin(after)
		if inSpike && s.arrival.phase == spike && s.arrival.class == read && s.outcome == served {
			counts[s.arrival.tenant]++
		}
	}
	sum := 0
	for _, n := range counts {
		sum += n
	}
	if sum == 0 {
		return 0, 0
	}
	return jainIndex(counts), float64(counts[0]) / float64(sum)
}

// jainIndex returns Jain's fairness index: 1 if all counts are equal, 1/n if all but one are zero.
func jainIndex(counts []int) float64 {
	var sum, squares float64
	for _, n := range counts {
		sum += float64(n)
		squares += float64(n) * float64(n)
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(counts)) * squares)
}

const timelineStep = time.Second

func (f figures) timeline() []point {
	points := make([]point, f.timetable.begin(phases)/timelineStep)
	latencies := make([][]time.Duration, len(points))
	for _, s := range f.samples {
		if due := int(s.due / timelineStep); due < len(points) {
			points[due].countAttempt(s)
		}
		at := int(s.done / timelineStep)
		if s.outcome != served || at < 0 || at >= len(points) {
			continue
		}
		points[at].good++
		points[at].share[s.arrival.class]++
		latencies[at] = append(latencies[at], s.latency())
	}
	for i := range points {
		points[i].at = time.Duration(i) * timelineStep
		points[i].p99 = quantilesOf(latencies[i]).p99
		for c := range points[i].share {
			points[i].share[c] /= f.capacity.between(points[i].at, points[i].at+timelineStep)
		}
	}
	return points
}

func (p *point) countAttempt(s sample) {
	if s.retry {
		p.retries++
		return
	}
	p.first++
	if s.outcome == served {
		p.firstServed++
	}
}

// recoveryTolerance is the relative deviation from the usual goodput and p99 that still counts as recovered.
const recoveryTolerance = 0.1

// recovery returns the times from the spike's end to the first two consecutive seconds with
// recovered goodput, and with recovered goodput and p99.
func (f figures) recovery(points []point) (goodput, latency time.Duration) {
	var good, p99 float64
	n := 0.0
	for _, p := range points {
		if p.at >= f.timetable.begin(before) && p.at+timelineStep <= f.timetable.begin(spike) {
			good += float64(p.good)
			p99 += p.p99.Seconds()
			n++
		}
	}
	usualGood, usualP99 := good/n, p99/n
	end := f.timetable.begin(after)
	isGood := func(p point) bool { return float64(p.good) >= usualGood*(1-recoveryTolerance) }
	goodput = firstTwoConsecutive(points, end, isGood)
	latency = firstTwoConsecutive(points, end, func(p point) bool {
		return isGood(p) && p.p99.Seconds() <= usualP99*(1+recoveryTolerance)
	})
	return goodput, latency
}

// firstTwoConsecutive returns the time from end to the first of two consecutive points for which holds
// is true, or a negative value if there are none.
func firstTwoConsecutive(points []point, end time.Duration, holds func(point) bool) time.Duration {
	for i := 1; i < len(points); i++ {
		if points[i-1].at >= end && holds(points[i-1]) && holds(points[i]) {
			return points[i-1].at - end
		}
	}
	return -1
}

func (f figures) countRuns(r *Report) {
	inTime := 0
	for _, s := range f.samples {
		if s.outcome == served {
			inTime++
		}
	}
	for mark, n := range f.runs {
		r.runs += n
		if n > 1 && mark[1] == '0'+byte(write) {
			r.repeated++
		}
	}
	r.wasted = r.runs - inTime
}
