package bfspread

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfcount"
	"bilberryflow.org/lib/bfspan"
)

// Guards against divergence: under any interleaving of message loss, duplication,
// reordering, restarts, pauses, partitions, orphaned versions and table outages, no
// node goes backwards or differs from a naive replay of all changes, and every
// node reaches the head within a bounded time after the faults end.
func TestAnyInterleavingConvergesToTheNaiveReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := FastConvergenceProfile()
		options.LogVersions, options.BufferVersions, options.SnapshotRate = 4, 3, 1
		w := newWorld(rapid.Uint64().Draw(t, "seed"), options, rapid.IntRange(2, 12).Draw(t, "size"), 4)
		w.fail = t.Fatalf
		w.duplicateRate = 0.2
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			n := rapid.SampledFrom(w.nodes).Draw(t, "node")
			injectFault(w, n, rapid.IntRange(0, 9).Draw(t, "what"), rapid.IntRange(0, 9).Draw(t, "how"))
			w.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
		}
		w.lossRate, w.partitioned, w.tableDown = 0, nil, false
		for _, n := range w.nodes {
			if n.paused {
				w.resume(n)
			}
		}
		w.run(2 * time.Minute)
		if w.behind() > 0 {
			t.Fatalf("%d of %d nodes lack version %d", w.behind(), len(w.nodes), w.head())
		}
	})
}

func injectFault(w *world, n *node, what, how int) {
	switch what {
	case 0:
		w.lossRate = float64(how) / 10
	case 1:
		w.tableDown = !w.tableDown
	case 2:
		w.start(n, bfconfig.Empty())
	case 3:
		w.commitToTable() // the committing node crashed before its first push
	case 4:
		w.partitioned = func(a, b *node) bool { return (a == n) != (b == n) }
	case 5:
		w.partitioned = nil
	case 6:
		if n.paused {
			w.resume(n)
			return
		}
		n.paused = true
	default:
		for range how%3 + 1 {
			if !n.paused && n.core.Held() == w.head() {
				w.commit(n)
			}
		}
	}
}

// CASE 3. Versions 41, 42 and 43 arrive in reverse order, and 42 is lost on its
// way to one node. That node must buffer 43 and pull the missing version once, no
// other node pulls, and all nodes adopt 41, 42 and 43 in this order.
func TestCase3VersionsCrossAndOneBodyIsLost(t *testing.T) {
	is := is.New(t)
	w := newWorld(41, FastConvergenceProfile(), 12, 3)
	for range 40 {
		w.commitToTable()
	}
	for _, n := range w.nodes {
		w.start(n, w.states[40])
	}
	lagging := w.nodes[5]
	body41, body42, body43 := w.commitToTable(), w.commitToTable(), w.commitToTable()
	w.drop = func(to *node, m Message) bool {
		p, isPush := m.(Push)
		return isPush && to == lagging && string(p.Deltas[0]) == string(body42)
	}
	for i, body := range [][]byte{body43, body42, body41} {
		author := w.nodes[i]
		w.execute(author, author.core.Committed(w.now, body))
		w.run(5 * time.Millisecond)
	}
	w.run(120 * time.Millisecond)
	is.Equal(lagging.core.Held(), bfconfig.Version(41))
	is.Equal(w.behind(), 1)
	w.run(5 * time.Second)
	is.Equal(w.behind(), 0)
	for _, n := range w.nodes {
		var held []bfconfig.Version
		for _, state := range n.adopted {
			held = append(held, state.Version())
		}
		is.Equal(held, []bfconfig.Version{41, 42, 43})
		is.True(n.pulls == 0 || n == lagging && n.pulls == 1)
	}
}

// CASE 7. During a partition commits continue on one side, and the other side
// keeps the version it holds. After the partition heals every node must reach the
// head, and no node may have gone backwards.
func TestCase7PartitionHealsAndNobodyWentBack(t *testing.T) {
	is := is.New(t)
	w := newWorld(7, FastConvergenceProfile(), 12, 4)
	w.commit(w.nodes[0])
	w.run(2 * time.Second)
	is.Equal(w.behind(), 0)
	side := func(n *node) bool { return slices.Index(w.nodes, n) < 6 }
	w.partitioned = func(a, b *node) bool { return side(a) != side(b) }
	w.tableDown = true // so neither side polls; the committing side relies on pushes alone
	for range 20 {
		w.commit(w.nodes[0])
		w.run(700 * time.Millisecond)
	}
	w.run(2 * time.Second) // for the parts whose first relay was on the other side
	for _, n := range w.nodes[6:] {
		is.Equal(n.core.Held(), bfconfig.Version(1))
	}
	for _, n := range w.nodes[:6] {
		is.Equal(n.core.Held(), bfconfig.Version(21))
	}
	w.partitioned = nil
	w.run(20 * time.Second)
	is.Equal(w.behind(), 0)
}

