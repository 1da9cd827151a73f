package bfmetric

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against memory growth by clients that send ever new tenant names, and against
// observations lost to the label limit.
func TestLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	family := New().Family("latency")
	const tenants = 5_000
	for i := range tenants {
		family.Observe(fmt.Sprint("tenant", i), time.Millisecond)
	}
	family.Observe("tenant7", time.Millisecond)
	all := family.summaries()
	is.True(len(all) <= maxLabels+1)
	is.Equal(all["tenant7"].Count, int64(2))
	total := int64(0)
	for _, s := range all {
		total += s.Count
	}
	is.Equal(total, int64(tenants+1))
}

// Guards against durations out of a histogram's range being dropped instead of clamped.
func TestObserveClampsDurations(t *testing.T) {
	is := is.New(t)
	family := New().Family("latency")
	for _, d := range []time.Duration{-time.Hour, 0, time.Nanosecond, 24 * time.Hour, 1<<63 - 1} {
		family.Observe("a", d)
	}
	is.Equal(family.summaries()["a"].Count, int64(5))
	is.Equal(family.Quantile("a", 0), time.Microsecond)
	is.True(family.Quantile("a", 1) >= 59*time.Minute)
	is.Equal(family.Quantile("nobody", 0.5), time.Duration(0))
}

// Guards against lost updates and data races while metrics are created, updated and read
// concurrently.
func TestConcurrentUse(t *testing.T) {
	is := is.New(t)
	registry := New()
	registry.Gauge("one", func() int64 { return 1 })
	const workers, each = 8, 500
	var wait sync.WaitGroup
	for range workers {
		wait.Go(func() {
			for i := range each {
				registry.Counter(fmt.Sprint("c", i%3)).Add(1)
				registry.Family(fmt.Sprint("f", i%3)).Observe(fmt.Sprint("t", i%5), time.Duration(i)*time.Microsecond)
				if i%100 == 0 {
					_, err := json.Marshal(registry)
					is.NoErr(err)
				}
			}
		})
	}
	wait.Wait()
	total := int64(0)
	for i := range 3 {
		total += registry.Counter(fmt.Sprint("c", i)).Value()
	}
	is.Equal(total, int64(workers*each))
	data, err := json.Marshal(registry)
	is.NoErr(err)
	var page map[string]any
	is.NoErr(json.Unmarshal(data, &page))
	is.Equal(len(page), 7)
}

// Guards against a page whose first kilobytes are the Go runtime's statistics: a collector that
// truncates it would store none of the program's own metrics.
func TestOwnVariablesComeFirst(t *testing.T) {
	is := is.New(t)
	registry := New()
	registry.Gauge("answer", func() int64 { return 42 })
	registry.Publish("testprogram")
	recorder := httptest.NewRecorder()
	Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/debug/vars", nil))
	page := recorder.Body.String()
	var decoded map[string]json.RawMessage
	is.NoErr(json.Unmarshal([]byte(page), &decoded))
	is.True(len(decoded["memstats"]) > 0)
	is.True(strings.Index(page, `"answer"`) < strings.Index(page, `"cmdline"`))
	is.True(strings.Index(page, `"answer"`) < strings.Index(page, `"memstats"`))
}
