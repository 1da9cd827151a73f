package bfspread

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfconfig"
)

// Guards against partial application and against a retry loop: a node whose own
// state is wrong must reject a version as a whole, request snapshots with backoff,
// and still forward the version to the nodes behind it.
func TestVersionThatCanNotBeAppliedIsRejected(t *testing.T) {
	is := is.New(t)
	w := newWorld(19, FastConvergenceProfile(), 8, 1)
	w.commitToTable()
	faulty := w.nodes[4]
	for _, n := range w.nodes {
		w.start(n, w.states[1])
	}
	wrong, _, err := bfconfig.Empty().Propose(bfconfig.NewChange("other", "max", w.now, []bfconfig.Op{
		bfconfig.Put{Object: bfconfig.ServiceSpec{Name: "stray"}},
	}))
	is.NoErr(err)
	w.start(faulty, wrong)
	w.tableDown = true
	w.drop = func(_ *node, m Message) bool { _, whole := m.(Snapshot); return whole }
	w.commit(w.nodes[0])
	w.run(time.Minute)
	is.Equal(w.behind(), 1)
	is.Equal(faulty.core.State(), wrong)
	is.True(faulty.rejections >= 1)
	is.True(faulty.snapshotFetches+faulty.pulls < 15)
	t.Logf("in a minute: %d rejections, %d snapshot fetches, %d pulls", faulty.rejections, faulty.snapshotFetches, faulty.pulls)
	w.drop, w.tableDown = nil, false
	w.run(time.Minute)
	is.Equal(w.behind(), 0)
}

// Guards against overload after a mass restart: when 57 of 60 nodes restart empty
// and each node sends one snapshot in five seconds, they must spread over all
// members that hold the state, hardly use the store, and catch up within seconds.
func TestMassRestartSpreadsOverMembers(t *testing.T) {
	is := is.New(t)
	options := FastConvergenceProfile()
	options.LogVersions, options.SnapshotRate = 2, 0.2
	w := newWorld(31, options, 60, 3)
	for range 21 {
		w.commitToTable()
	}
	for _, n := range w.nodes {
		w.start(n, w.states[21])
	}
	for _, n := range w.nodes[:57] {
		w.start(n, bfconfig.Empty())
	}
	w.run(30 * time.Second)
	is.Equal(w.behind(), 0)
	fetches, most, pushes := 0, 0, 0
	for _, n := range w.nodes {
		fetches, most, pushes = fetches+n.deltaFetches, max(most, n.snapshotsSent), pushes+n.pushes
	}
	t.Logf("%d fetches from the store, %d snapshots from the busiest node", fetches, most)
	is.True(fetches <= 10)
	is.True(most <= 7)
	is.Equal(pushes, 0) // no node pushes the whole history as orphaned versions
}

// Guards against one node sending snapshots without limit: beyond its rate it must
// answer Busy with a delay, since without an answer all nodes would use the store.
func TestSnapshotRateIsLimited(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, FastConvergenceProfile(), 40, 1)
	for range 3 {
		w.commitToTable()
	}
	server := New(w.options, w.nodes[0].row, w.states[3], w.rng)
	server.SetOrder(w.order)
	sent, busy := 0, 0
	for i, n := range w.nodes[1:] {
		for _, a := range server.Receive(w.now, n.row.Key().Hash, Pull{From: n.row.Key().Hash, Nonce: uint32(i)}) {
			switch a.(Send).Message.(type) {
			case Snapshot:
				sent++
			case Busy:
				busy++
			}
		}
	}
	is.Equal(sent, 2)
	is.Equal(busy, 37)
}

// Guards against a version that goes backwards: a snapshot that arrives after newer
// versions were pushed must be ignored.
func TestLateSnapshotIsIgnored(t *testing.T) {
	is := is.New(t)
	w := newWorld(5, FastConvergenceProfile(), 2, 1)
	for range 5 {
		w.commitToTable()
	}
	core := New(w.options, w.nodes[0].row, w.states[5], w.rng)
	for version := range bfconfig.Version(5) {
		actions := core.StoreSnapshot(w.now, version, encodeState(w.states[version]), nil)
		is.Equal(len(actions), 0)
		core.pull = pullState{nonce: 7, wanted: Head{Version: 6}}
		core.Receive(w.now, 1, Snapshot{Nonce: 7, Version: version, Data: encodeState(w.states[version])})
		is.Equal(core.Held(), bfconfig.Version(5))
	}
}
