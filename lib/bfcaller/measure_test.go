package bfcaller_test

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bilberryflow.org/lib/bfforward"
)

var (
	measure = flag.Bool("measure", false, "measure the latency that the nodes add; docs/design/connections.md discusses it")
	rates   = flag.String("rates", "500,4000", "calls a second at which -measure measures")
)

// route is a way to reach a target: directly or through the nodes.
type route struct {
	name   string
	client *http.Client
	url    string
}

// routes returns routes to targets with enough slots that no request is queued.
func routes(t testing.TB) []route {
	all := []route{{name: "direct"}, {name: "http1"}, {name: "http2"}}
	for i := range all {
		c := newCluster(t, bfforward.Protocol(all[i].name), 0)
		c.direct = true
		entry, home := c.addNode("a"), c.addNode("b")
		entry.announceTarget(true) // the entry node's own target accepts no requests
		home.target.slots = 4096
		home.announceTarget(false)
		all[i].client = &http.Client{Transport: c.http.Transport}
		all[i].url = "http://" + entry.callerAddress + lookUp
		if all[i].name == "direct" {
			all[i].url = "http://" + home.target.address + lookUp
		}
		body := strings.Repeat("x", 1024)
		home.target.setHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
	}
	return all
}

func (r route) call() error {
	request, err := http.NewRequest(http.MethodGet, r.url, nil)
	if err != nil {
		return err
	}
	for _, name := range []string{"Accept", "Accept-Language", "Authorization", "X-Agency"} {
		request.Header.Set(name, "some value of a usual length")
	}
	response, err := r.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", response.StatusCode, data)
	}
	return err
}

// maxInFlight limits concurrent calls, and with them the sockets.
const maxInFlight = 128

// run calls at a fixed rate, independent of response times, and returns the sorted
// latencies, each including the wait for a free slot.
func (r route) run(t *testing.T, rate int, d time.Duration) []time.Duration {
	var mu sync.Mutex
	var latencies []time.Duration
	var calls sync.WaitGroup
	start := time.Now()
	interval := time.Second / time.Duration(rate)
	free := make(chan struct{}, maxInFlight)
	for due := start; due.Before(start.Add(d)); due = due.Add(interval) {
		time.Sleep(time.Until(due))
		begun := time.Now()
		free <- struct{}{}
		calls.Add(1)
		go func() {
			defer calls.Done()
			defer func() { <-free }()
			if err := r.call(); err != nil {
				t.Error(r.name, err)
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, time.Since(begun))
		}()
	}
	calls.Wait()
	slices.Sort(latencies)
	return latencies
}

// TestAddedLatency prints, for each route, the median of five rounds.
func TestAddedLatency(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run it with -measure")
	}
	const rounds = 5
	all := routes(t)
	for _, text := range strings.Split(*rates, ",") {
		var rate int
		if _, err := fmt.Sscan(text, &rate); err != nil {
			t.Fatal(err)
		}
		p50s, p99s := map[string][]time.Duration{}, map[string][]time.Duration{}
		for range rounds {
			for _, r := range all {
				took := r.run(t, rate, 2*time.Second)
				p50s[r.name] = append(p50s[r.name], took[len(took)/2])
				p99s[r.name] = append(p99s[r.name], took[len(took)*99/100])
			}
		}
		for _, r := range all {
			slices.Sort(p50s[r.name])
			slices.Sort(p99s[r.name])
			t.Logf("%6d/s %-7s p50 %8v p99 %8v", rate, r.name, p50s[r.name][rounds/2], p99s[r.name][rounds/2])
		}
	}
}

func cpu() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkCall includes the cost of caller and target; the cost of the nodes is the difference from direct.
func BenchmarkCall(b *testing.B) {
	for _, r := range routes(b) {
		b.Run(r.name, func(b *testing.B) {
			b.ReportAllocs()
			before := cpu()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := r.call(); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64((cpu()-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}
