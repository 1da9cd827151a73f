package bfspread

import (
	"fmt"
	"testing"
	"time"

	"bilberryflow.org/lib/bfconfig"
)

// newQuietWorld returns a world without adverts and with hardly any polls, so that
// only pushes send.
func newQuietWorld(size, fanout int) *world {
	options := FastConvergenceProfile()
	options.Fanout, options.PollRate = fanout, 0.0001
	w := newWorld(uint64(size+fanout), options, size, 26)
	w.queue, w.advertInterval, w.messages = nil, 0, 0
	return w
}

// BenchmarkSpread measures the depth, bytes and domain crossings of one push by fanout.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []int{200, 2000} {
		for _, fanout := range []int{2, 4, 8, 16} {
			b.Run(fmt.Sprintf("nodes=%d/fanout=%d", size, fanout), func(b *testing.B) {
				for b.Loop() {
					w := newQuietWorld(size, fanout)
					start := w.now
					w.commit(w.nodes[0])
					w.run(5 * time.Second)
					reportPush(b, w, start)
				}
			})
		}
	}
}

func reportPush(b *testing.B, w *world, start time.Time) {
	depth, sent, mostSent := 0, 0, 0
	last := start
	for _, n := range w.nodes {
		depth, sent, mostSent = max(depth, n.depth), sent+n.sent, max(mostSent, n.sent)
		if n.adoptedAt.After(last) {
			last = n.adoptedAt
		}
	}
	delta := len(w.deltas[w.head()])
	b.ReportMetric(float64(depth), "depth")
	b.ReportMetric(float64(last.Sub(start).Milliseconds()), "ms-to-all")
	b.ReportMetric(float64(w.nodes[0].sent), "B-origin")
	b.ReportMetric(float64(mostSent), "B-most")
	b.ReportMetric(float64(sent)/float64(len(w.nodes)), "B/node")
	b.ReportMetric(float64(sent)/float64(len(w.nodes)*delta), "x-delta")
	b.ReportMetric(float64(w.crossings), "crossings")
	b.ReportMetric(float64(w.behind()), "behind")
}

// BenchmarkSpreadUnderFaults measures the worst and the mean of ten pushes while messages are
// lost, or while one domain of 26 is down and not yet detected.
func BenchmarkSpreadUnderFaults(b *testing.B) {
	cases := []struct {
		name   string
		loss   float64
		domain int
	}{{"none", 0, -1}, {"loss=1%", 0.01, -1}, {"loss=10%", 0.1, -1}, {"domain lost", 0, 5}}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				measureFaults(b, c.loss, c.domain)
			}
		})
	}
}

func measureFaults(b *testing.B, loss float64, domain int) {
	const runs = 10
	var worst, sum time.Duration
	sent, behind := 0, 0
	for seed := range runs {
		w := newWorld(uint64(seed), FastConvergenceProfile(), 1000, 26)
		w.lossRate = loss
		for i, n := range w.nodes {
			n.down = i%26 == domain
		}
		start := w.now
		w.commit(w.nodes[0])
		w.run(20 * time.Second)
		var last time.Duration
		for _, n := range w.nodes {
			sent += n.sent
			last = max(last, n.adoptedAt.Sub(start))
		}
		worst, sum, behind = max(worst, last), sum+last, behind+w.behind()
	}
	b.ReportMetric(float64(worst.Milliseconds()), "ms-worst")
	b.ReportMetric(float64(sum.Milliseconds())/runs, "ms-mean")
	b.ReportMetric(float64(sent)/(1000*runs), "B/node")
	b.ReportMetric(float64(behind), "behind")
}

// BenchmarkSteadyChanges measures 1.1 changes per second for a minute, from random nodes, without adverts.
func BenchmarkSteadyChanges(b *testing.B) {
	for name, options := range map[string]Options{"convergence": FastConvergenceProfile(), "bytes": LowTrafficProfile()} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				w := newWorld(79, options, 400, 26)
				const changes = 66
				for range changes {
					w.commit(w.nodes[w.rng.IntN(len(w.nodes))])
					w.run(time.Minute / changes)
				}
				w.run(5 * time.Second)
				sent, pulls, deltas := 0, 0, 0
				for _, n := range w.nodes {
					sent, pulls = sent+n.sent, pulls+n.pulls
				}
				for _, data := range w.deltas {
					deltas += len(data)
				}
				b.ReportMetric(float64(sent)/float64(len(w.nodes)*60), "B/s/node")
				b.ReportMetric(float64(sent)/float64(len(w.nodes)*deltas), "x-delta")
				b.ReportMetric(float64(pulls), "pulls")
				b.ReportMetric(float64(w.behind()), "behind")
			}
		})
	}
}

// BenchmarkBaseline measures the size of the whole state, which every node would
// poll in a naive design.
func BenchmarkBaseline(b *testing.B) {
	state := bfconfig.Empty()
	var ops []bfconfig.Op
	for i := range 810 {
		name := fmt.Sprintf("service-%03d", i)
		ops = append(ops, bfconfig.Put{Object: bfconfig.ServiceSpec{Name: name, Slots: 12}})
	}
	for i := range 20 {
		ops = append(ops, bfconfig.Put{Object: bfconfig.PolicySpec{Name: fmt.Sprintf("policy-%02d", i), Class: "look-up", Deadline: time.Second}})
	}
	for i := range 2430 {
		ops = append(ops, bfconfig.Put{Object: bfconfig.RouteSpec{
			Name: fmt.Sprintf("route-%04d", i), Prefix: fmt.Sprintf("/service-%03d/%d", i%810, i/810),
			Service: fmt.Sprintf("service-%03d", i%810), Policy: fmt.Sprintf("policy-%02d", i%20),
		}})
	}
	next, _, err := state.Propose(bfconfig.NewChange("all", "lena", time.Unix(1, 0), ops))
	if err != nil {
		b.Fatal(err)
	}
	one, delta, err := next.Propose(bfconfig.NewChange("0198c0de-one", "lena", time.Unix(2, 0), ops[900:901]))
	if err != nil {
		b.Fatal(err)
	}
	data, err := delta.Encode()
	if err != nil {
		b.Fatal(err)
	}
	var size int
	for b.Loop() {
		size = len(encodeState(one))
	}
	b.ReportMetric(float64(one.Len()), "objects")
	b.ReportMetric(float64(size), "B-state")
	b.ReportMetric(float64(len(data)), "B-delta")
}

// BenchmarkCensus measures the cost of one census.
func BenchmarkCensus(b *testing.B) {
	for b.Loop() {
		w := newQuietWorld(2000, 8)
		start := w.now
		_, actions := w.nodes[0].core.Census(w.now, 5*time.Second)
		w.execute(w.nodes[0], actions)
		for w.nodes[0].tally == nil {
			w.run(time.Millisecond)
		}
		sent := 0
		for _, n := range w.nodes {
			sent += n.sent
		}
		b.ReportMetric(float64(w.now.Sub(start).Milliseconds()), "ms")
		b.ReportMetric(float64(w.messages)/float64(len(w.nodes)), "messages/node")
		b.ReportMetric(float64(sent)/float64(len(w.nodes)), "B/node")
		b.ReportMetric(float64(w.nodes[0].tally.Members()), "members")
	}
}
