package bfrecord

import (
	"runtime"
	"strconv"
	"testing"
	"time"
)

// entryNodes is the number of entry nodes that send requests to the home.
const entryNodes = 1000

func benchmarkMinters() []*Minter {
	minters := make([]*Minter, entryNodes)
	for i := range minters {
		minters[i] = NewMinter(NodeIncarnation{Instance: "portal-core-" + strconv.Itoa(i), Incarnation: 1})
	}
	return minters
}

// BenchmarkBeginFinish measures recording one request, with the record limit reached.
func BenchmarkBeginFinish(b *testing.B) {
	tracker := NewTracker(home1, DefaultLimits())
	minters := benchmarkMinters()
	now := start
	answer := NewWholeAnswer(200, nil, make([]byte, 200))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(4 * time.Millisecond)
		id := minters[i%entryNodes].Next(now)
		tracker.Begin(now, request(id, home1))
		if err := tracker.Finish(now, id, answer); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkShardedBeginFinish measures recording requests concurrently on all cores.
func BenchmarkShardedBeginFinish(b *testing.B) {
	tracker := NewShardedTracker(home1, DefaultLimits(), 16)
	answer := NewWholeAnswer(200, nil, make([]byte, 200))
	minters := benchmarkMinters()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			now := start.Add(time.Duration(i) * time.Millisecond)
			id := minters[i%entryNodes].Next(now)
			tracker.Begin(now, request(id, home1))
			if err := tracker.Finish(now, id, answer); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkRecordBytes measures memory per record at the record limit, with dropped answers and with 200-byte bodies.
func BenchmarkRecordBytes(b *testing.B) {
	for name, size := range map[string]int{"dropped": 0, "body200": 200} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(bytesPerRecord(b, size), "B/record")
			}
		})
	}
}

func bytesPerRecord(b *testing.B, size int) float64 {
	var before, after runtime.MemStats
	limits := DefaultLimits()
	minters := benchmarkMinters()
	runtime.GC()
	runtime.ReadMemStats(&before)
	tracker := NewTracker(home1, limits)
	for i := range limits.Records {
		id := minters[i%entryNodes].Next(start)
		// Each decoded message has its own copy of the instance name.
		id.Entry.Instance = string([]byte(id.Entry.Instance))
		tracker.Begin(start, request(id, home1))
		var answer Answer = NewDroppedAnswer(200)
		if size > 0 {
			answer = NewWholeAnswer(200, nil, make([]byte, size))
		}
		if err := tracker.Finish(start, id, answer); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	defer runtime.KeepAlive(tracker)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(limits.Records)
}
