package bfcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfcount"
	"bilberryflow.org/lib/bfdirectory"
	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfloop"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfrecover"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfspan"
	"bilberryflow.org/lib/bfspread"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// discardNetwork accepts and discards all messages and delivers none.
type discardNetwork struct{}

func (discardNetwork) Send(netip.AddrPort, bfpeer.Purpose, []byte) error { return nil }

func (discardNetwork) Receive(ctx context.Context, _ func(netip.AddrPort, []byte) bfpeer.Purpose) error {
	<-ctx.Done()
	return nil
}

func (discardNetwork) Call(context.Context, string, string, any, any) error {
	return errors.New("peer unreachable")
}

// newIdleControl returns a Control whose loop is not running, so a test can call its methods directly.
func newIdleControl(tb testing.TB, datagrams Datagrams) *Control {
	memory := bfstore.NewMemory()
	c, err := New(Config{
		Self: memberRow(0), Profile: FastConvergenceProfile(), Table: memory, Objects: memory,
		Datagrams: datagrams, Calls: discardNetwork{}, Directory: bfdirectory.New("d0"), Timer: bftimer.New(1),
		Group: bfgroup.New(context.Background()), Logger: bflog.Discard(), Metrics: bfmetric.New(), Seed: 1,
		Reincarnated: func(uint64) {}, Quarantine: &fakeComparer{},
	})
	is.New(tb).NoErr(err)
	return c
}

// newJoinedControl returns an idle Control that has joined a small fleet and has a version in force.
func newJoinedControl(tb testing.TB, now time.Time) *Control {
	c := newIdleControl(tb, discardNetwork{})
	c.source.recordContact(now)
	c.memberActions(now, c.members.Start(now, nil))
	c.activation.begin(now)
	c.memberActions(now, c.members.MeetingRead(now, nil, nil))
	c.dispatch(now, "10.0.0.1:1", bfgossip.Repair{Self: memberRow(1), Rows: []bfroster.Row{memberRow(2), memberRow(3)}})
	c.activation.headRead(now, 0, nil)
	c.after(now)
	return c
}

// stop stops the goroutines that the Control started and waits for them.
func (c *Control) stop() error {
	c.config.Group.Cancel()
	return c.config.Group.Wait()
}

