package bfemulator

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bilberryflow.org/lib/bfquarantine"
)

// longestMicro bounds the times that are told apart.
const longestMicro = int64(time.Minute / time.Microsecond)

// tick is the span by which requests and repeats are counted.
const tick = 100 * time.Millisecond

// Outcomes are what became of the callers of a class.
type Outcomes struct {
	// Callers came; InTime, Late, Refused and Failed of them were answered within their
	// objective, after it, not run at all, or failed at a target.
	Callers, InTime, Late, Refused, Failed int
	// Held is how often one of their requests was refused since targets had ended under it.
	Held int
	// Times are those from a caller's first attempt to its answer, in microseconds.
	Times *hdrhistogram.Histogram
}

// Report is what came of a load.
type Report struct {
	load    Load
	classes []Outcomes
	// Asks is how often a target was asked, FarAsks how often one of another domain,
	// Arrivals how many requests reached a target.
	Asks, FarAsks, Arrivals int
	// ends are the times at which each content ended a target, from the start.
	ends map[bfquarantine.Content][]time.Duration
	// requests and repeats are counted by service and tick.
	requests, repeats []map[int]int
}

func newReport(load Load) *Report {
	r := &Report{load: load, classes: make([]Outcomes, len(load.Classes)), ends: map[bfquarantine.Content][]time.Duration{}}
	for i := range r.classes {
		r.classes[i].Times = hdrhistogram.New(1, longestMicro, 2)
	}
	for range load.Services {
		r.requests = append(r.requests, map[int]int{})
		r.repeats = append(r.repeats, map[int]int{})
	}
	return r
}

func (r *Report) count(in []map[int]int, service int, at time.Duration) { in[service][int(at/tick)]++ }

func (r *Report) served(class int, took, objective time.Duration) {
	o := &r.classes[class]
	// The time was clamped to the histogram's range, the one thing it refuses.
	_ = o.Times.RecordValue(min(max(took.Microseconds(), 1), longestMicro))
	if took <= objective {
		o.InTime++
		return
	}
	o.Late++
}

func (r *Report) gaveUp(class int, failed bool) {
	if failed {
		r.classes[class].Failed++
		return
	}
	r.classes[class].Refused++
}

// Ends is how many targets were ended by requests.
func (r *Report) Ends() (sum int) {
	for _, times := range r.ends {
		sum += len(times)
	}
	return sum
}

// LateEnds is the largest number of targets that one request ended later than a time after
// it had ended as many as crashes.
func (r *Report) LateEnds(crashes int, after time.Duration) (most int) {
	for _, times := range r.ends {
		late := 0
		for _, at := range times[min(crashes, len(times)):] {
			if at > times[crashes-1]+after {
				late++
			}
		}
		most = max(most, late)
	}
	return most
}

// Outcomes are those of a class.
func (r *Report) Outcomes(class string) Outcomes {
	if at := r.load.class(class); at >= 0 {
		return r.classes[at]
	}
	return Outcomes{}
}

// Share is the part of a class's callers that were answered in time.
func (o Outcomes) Share() float64 { return float64(o.InTime) / float64(max(o.Callers, 1)) }

// Repeats is how many repeats a service got.
func (r *Report) Repeats(service string) (sum int) {
	if at := r.load.service(service); at >= 0 {
		for _, n := range r.repeats[at] {
			sum += n
		}
	}
	return sum
}

// Excess is by how many repeats the worst window of a service has more than the terms
// allow, below 0 for less: the requests of the window count, or those of the window
// before it or half before it, whichever has most.
func (r *Report) Excess(service string) float64 {
	at := r.load.service(service)
	if at < 0 {
		return 0
	}
	length := int(r.load.Repeats.Window.Std() / tick)
	last := int(r.load.Length.Std()/tick) + length
	worst := -r.load.Repeats.Slack
	for from := -length; from <= last; from++ {
		requests := max(r.sum(r.requests[at], from, length), r.sum(r.requests[at], from-length, length), r.sum(r.requests[at], from-length/2, length))
		repeats := r.sum(r.repeats[at], from, length)
		worst = max(worst, float64(repeats)-r.load.Repeats.Ratio*float64(requests)-r.load.Repeats.Slack)
	}
	return worst
}

func (r *Report) sum(ticks map[int]int, from, length int) (sum int) {
	for at := from; at < from+length; at++ {
		sum += ticks[at]
	}
	return sum
}

// Head is the row above those of WriteRows, in CSV.
var Head = []string{"field", "value", "seed", "class", "callers", "in_time", "late", "refused", "failed", "p50_ms", "p99_ms", "asks", "far_asks", "repeats", "excess"}

// Rows gives a row for each class whose callers came, as Head has it.
func (r *Report) Rows(field, value string) (rows [][]string) {
	for i, o := range r.classes {
		if o.Callers == 0 {
			continue
		}
		c := r.load.Classes[i]
		share := func(n int) string { return fmt.Sprintf("%.4f", float64(n)/float64(o.Callers)) }
		milli := func(q float64) string { return strconv.FormatInt(o.Times.ValueAtQuantile(q)/1000, 10) }
		rows = append(rows, []string{
			field, value, strconv.FormatUint(r.load.Seed, 10), c.Name, strconv.Itoa(o.Callers),
			share(o.InTime), share(o.Late), share(o.Refused), share(o.Failed), milli(50), milli(99),
			strconv.Itoa(r.Asks), strconv.Itoa(r.FarAsks), strconv.Itoa(r.Repeats(c.Service)), fmt.Sprintf("%.0f", r.Excess(c.Service)),
		})
	}
	return rows
}

// WriteServices writes a line for each service: its repeats, and the worst window of them.
func (r *Report) WriteServices(out io.Writer) {
	for _, s := range r.load.Services {
		fmt.Fprintf(out, "%s: %d repeats, worst window %.0f above what the terms allow\n", s.Name, r.Repeats(s.Name), r.Excess(s.Name))
	}
}
