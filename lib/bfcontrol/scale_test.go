package bfcontrol

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bfmember"
	"bilberryflow.org/lib/bfroster"
)

// memberRow returns the row of member i in a fleet of 10 regions, 26 failure domains and 810 services.
func memberRow(i int) bfroster.Row {
	domain := i % 26
	return bfroster.Row{
		ID: fmt.Sprintf("instance-%05d", i), Region: fmt.Sprintf("r%d", domain%10), Domain: fmt.Sprintf("d%d", domain),
		Service: fmt.Sprintf("service-%03d", i%810), Peer: fmt.Sprintf("10.%d.%d.%d:7803", i>>16, i>>8&255, i&255),
		Inbound:     fmt.Sprintf("10.%d.%d.%d:7801", i>>16, i>>8&255, i&255),
		Incarnation: 1_800_000_000_000_000 + uint64(i), Target: bfroster.TargetReady, Slots: 12,
	}
}

// newFleetControl returns an idle Control that has joined a fleet of n members, with its gate open.
func newFleetControl(tb testing.TB, now time.Time, n int) *Control {
	c := newIdleControl(tb, discardNetwork{})
	c.source.recordContact(now)
	c.activation.begin(now)
	actions := c.members.Start(now, []string{memberRow(1).Peer})
	for i := 0; ; i++ {
		request, found := pageRequest(actions)
		c.memberActions(now, actions)
		if !found {
			break
		}
		page := bfgossip.Page{Nonce: request.Nonce, More: i*500 < n}
		for j := max(1, (i-1)*500); j < min(i*500, n); j++ { // the first page is a sample
			page.Rows = append(page.Rows, memberRow(j))
		}
		if i == 0 {
			page.Rows = []bfroster.Row{memberRow(1)}
		}
		actions = c.members.Receive(now, memberRow(1).Peer, page)
	}
	c.activation.headRead(now, 0, nil)
	c.after(now)
	c.publishAll(now)
	is.New(tb).Equal(c.Order().Len(), n)
	return c
}

// publishAll publishes pending changes immediately.
func (c *Control) publishAll(now time.Time) {
	c.publication.last = time.Time{}
	c.after(now)
	c.publication.last = now
}

func pageRequest(actions []bfmember.Action) (bfgossip.PageRequest, bool) {
	for _, action := range actions {
		if send, is := action.(bfmember.Send); is {
			if request, is := send.Message.(bfgossip.PageRequest); is {
				return request, true
			}
		}
	}
	return bfgossip.PageRequest{}, false
}

// dispatchTargetChange dispatches a row with a changed target of member i.
func (c *Control) dispatchTargetChange(now time.Time, i int, sequence uint64) {
	row := memberRow(i)
	row.Sequence, row.Slots = sequence, uint32(sequence)
	c.dispatch(now, memberRow(1).Peer, bfgossip.Repair{Self: memberRow(1), Rows: []bfroster.Row{row}})
}

var fleetSizes = []int{1_000, 5_000, 25_000}

// BenchmarkPublish measures one membership change and its publication to the directory and recovery.
func BenchmarkPublish(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			c := newFleetControl(b, now, n)
			b.ReportAllocs()
			began := cpuTime()
			for i := 0; b.Loop(); i++ {
				now = now.Add(10 * time.Second)
				c.dispatchTargetChange(now, 2+i%(n-2), uint64(i+1))
				c.after(now)
			}
			b.ReportMetric(float64(cpuTime()-began)/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkMemberChange measures one membership change of many that wait for the next publication.
func BenchmarkMemberChange(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			c := newFleetControl(b, now, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c.dispatchTargetChange(now, 2+i%(n-2), uint64(i+1))
				c.after(now)
			}
		})
	}
}

// BenchmarkDirectory measures the directory update of a publication.
func BenchmarkDirectory(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			c := newFleetControl(b, now, n)
			b.ReportAllocs()
			for b.Loop() {
				c.swapDirectory(now, c.publication.order)
			}
		})
	}
}

// BenchmarkProbe measures a probe without membership updates, from decoding it to the encoded ack.
func BenchmarkProbe(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			c := newFleetControl(b, now, n)
			probe := bfgossip.Probe{From: memberRow(1).Key().Hash, Nonce: 1, Advert: bfgossip.Advert{Members: c.Order().Digest()}}
			data, err := bfgossip.Encode(probe)
			is.New(b).NoErr(err)
			b.ReportAllocs()
			for b.Loop() {
				_, message := c.decode(data)
				c.dispatch(now, memberRow(1).Peer, message)
				c.after(now)
				c.next()
			}
		})
	}
}

// BenchmarkMemory reports the heap retained by a Control after garbage collection.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ members, objects int }{{1_000, 0}, {5_000, 0}, {25_000, 0}, {25_000, 5_000}} {
		b.Run(fmt.Sprintf("%dmembers%dobjects", size.members, size.objects), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				c := newFleetControl(b, time.Unix(1_800_000_000, 0), size.members)
				if size.objects > 0 {
					state := largeState(b, size.objects)
					c.versionAdopted(time.Unix(1_800_000_000, 0), state)
					c.activate(time.Unix(1_800_000_000, 0), state)
				}
				b.ReportMetric(float64(heap()-before)/(1<<20), "MiB")
				runtime.KeepAlive(c)
			}
		})
	}
}

