package bfspike

import (
	"slices"
	"time"
)

// capacity is how many requests a second the slots serve, before and after the fault.
type capacity struct {
	faultAt       time.Duration
	before, after float64
}

// between is how many requests the slots serve in a part of the run.
func (c capacity) between(from, to time.Duration) float64 {
	edge := min(max(c.faultAt, from), to)
	return c.before*(edge-from).Seconds() + c.after*(to-edge).Seconds()
}

// quantiles of durations.
type quantiles struct{ p50, p99, p999 time.Duration }

func quantilesOf(list []time.Duration) quantiles {
	if len(list) == 0 {
		return quantiles{}
	}
	slices.Sort(list)
	at := func(permille int) time.Duration { return list[min(len(list)*permille/1000, len(list)-1)] }
	return quantiles{p50: at(500), p99: at(990), p999: at(999)}
}

// Row is the figures of one class in one phase.
type Row struct {
	phase phase
	class string
	// offered counts callers who came in the phase; the rest is by the callers' ends.
	offered int
	// ends counts the callers by the end of their last sending.
	ends [outcomes]int
	// servedAgain counts callers served when they came back.
	servedAgain int
	// noReturn counts callers who were told to come back after the end of the run.
	noReturn int
	// goodput is answers in time that came in the phase, as a share of all slots' capacity.
	goodput float64
	served  quantiles
	// told is how long until callers were told of a refusal.
	told quantiles
}

// Report is one policy's figures.
type Report struct {
	policy string
	rows   []Row
	busy   [phases]float64
	// lag is how late callers began to send: the load maker's own fault.
	lag quantiles
	// added is latency beyond the target's own time, before the spike.
	added quantiles
	// fairness is Jain's index of look-ups served by tenant in the spike; flood is the flooding tenant's share of them.
	fairness, flood float64
	// runs are begun by targets, wasted those without an answer in time, and repeated the writes run more than once.
	runs, wasted, repeated int
	// goodputBack and latencyBack are how long after the spike's end goodput
	// and p99 are back, negative if they were not in the run.
	goodputBack, latencyBack time.Duration
	timeline                 []point
}

// point is one second of a run.
type point struct {
	at time.Duration
	// share is goodput by class as a share of the capacity.
	share [classes]float64
	good  int
	p99   time.Duration
	// first and comers are sendings due in that second, of callers who come first and again.
	first, comers int
	// firstServed are those of first that were served in time.
	firstServed int
}

// figures works a run out.
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
	r.lag, r.added = f.lag(), f.added()
	r.fairness, r.flood = f.fairness()
	r.goodputBack, r.latencyBack = f.recovery(r.timeline)
	f.countRuns(&r)
	return r
}

func (f figures) row(p phase, name string, of func(class) bool) Row {
	row := Row{phase: p, class: name}
	from, to := f.timetable.begin(p), f.timetable.begin(p+1)
	var latencies, told []time.Duration
	good := 0
	for _, s := range f.samples {
		if !of(s.arrival.class) {
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
			told = append(told, s.latency())
		default:
		}
	}
	row.goodput = float64(good) / f.capacity.between(from, to)
	row.served, row.told = quantilesOf(latencies), quantilesOf(told)
	return row
}

// count takes in one sending; a caller who came back counts by that.
func (r *Row) count(s sample) {
	if s.returned {
		r.ends[refused]--
	} else {
		r.offered++
	}
	r.ends[s.outcome]++
	if s.returned && s.outcome == served {
		r.servedAgain++
	}
	if s.noReturn {
		r.noReturn++
	}
}

// lag is over all phases.
func (f figures) lag() quantiles {
	var list []time.Duration
	for _, s := range f.samples {
		if s.outcome != dropped {
			list = append(list, s.began-s.due)
		}
	}
	return quantilesOf(list)
}

func (f figures) added() quantiles {
	var list []time.Duration
	for _, s := range f.samples {
		if s.arrival.phase == before && s.outcome == served && s.own > 0 {
			list = append(list, s.done-s.answered-s.own)
		}
	}
	return quantilesOf(list)
}

// fairness is Jain's index of the tenants' look-ups served in the spike, and the flooding tenant's share.
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
	return jain(counts), float64(counts[0]) / float64(sum)
}

// jain is 1 if all have the same, and 1/n if one has all.
func jain(counts []int) float64 {
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

const bin = time.Second

func (f figures) timeline() []point {
	points := make([]point, f.timetable.begin(phases)/bin)
	latencies := make([][]time.Duration, len(points))
	for _, s := range f.samples {
		if due := int(s.due / bin); due < len(points) {
			points[due].takeSending(s)
		}
		at := int(s.done / bin)
		if s.outcome != served || at < 0 || at >= len(points) {
			continue
		}
		points[at].good++
		points[at].share[s.arrival.class]++
		latencies[at] = append(latencies[at], s.latency())
	}
	for i := range points {
		points[i].at = time.Duration(i) * bin
		points[i].p99 = quantilesOf(latencies[i]).p99
		for c := range points[i].share {
			points[i].share[c] /= f.capacity.between(points[i].at, points[i].at+bin)
		}
	}
	return points
}

func (p *point) takeSending(s sample) {
	if s.returned {
		p.comers++
		return
	}
	p.first++
	if s.outcome == served {
		p.firstServed++
	}
}

// back is the share of the usual goodput, and of p99 above it, that counts as recovered.
const back = 0.1

// recovery is how long after the spike's end two seconds in a row are back.
func (f figures) recovery(points []point) (goodput, latency time.Duration) {
	var good, p99 float64
	n := 0.0
	for _, p := range points {
		if p.at >= f.timetable.begin(before) && p.at+bin <= f.timetable.begin(spike) {
			good += float64(p.good)
			p99 += p.p99.Seconds()
			n++
		}
	}
	usualGood, usualP99 := good/n, p99/n
	end := f.timetable.begin(after)
	isGood := func(p point) bool { return float64(p.good) >= usualGood*(1-back) }
	goodput = firstTwo(points, end, isGood)
	latency = firstTwo(points, end, func(p point) bool {
		return isGood(p) && p.p99.Seconds() <= usualP99*(1+back)
	})
	return goodput, latency
}

// firstTwo is how long after end the first of two points in a row that hold begins, negative if none do.
func firstTwo(points []point, end time.Duration, holds func(point) bool) time.Duration {
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