// Guards against orphaned versions: if a node crashes between its commit and its
// first push, the node whose poll finds the version must push it, so that the
// others don't each read it from the table.
func TestOrphanedVersionIsPushedAfterPoll(t *testing.T) {
	is := is.New(t)
	w := newWorld(23, FastConvergenceProfile(), 12, 3)
	w.advertInterval = 0
	for _, n := range w.nodes {
		w.start(n, bfconfig.Empty())
	}
	w.run(5 * time.Second)
	w.commitToTable()
	w.run(3 * time.Second)
	is.Equal(w.behind(), 0)
	pushed := 0
	for _, n := range w.nodes {
		pushed += min(n.pushes, 1)
	}
	is.True(pushed >= len(w.nodes)-3)
}

// Guards against nodes that a push misses: with a sixth of the nodes down, other
// relays and pulls must bring a commit to every running node within 1.5 seconds.
func TestFailedRelaysAreReplacedOrRepaired(t *testing.T) {
	is := is.New(t)
	w := newWorld(29, FastConvergenceProfile(), 60, 3)
	for _, n := range w.nodes[10:20] {
		n.down = true
	}
	w.commit(w.nodes[0])
	w.run(1500 * time.Millisecond)
	reached := len(w.nodes) - 10 - w.behind()
	t.Logf("%d of 50 nodes reached by pushes and pulls in 1.5 s", reached)
	is.Equal(w.behind(), 0)
}

// Guards against a version that is dropped as a duplicate: a node that received it
// as a leaf must still forward it when it gets the range of a failed relay, but
// must only acknowledge a repeated push.
func TestNewRangeOfHeldVersionIsForwardedOnce(t *testing.T) {
	is := is.New(t)
	w := newQuietWorld(60, 8)
	data := w.commitToTable()
	core, from := w.nodes[0].core, w.nodes[26].row.Key().Hash
	forwarded := func(r bfspan.Range) int {
		pushes := 0
		for _, a := range core.Receive(w.now, from, Push{From: from, Nonce: 1, Deltas: [][]byte{data}, Range: r}) {
			if send, isSend := a.(Send); isSend {
				if _, isPush := send.Message.(Push); isPush {
					pushes++
				}
			}
		}
		return pushes
	}
	is.Equal(forwarded(bfspan.Range{}), 0)
	is.True(forwarded(bfspan.Range{Scope: bfspan.ScopeFleet}) > 0)
	is.Equal(forwarded(bfspan.Range{Scope: bfspan.ScopeFleet}), 0)
	is.Equal(forwarded(bfspan.Range{Scope: bfspan.ScopeDomain}), 0)
}

// Guards the links between domains, which have little bandwidth: a push must enter
// each other domain exactly once, whichever relays are picked.
func TestEachDomainIsEnteredOnce(t *testing.T) {
	is := is.New(t)
	for _, fanout := range []int{2, 8} {
		w := newQuietWorld(300, fanout)
		w.commit(w.nodes[17])
		w.run(5 * time.Second)
		is.Equal(w.behind(), 0)
		is.Equal(w.crossings, 25)
	}
}

// Guards against an incomplete census that looks complete: with two members of a
// domain down it must count the others and report the number missing.
func TestCensusReportsMissingMembers(t *testing.T) {
	is := is.New(t)
	w := newWorld(37, FastConvergenceProfile(), 90, 3)
	w.commitToTable()
	for i, n := range w.nodes {
		w.start(n, w.states[min(1, i%5)])
	}
	down := []*node{w.nodes[4], w.nodes[7]} // both in domain-01
	for _, n := range down {
		n.down = true
	}
	w.advertInterval, w.tableDown, w.duplicateRate = 0, true, 0.3
	messages := w.messages
	_, actions := w.nodes[0].core.Census(w.now, 2*time.Second)
	w.execute(w.nodes[0], actions)
	w.run(2 * time.Second)
	tally := w.nodes[0].tally
	is.True(tally != nil)
	is.Equal(tally.Members()+tally.Unreachable(), 90)
	is.Equal(tally.Lacks, []bfcount.UnreachableCount{{Domain: "domain-01", Members: 2}})
	is.Equal(tally.Oldest(), bfconfig.Version(0))
	t.Logf("%d messages for 90 nodes", w.messages-messages)
}

// Guards the table against head reads that grow with the fleet; while the table is
// unavailable the rate must drop.
func TestHeadReadsDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{20, 200, 800} {
		w := newWorld(uint64(size), FastConvergenceProfile(), size, 4)
		w.advertInterval = 0
		w.run(60 * time.Second)
		before := w.reads
		w.run(100 * time.Second)
		up := float64(w.reads-before) / 100
		w.tableDown = true
		w.run(600 * time.Second)
		before = w.reads
		w.run(100 * time.Second)
		away := float64(w.reads-before) / 100
		t.Logf("%d nodes: %.1f reads/s, %.1f reads/s while the table is unavailable", size, up, away)
		is.True(up < 1.2*w.options.PollRate)
		is.True(away < up/2)
	}
}