// cpuTime returns the CPU time of the process, including garbage collection.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// largeState returns a state with equal numbers of services, policies and routes.
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

// When many members change at once, such as in an outage of a failure domain, the
// directory and recovery must receive the changes in batches. Rebuilding the
// directory for each change would saturate the CPU.
func TestMemberChangesAreBatched(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	c := newFleetControl(t, now, 300)
	now = now.Add(time.Minute)
	c.dispatchTargetChange(now, 2, 1)
	c.after(now)
	member, _ := c.config.Directory.Member(memberRow(2).ID)
	is.Equal(member.Target.Slots, 1) // the first change is published immediately
	for i := 3; i < 200; i++ {
		c.dispatchTargetChange(now, i, 1)
		c.after(now)
	}
	member, _ = c.config.Directory.Member(memberRow(3).ID)
	is.Equal(member.Target.Slots, 12)
	is.Equal(c.publication.next(), now.Add(publishInterval))
	c.after(now.Add(publishInterval))
	member, _ = c.config.Directory.Member(memberRow(199).ID)
	is.Equal(member.Target.Slots, 1)
	is.True(c.publication.next().IsZero())
	suspect := memberRow(250)
	suspect.State = bfroster.Suspect
	c.dispatch(now, memberRow(1).Peer, bfgossip.Repair{Self: memberRow(1), Rows: []bfroster.Row{suspect}})
	c.after(now)
	is.True(c.publication.next().IsZero()) // suspicions are not published
	is.Equal(c.publication.order.Alive(), 299)
}

// Per-member state must be discarded when members leave. Otherwise memory would
// grow with every instance name ever used.
func TestStateOfRemovedMembersIsDiscarded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	c := newFleetControl(t, now, 20)
	for i := 1; i < 20; i++ {
		c.dispatch(now, memberRow(i).Peer, bfgossip.Probe{From: memberRow(i).Key().Hash, Nonce: 1, Advert: bfgossip.Advert{Version: 1}})
		cold := memberRow(i)
		cold.Sequence, cold.Target = 1, bfroster.TargetCold
		c.dispatch(now, memberRow(i).Peer, bfgossip.Repair{Self: cold})
	}
	c.after(now)
	c.publishAll(now)
	is.Equal(len(c.publication.coldTargets), 19)
	c.dispatch(now, "10.9.9.9:1", bfgossip.Probe{From: 12345, Nonce: 1})
	is.Equal(len(c.memberHeads), 19)
	for i := 10; i < 20; i++ {
		gone := memberRow(i)
		gone.Sequence, gone.State = 1, bfroster.Left
		c.dispatch(now, memberRow(1).Peer, bfgossip.Repair{Self: memberRow(1), Rows: []bfroster.Row{gone}})
	}
	c.after(now)
	c.publishAll(now)
	is.True(len(c.memberHeads) <= 10)
	is.Equal(len(c.publication.coldTargets), 9)
	is.Equal(len(c.peers), 10)
}

// After any sequence of membership changes, the published directory must match the
// membership order. Otherwise requests go to departed targets or incarnations.
func TestDirectoryMatchesMembership(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	c := newFleetControl(t, now, 12)
	rng := rand.New(rand.NewPCG(5, 5))
	rows := map[int]bfroster.Row{}
	for range 2_000 {
		now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
		i := 2 + rng.IntN(14)
		row, known := rows[i]
		if !known {
			row = memberRow(i)
		}
		switch rng.IntN(5) {
		case 0:
			row.State = bfroster.State(rng.IntN(4))
		case 1:
			row.Sequence, row.State = row.Sequence+1, bfroster.Alive
		case 2:
			row.Sequence, row.Target, row.Slots = row.Sequence+1, bfroster.TargetState(rng.IntN(5)), uint32(rng.IntN(3))
		case 3:
			row.Incarnation, row.Sequence, row.State = row.Incarnation+1, 0, bfroster.Alive
			row.Peer = fmt.Sprintf("10.9.%d.%d:1", i, rng.IntN(3))
		case 4:
			row.Sequence, row.State = row.Sequence+1, bfroster.Left
		}
		rows[i] = row
		c.dispatch(now, memberRow(1).Peer, bfgossip.Repair{Self: memberRow(1), Rows: []bfroster.Row{row}})
		c.after(now)
		if !c.publication.pending.any() {
			is.NoErr(c.checkDirectory())
		}
	}
}

func (c *Control) checkDirectory() error {
	for i := range 16 {
		member, found := c.config.Directory.Member(memberRow(i).ID)
		rank, present := c.Order().Rank(memberRow(i).ID)
		if found != present {
			return fmt.Errorf("member %d: in directory %v, in order %v", i, found, present)
		}
		if !present {
			continue
		}
		row := c.Order().At(rank).Row()
		if member.Home.Incarnation != row.Incarnation || member.Peer != row.Peer || member.Target.Slots != int(row.Slots) {
			return fmt.Errorf("member %d: directory has %+v, order %+v", i, member, row)
		}
		if c.peers[row.Peer] != row.Key().Hash {
			return fmt.Errorf("member %d: peer address %s not mapped to the member", i, row.Peer)
		}
	}
	return nil
}