// sampleMessages returns a valid message of every kind, followed by short invalid ones.
func sampleMessages(tb testing.TB) [][]byte {
	is := is.New(tb)
	row := memberRow(1)
	change := bfconfig.NewChange("c", "anna", time.Unix(1e9, 0), []bfconfig.Op{bfconfig.Put{Object: bfconfig.ServiceSpec{Name: "s"}}})
	state, delta, err := bfconfig.Empty().Propose(change)
	is.NoErr(err)
	body, err := delta.Encode()
	is.NoErr(err)
	snapshot, err := state.EncodeSnapshot()
	is.NoErr(err)
	news := bfgossip.News{
		Rows: []bfroster.Row{memberRow(2)}, Marks: []bfgossip.Mark{{Hash: row.Key().Hash, Incarnation: 1, Sequence: 2}},
		Losses:  []bfgossip.Loss{{Domain: "d1", State: bfroster.Suspect, Packed: make([]byte, 17)}},
		Outages: []bfgossip.Outage{{Region: "r0", Domain: "d1", Epoch: 1, Lost: true}},
	}
	var all [][]byte
	for _, m := range []bfgossip.Message{
		bfgossip.Probe{From: row.Key().Hash, Nonce: 1, News: news}, bfgossip.Ack{From: row.Key().Hash, Nonce: 1, News: news, Introduce: true},
		bfgossip.ProbeRequest{From: row.Key().Hash, Nonce: 1, Target: memberRow(2).Key().Hash},
		bfgossip.Summary{Self: row, Buckets: make([]byte, 512)},
		bfgossip.Detail{Self: row, Buckets: []bfgossip.BucketDetail{{Bucket: 1, Cells: make([]byte, 512)}}},
		bfgossip.Repair{Self: row, Cells: []uint16{1, 4095, 65535}, Rows: []bfroster.Row{row}, Answer: true},
		bfgossip.PageRequest{Self: row, Nonce: 1, Limit: -1}, bfgossip.Page{Nonce: 1, Rows: []bfroster.Row{row}},
	} {
		data, err := bfgossip.Encode(m)
		is.NoErr(err)
		all = append(all, data)
	}
	whole := bfspan.Range{Scope: bfspan.ScopeFleet}
	for _, m := range []bfspread.Message{
		bfspread.Push{From: row.Key().Hash, Nonce: 1, Deltas: [][]byte{body}, Range: whole, Head: bfspread.Head{Version: 9}},
		bfspread.Ack{Nonce: 1, Head: bfspread.Head{Version: 2}}, bfspread.Pull{From: row.Key().Hash, Nonce: 1, Snapshot: true},
		bfspread.Deltas{Nonce: 1, Deltas: [][]byte{body}}, bfspread.Snapshot{Nonce: 1, Version: 1, Data: snapshot},
		bfspread.Busy{Nonce: 1, RetryAfter: 1 << 31}, bfspread.Census{From: row.Key().Hash, Nonce: 1, Range: whole, Wait: 1 << 31},
		bfspread.CensusAnswer{Nonce: 1, Tally: bfcount.Tally{Versions: []bfcount.VersionCount{{Version: 1, Members: -1}}}},
	} {
		data, err := bfspread.Encode(m)
		is.NoErr(err)
		all = append(all, data)
	}
	set := bfrecover.Set{Incarnation: 1, Epoch: 1, Members: []string{row.ID, ""}}
	for kind, m := range map[byte]any{
		kindNote:    bfrecover.Note{Instance: row.ID, Incarnation: 1, Epoch: 1, Version: 1, Sets: []bfrecover.Set{set}},
		kindNoteAck: bfrecover.Ack{Witness: row.ID, Memory: 1, Version: 1}, kindQuestion: bfrecover.Question{Instance: row.ID},
		kindAnswer: bfrecover.Answer{Witness: row.ID, Counts: true, Version: 1, Sets: []bfrecover.Set{set}},
	} {
		data, err := cbor.Marshal(m)
		is.NoErr(err)
		all = append(all, append([]byte{kind}, data...))
	}
	slices.SortFunc(all, slices.Compare)
	return append(all, nil, []byte{0}, []byte{15}, []byte{31}, []byte{47}, []byte{255, 1, 2})
}

// dispatchAndTick dispatches data as a datagram, then ticks the Control as time advances.
func dispatchAndTick(tb testing.TB, c *Control, now time.Time, data []byte) {
	if _, message := c.decode(data); message != nil {
		c.dispatch(now, "10.0.0.1:1", message)
	}
	for _, wait := range []time.Duration{0, time.Second, 3 * time.Second} {
		c.tick(now.Add(wait))
		c.after(now.Add(wait))
	}
	is.New(tb).True(c.View() == nil || c.View().Version() <= c.State().Version())
}

// Truncated, corrupted or foreign messages from any sender must not crash a node.
// Nodes relay what they receive, so one such message could crash the whole fleet.
func TestMalformedMessagesDoNotCrash(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	rng := rand.New(rand.NewPCG(3, 3))
	for _, sample := range sampleMessages(t) {
		c := newJoinedControl(t, now)
		dispatchAndTick(t, c, now, sample)
		for i := range 150 {
			data := slices.Clone(sample)
			for range 1 + rng.IntN(3) {
				if len(data) > 1 {
					data[1+rng.IntN(len(data)-1)] = byte(rng.Uint32())
				}
			}
			dispatchAndTick(t, c, now.Add(time.Duration(i)*time.Second), data[:len(data)-rng.IntN(1+len(data)/4)])
		}
		is.New(t).NoErr(c.stop())
	}
}

