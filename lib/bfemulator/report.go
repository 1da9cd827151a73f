package bfemulator

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bilberryflow.org/lib/bfquarantine"
)

// maxLatencyMicros is the highest latency that the histograms resolve, in microseconds.
const maxLatencyMicros = int64(time.Minute / time.Microsecond)

// countInterval is the width of the intervals in which requests and repeats are counted.
const countInterval = 100 * time.Millisecond

// Outcomes counts the results of the callers of a class.
type Outcomes struct {
	// Callers is the number of callers: InTime were answered within their objective, Late
	// after it, Refused were never run, Failed failed at a target.
	Callers, InTime, Late, Refused, Failed int
	// Quarantined is the number of refusals of requests that had crashed targets.
	Quarantined int
	// Times holds the latencies from a caller's first attempt to its answer, in microseconds.
	Times *hdrhistogram.Histogram
}

// Report holds the results of a simulation.
type Report struct {
	load    Load
	classes []Outcomes
	// Attempts is the number of requests sent to a node, CrossDomainAttempts of those to
	// another failure domain, Arrivals of requests that reached a target.
	Attempts, CrossDomainAttempts, Arrivals int
	// crashTimes are the times since the start at which each request content crashed a target.
	crashTimes map[bfquarantine.Content][]time.Duration
	// limited holds, by target, the arrivals while it named a limit.
	limited map[targetIndex][]limitedArrival
	// ArrivalsAtLeaving is the number of requests that reached targets while they said that they leave.
	ArrivalsAtLeaving int
	// requests and repeats are counts by service and interval.
	requests, repeats []map[int]int
}

func newReport(load Load) *Report {
	r := &Report{load: load, classes: make([]Outcomes, len(load.Classes)), crashTimes: map[bfquarantine.Content][]time.Duration{}, limited: map[targetIndex][]limitedArrival{}}
	for i := range r.classes {
		r.classes[i].Times = hdrhistogram.New(1, maxLatencyMicros, 2)
	}
	for range load.Services {
		r.requests = append(r.requests, map[int]int{})
		r.repeats = append(r.repeats, map[int]int{})
	}
	return r
}

func (r *Report) count(counts []map[int]int, service int, at time.Duration) {
	counts[service][int(at/countInterval)]++
}

func (r *Report) recordServed(class int, took, objective time.Duration) {
	o := &r.classes[class]
	// RecordValue fails only for values out of range, and this one is clamped.
	_ = o.Times.RecordValue(min(max(took.Microseconds(), 1), maxLatencyMicros))
	if took <= objective {
		o.InTime++
		return
	}
	o.Late++
}

func (r *Report) recordUnanswered(class int, failed bool) {
	if failed {
		r.classes[class].Failed++
		return
	}
	r.classes[class].Refused++
}

// Crashes is the number of targets that requests crashed.
func (r *Report) Crashes() (sum int) {
	for _, times := range r.crashTimes {
		sum += len(times)
	}
	return sum
}

// MaxLateCrashes returns, as the maximum over all request contents, how many targets one
// content crashed later than grace after its crash number threshold.
func (r *Report) MaxLateCrashes(threshold int, grace time.Duration) (most int) {
	for _, times := range r.crashTimes {
		late := 0
		for _, at := range times[min(threshold, len(times)):] {
			if at > times[threshold-1]+grace {
				late++
			}
		}
		most = max(most, late)
	}
	return most
}

// Outcomes returns the outcomes of a class, or zeros for an unknown one.
func (r *Report) Outcomes(class string) Outcomes {
	if at := r.load.classIndex(class); at >= 0 {
		return r.classes[at]
	}
	return Outcomes{}
}

// InTimeShare is the share of callers that were answered in time, from 0 to 1.
func (o Outcomes) InTimeShare() float64 { return float64(o.InTime) / float64(max(o.Callers, 1)) }

// Repeats is the number of repeats that a service received.
func (r *Report) Repeats(service string) (sum int) {
	if at := r.load.serviceIndex(service); at >= 0 {
		for _, n := range r.repeats[at] {
			sum += n
		}
	}
	return sum
}

// BudgetExcess is the number of repeats above the retry budget in the worst window of a
// service; negative if every window is within it. The budget is computed from the largest
// request count of three windows: the same one, the one before, and one half a window earlier.
func (r *Report) BudgetExcess(service string) float64 {
	at := r.load.serviceIndex(service)
	if at < 0 {
		return 0
	}
	length := int(r.load.Repeats.Window.Std() / countInterval)
	last := int(r.load.Length.Std()/countInterval) + length
	worst := -r.load.Repeats.Slack
	for from := -length; from <= last; from++ {
		requests := max(r.sum(r.requests[at], from, length), r.sum(r.requests[at], from-length, length), r.sum(r.requests[at], from-length/2, length))
		repeats := r.sum(r.repeats[at], from, length)
		worst = max(worst, float64(repeats)-r.load.Repeats.Ratio*float64(requests)-r.load.Repeats.Slack)
	}
	return worst
}

func (r *Report) sum(counts map[int]int, from, length int) (sum int) {
	for at := from; at < from+length; at++ {
		sum += counts[at]
	}
	return sum
}

// CSVHeader names the columns of Rows.
var CSVHeader = []string{"field", "value", "seed", "class", "callers", "in_time", "late", "refused", "failed", "p50_ms", "p99_ms", "asks", "far_asks", "repeats", "excess"}

// Rows returns a row for each class that had callers, with the columns of Head.
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
			strconv.Itoa(r.Attempts), strconv.Itoa(r.CrossDomainAttempts), strconv.Itoa(r.Repeats(c.Service)), fmt.Sprintf("%.0f", r.BudgetExcess(c.Service)),
		})
	}
	return rows
}

// WriteServices writes a line for each service: its repeats and its BudgetExcess.
func (r *Report) WriteServices(out io.Writer) {
	for _, s := range r.load.Services {
		fmt.Fprintf(out, "%s: %d repeats, worst window %.0f above the retry budget\n", s.Name, r.Repeats(s.Name), r.BudgetExcess(s.Name))
	}
}
