package bfmetric

import (
	"encoding/json"
	"expvar"
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

// New makes an empty registry.
func New() *Registry {
	return &Registry{
		counters:   map[string]*Counter{},
		gauges:     map[string]func() int64{},
		histograms: map[string]*Family{},
	}
}

// Publish shows the registry under name at /debug/vars; expvar allows each name once a process.
func (r *Registry) Publish(name string) { expvar.Publish(name, expvar.Func(r.snapshot)) }

// Counter is a count that only grows.
type Counter struct{ value atomic.Int64 }

// Add adds n.
func (c *Counter) Add(n int64) { c.value.Add(n) }

// Value is the count so far.
func (c *Counter) Value() int64 { return c.value.Load() }

// Counter returns the counter of that name, made at first use.
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

// Gauge shows read's answer under name.
func (r *Registry) Gauge(name string, read func() int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gauges[name] = read
}

// Family is one measured time, with a histogram for each label.
type Family struct {
	mu     sync.Mutex
	labels map[string]*hdrhistogram.Histogram
}

// Family returns the histograms of that name, made at first use.
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
	// maxLabels bounds what callers can make a node keep: a tenant's name comes
	// from a request, and a stream of new names would grow the node's memory
	// until it is killed. Later names share the label "other".
	maxLabels    = 200
	otherLabel   = "other"
	longestMicro = int64(time.Hour / time.Microsecond)
)

// Observe records one duration under label.
func (f *Family) Observe(label string, d time.Duration) {
	micro := min(max(d.Microseconds(), 1), longestMicro)
	f.mu.Lock()
	defer f.mu.Unlock()
	histogram, found := f.labels[label]
	if !found {
		if len(f.labels) >= maxLabels {
			label = otherLabel
		}
		if histogram = f.labels[label]; histogram == nil {
			histogram = hdrhistogram.New(1, longestMicro, 2)
			f.labels[label] = histogram
		}
	}
	// The value was clamped to the histogram's range, the one thing it refuses.
	_ = histogram.RecordValue(micro)
}

// Quantile is the duration below which share q (0 to 1) of label's observations lie.
func (f *Family) Quantile(label string, q float64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if histogram, found := f.labels[label]; found {
		return time.Duration(histogram.ValueAtQuantile(q*100)) * time.Microsecond
	}
	return 0
}

// summary is the form of one histogram at /debug/vars; times are microseconds.
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

// MarshalJSON gives what /debug/vars shows.
func (r *Registry) MarshalJSON() ([]byte, error) { return json.Marshal(r.snapshot()) }