func FuzzDispatch(f *testing.F) {
	for _, sample := range sampleMessages(f) {
		f.Add(sample)
	}
	now := time.Unix(1_800_000_000, 0)
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newJoinedControl(t, now)
		dispatchAndTick(t, c, now, data)
		dispatchAndTick(t, c, now.Add(time.Minute), data)
		is.New(t).NoErr(c.stop())
	})
}

// Datagrams and calls that can't be decoded must only increment a counter.
func TestUndecodableMessagesAreCounted(t *testing.T) {
	is := is.New(t)
	c := newIdleControl(t, discardNetwork{})
	from := netip.MustParseAddrPort("10.0.0.9:1")
	c.receive(from, nil)
	c.receive(from, []byte{200})
	params, err := json.Marshal(&delivery{From: "nowhere", Data: []byte{kindNote, 0xff}})
	is.NoErr(err)
	_, err = c.deliver(t.Context(), params)
	is.NoErr(err)
	is.Equal(c.undecodable.Value(), int64(3))
	is.Equal(c.loop.Waiting(), 0)
}

// A message that the previous process's peers left in the socket must not crash a
// starting node, or the node would crash at every restart while they resend it.
func TestMessageQueuedBeforeStart(t *testing.T) {
	c := newIdleControl(t, discardNetwork{})
	note := witnessMessage{bfrecover.Note{Instance: "n2", Incarnation: 1, Epoch: 1, Version: 3}}
	c.loop.Post(t.Context(), func(now time.Time) { c.dispatch(now, "10.0.0.1:1", note) })
	c.config.Group.Go("timer", c.config.Timer.Run)
	c.config.Group.Go("control", c.Run)
	is := is.New(t)
	is.NoErr(c.loop.Call(t.Context(), func(time.Time) {}))
	c.config.Group.Cancel()
	is.NoErr(c.config.Group.Wait())
}

// blockedNetwork is a socket with a full buffer: Send blocks until ctx ends.
type blockedNetwork struct {
	discardNetwork
	ctx context.Context
}

func (s blockedNetwork) Send(netip.AddrPort, bfpeer.Purpose, []byte) error {
	<-s.ctx.Done()
	return s.ctx.Err()
}

// A blocked send must not block the loop; messages that can't be sent are dropped.
// Otherwise the fleet would consider the node dead while it still serves requests.
func TestBlockedSocketDoesNotBlockLoop(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	c := newIdleControl(t, blockedNetwork{ctx: ctx})
	c.config.Group.Go("timer", c.config.Timer.Run)
	c.config.Group.Go("control", c.Run)
	is.NoErr(c.loop.Call(ctx, func(time.Time) {
		for range 2 * bfpeer.OutboxCapacity {
			c.send("10.0.0.1:1", bfpeer.Membership, []byte{1}, nil)
		}
	}))
	is.True(c.outbox.Dropped() >= bfpeer.OutboxCapacity-1)
	cancel()
	c.config.Group.Cancel()
	is.NoErr(c.config.Group.Wait())
	var stopped *bfloop.StoppedError
	is.True(errors.As(c.Leave(context.Background()), &stopped)) // an error, not a call that blocks forever
}

// The number of deliveries waiting for a blocked loop must be bounded, since each
// may hold megabytes. Further ones are rejected, and senders retry.
func TestPendingDeliveriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newIdleControl(t, discardNetwork{})
		for range bfloop.QueueLength {
			c.loop.Post(t.Context(), func(time.Time) {})
		}
		params, err := json.Marshal(&delivery{From: "10.0.0.1:1", Data: sampleMessages(t)[0]})
		is.NoErr(err)
		const calls = 4 * maxPendingDeliveries
		start := time.Now()
		results := make(chan error, calls)
		for range calls {
			go func() { _, err := c.deliver(t.Context(), params); results <- err }()
		}
		for range calls - maxPendingDeliveries {
			var busy *BusyError
			is.True(errors.As(<-results, &busy))
			is.True(time.Now().Equal(start)) // rejected immediately
		}
		for range maxPendingDeliveries {
			is.True(<-results != nil) // no call blocks forever
		}
	})
}
