package bfmetric

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Registry holds the metrics of one process.
type Registry struct {
	mu         sync.RWMutex
	counters   map[string]*Counter
	gauges     map[string]func() int64
	histograms map[string]*Family
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		counters:   map[string]*Counter{},
		gauges:     map[string]func() int64{},
		histograms: map[string]*Family{},
	}
}

// Publish exposes the registry under name at /debug/vars. It panics if name is already published.
func (r *Registry) Publish(name string) { expvar.Publish(name, expvar.Func(r.snapshot)) }

// Handler serves all published variables as JSON, those of the Go runtime last: they take several
// kilobytes, and a reader that truncates the page would see nothing else.
func Handler() http.Handler { return http.HandlerFunc(servePublished) }

func servePublished(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	var own, runtime []string
	expvar.Do(func(v expvar.KeyValue) {
		line := fmt.Sprintf("%q: %s", v.Key, v.Value)
		if v.Key == "memstats" || v.Key == "cmdline" {
			runtime = append(runtime, line)
		} else {
			own = append(own, line)
		}
	})
	// A client that is gone needs no page.
	_, _ = fmt.Fprintf(w, "{\n%s\n}\n", strings.Join(append(own, runtime...), ",\n"))
}

// Counter is a monotonic counter.
type Counter struct{ value atomic.Int64 }

// Add increments the counter by n.
func (c *Counter) Add(n int64) { c.value.Add(n) }

// Value returns the current count.
func (c *Counter) Value() int64 { return c.value.Load() }

// Counter returns the counter called name, and creates it on first use.
func (r *Registry) Counter(name string) *Counter {
	r.mu.Lock()
	defer r.mu.Unlock()
	if counter, found := r.counters[name]; found {
		return counter
	}
	counter := &Counter{}
	r.counters[name] = counter
	return counter
}

// Gauge registers a gauge called name, whose value is read at each snapshot.
func (r *Registry) Gauge(name string, read func() int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gauges[name] = read
}

// Family is a set of latency histograms, one for each label.
type Family struct {
	mu     sync.Mutex
	labels map[string]*hdrhistogram.Histogram
}

// Family returns the histogram family called name, and creates it on first use.
func (r *Registry) Family(name string) *Family {
	r.mu.Lock()
	defer r.mu.Unlock()
	if family, found := r.histograms[name]; found {
		return family
	}
	family := &Family{labels: map[string]*hdrhistogram.Histogram{}}
	r.histograms[name] = family
	return family
}

const (
	// maxLabels limits memory: labels such as tenant names come from requests, and a client
	// could send ever new ones. Labels above the limit share the label "other".
	maxLabels  = 200
	otherLabel = "other"
	maxMicros  = int64(time.Hour / time.Microsecond)
)

// Observe records a duration under label, clamped to between 1 µs and 1 h.
func (f *Family) Observe(label string, d time.Duration) {
	micro := min(max(d.Microseconds(), 1), maxMicros)
	f.mu.Lock()
	defer f.mu.Unlock()
	histogram, found := f.labels[label]
	if !found {
		if len(f.labels) >= maxLabels {
			label = otherLabel
		}
		if histogram = f.labels[label]; histogram == nil {
			histogram = hdrhistogram.New(1, maxMicros, 2)
			f.labels[label] = histogram
		}
	}
	// RecordValue fails only for values out of range, and this one is clamped.
	_ = histogram.RecordValue(micro)
}

// Quantile returns the q-quantile (0 to 1) of label's observations, or 0 for an unknown label.
func (f *Family) Quantile(label string, q float64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if histogram, found := f.labels[label]; found {
		return time.Duration(histogram.ValueAtQuantile(q*100)) * time.Microsecond
	}
	return 0
}

// summary is the JSON form of a histogram at /debug/vars; times are in microseconds.
type summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
	Max   int64 `json:"max_us"`
}

func (f *Family) summaries() map[string]summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make(map[string]summary, len(f.labels))
	for label, h := range f.labels {
		all[label] = summary{
			Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99),
			P999: h.ValueAtQuantile(99.9), Max: h.Max(),
		}
	}
	return all
}

func (r *Registry) snapshot() any {
	r.mu.RLock()
	defer r.mu.RUnlock()
	values := make(map[string]any, len(r.counters)+len(r.gauges)+len(r.histograms))
	for name, counter := range r.counters {
		values[name] = counter.Value()
	}
	for name, read := range r.gauges {
		values[name] = read()
	}
	for name, family := range r.histograms {
		values[name] = family.summaries()
	}
	return values
}

// MarshalJSON returns the same JSON that Publish exposes.
func (r *Registry) MarshalJSON() ([]byte, error) { return json.Marshal(r.snapshot()) }
