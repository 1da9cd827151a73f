package bfcontrol

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfmember"
)

// memberRow is a member of a fleet as large as the letter's: 10 regions, 26 domains, 810 services.
func memberRow(i int) bfmember.Row {
	domain := i % 26
	return bfmember.Row{
		ID: fmt.Sprintf("instance-%05d", i), Region: fmt.Sprintf("r%d", domain%10), Domain: fmt.Sprintf("d%d", domain),
		Service: fmt.Sprintf("service-%03d", i%810), Peer: fmt.Sprintf("10.%d.%d.%d:7803", i>>16, i>>8&255, i&255),
		Inbound:     fmt.Sprintf("10.%d.%d.%d:7801", i>>16, i>>8&255, i&255),
		Incarnation: 1_800_000_000_000_000 + uint64(i), Target: bfmember.TargetReady, Slots: 12,
	}
}

// inFleet is a Control that has joined a fleet of n, with its gate open.
func inFleet(tb testing.TB, now time.Time, n int) *Control {
	c := settled(tb, now)
	for i := 1; i < n; i += 500 {
		repair := bfmember.Repair{Self: memberRow(1)}
		for j := i; j < min(i+500, n); j++ {
			repair.Rows = append(repair.Rows, memberRow(j))
		}
		c.dispatch(now, memberRow(1).Peer, repair)
	}
	c.after(now)
	c.shareNow(now)
	is.New(tb).Equal(c.Order().Len(), n)
	return c
}

// change dispatches news of one member's target.
func (c *Control) change(now time.Time, i int, sequence uint64) {
	row := memberRow(i)
	row.Sequence, row.Slots = sequence, uint32(sequence)
	c.dispatch(now, memberRow(1).Peer, bfmember.Repair{Self: memberRow(1), Rows: []bfmember.Row{row}})
}

var sizes = []int{1_000, 5_000, 25_000}

// BenchmarkShare is one changed member, shared with the request path and recovery.
func BenchmarkShare(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			c := inFleet(b, now, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(10 * time.Second)
				c.change(now, 2+i%(n-2), uint64(i+1))
				c.after(now)
			}
		})
	}
}

// BenchmarkChange is one changed member of many in an instant: it waits for the next share.
func BenchmarkChange(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			c := inFleet(b, now, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c.change(now, 2+i%(n-2), uint64(i+1))
				c.after(now)
			}
		})
	}
}

// BenchmarkDirectory is the part of a share that the request path needs.
func BenchmarkDirectory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			c := inFleet(b, now, n)
			b.ReportAllocs()
			for b.Loop() {
				c.swapDirectory(now, c.share.order)
			}
		})
	}
}

// BenchmarkMemory reports what a Control keeps, after a garbage collection.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ members, objects int }{{1_000, 0}, {5_000, 0}, {25_000, 0}, {25_000, 5_000}} {
		b.Run(fmt.Sprintf("%dmembers%dobjects", size.members, size.objects), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				c := inFleet(b, time.Unix(1_800_000_000, 0), size.members)
				if size.objects > 0 {
					state := largeState(b, size.objects)
					c.held(time.Unix(1_800_000_000, 0), state)
					c.enforce(time.Unix(1_800_000_000, 0), state)
				}
				b.ReportMetric(float64(heap()-before)/(1<<20), "MiB")
				runtime.KeepAlive(c)
			}
		})
	}
}

func heap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// largeState has services, policies and routes in equal parts.
func largeState(tb testing.TB, objects int) *bfconfig.State {
	var ops []bfconfig.Op
	for i := range objects / 3 {
		service, policy := fmt.Sprintf("service-%d", i), fmt.Sprintf("policy-%d", i)
		ops = append(ops,
			bfconfig.Put{Object: bfconfig.ServiceSpec{Name: service, Slots: 12, ColdStart: time.Minute}},
			bfconfig.Put{Object: bfconfig.PolicySpec{Name: policy, Class: "look-up", Deadline: time.Second, Queue: 20, RetryPercent: 10}},
			bfconfig.Put{Object: bfconfig.RouteSpec{Name: fmt.Sprintf("route-%d", i), Prefix: fmt.Sprintf("/r%d", i), Service: service, Policy: policy}},
		)
	}
	state, _, err := bfconfig.Empty().Propose(bfconfig.NewChange("c", "anna", time.Unix(1e9, 0), ops))
	is.New(tb).NoErr(err)
	return state
}

// The members of a lost domain come one by one within an instant. Each goes to
// the spreader, and to the request path and recovery together with those after
// it: the directory of the fleet must not be made a thousand times in a second.
func TestChangesAreSharedTogether(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	c := inFleet(t, now, 300)
	now = now.Add(time.Minute)
	c.change(now, 2, 1)
	c.after(now)
	member, _ := c.parts.Directory.Member(memberRow(2).ID)
	is.Equal(member.Target.Slots, 1) // after a quiet time at once
	for i := 3; i < 200; i++ {
		c.change(now, i, 1)
		c.after(now)
	}
	member, _ = c.parts.Directory.Member(memberRow(3).ID)
	is.Equal(member.Target.Slots, 12)
	is.Equal(c.share.next(), now.Add(shareInterval))
	c.after(now.Add(shareInterval))
	member, _ = c.parts.Directory.Member(memberRow(199).ID)
	is.Equal(member.Target.Slots, 1)
	is.True(c.share.next().IsZero())
}

// Members come and go for months, each under a new name. What a node keeps of
// those it heard from must not grow with them, or it is killed for its memory.
func TestForgetsMembersThatAreGone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	c := inFleet(t, now, 20)
	for i := 1; i < 20; i++ {
		c.dispatch(now, memberRow(i).Peer, bfmember.Probe{From: memberRow(i).Key().Hash, Nonce: 1, Advert: bfmember.Advert{Version: 1}})
		cold := memberRow(i)
		cold.Sequence, cold.Target = 1, bfmember.TargetCold
		c.dispatch(now, memberRow(i).Peer, bfmember.Repair{Self: cold})
	}
	c.after(now)
	c.shareNow(now)
	is.Equal(len(c.share.cold), 19)
	c.dispatch(now, "10.9.9.9:1", bfmember.Probe{From: 12345, Nonce: 1})
	is.Equal(len(c.heard), 19)
	for i := 10; i < 20; i++ {
		gone := memberRow(i)
		gone.Sequence, gone.State = 1, bfmember.Left
		c.dispatch(now, memberRow(1).Peer, bfmember.Repair{Self: memberRow(1), Rows: []bfmember.Row{gone}})
	}
	c.after(now)
	c.shareNow(now)
	is.True(len(c.heard) <= 10)
	is.Equal(len(c.share.cold), 9)
	is.Equal(len(c.peers), 10)
}
