package bfera

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The model: a store that is restored once from a copy, an operator who writes versions, and three
// nodes that follow the store and each other and keep their rows. A target starts, another one
// leaves, a node restarts. Every order of these steps is searched.

// safeguard is one that a mutant of the model lacks.
type safeguard string

const (
	relists        safeguard = "a reader lists anew in a new era"
	comparesEras   safeguard = "revisions are compared by era first"
	keepsUnwritten safeguard = "members that a new era lacks are kept"
	neverBack      safeguard = "versions never go back"
	conditionsHold safeguard = "conditions of an earlier era are refused"
	ignoresOldRow  safeguard = "no target is taken from a row after a restore"
	rewrites       safeguard = "a node writes its row again"
)

const modelNodes = 3

// joiner is the node whose target starts late, leaver the one whose target leaves.
const (
	joiner = 1
	leaver = 2
)

type modelRow struct {
	number  uint8
	present bool
}

// modelRevision is an era in the upper and a number in the lower bits, 0 for none.
type modelRevision uint8

func modelRevisionOf(era, number uint8) modelRevision { return modelRevision(era<<5 | number) }

func (r modelRevision) era() uint8    { return uint8(r) >> 5 }
func (r modelRevision) number() uint8 { return uint8(r) & 0x1f }

type modelStore struct {
	era, number, version, versionNumber uint8
	rows                                [modelNodes]modelRow
}

type modelNode struct {
	era, number, version uint8
	// view holds the revision of each member's row, 0 for no member.
	view [modelNodes]modelRevision
	// own is the node's own row as it knows it, and ownEra the era of that.
	own    modelRow
	ownEra uint8
	// accepts is set while the node passes requests to its target, reported once the target has sent
	// a report since the node's start.
	accepts, reported bool
}

type modelWorld struct {
	store, backup      modelStore
	copied, restored   bool
	nodes              [modelNodes]modelNode
	written            uint8
	joined             bool
	left, removed      bool
	restarts, versions uint8
}

// model searches the steps; missing is the safeguard that is left out, "" for none.
type model struct {
	missing   safeguard
	violation string
	visited   map[modelWorld]bool
	// path holds the steps to the present state.
	path []string
}

func (m *model) has(s safeguard) bool { return m.missing != s }

func (m *model) fail(text string) {
	if m.violation == "" {
		m.violation = strings.Join(m.path, ", ") + ": " + text
	}
}

func firstWorld() (w modelWorld) {
	w.store.era = 1
	for i := range w.nodes {
		if i != joiner {
			w.store.number++
			w.store.rows[i] = modelRow{w.store.number, true}
		}
	}
	w.store.number++
	w.store.version, w.store.versionNumber, w.written = 1, w.store.number, 1
	for i := range w.nodes {
		n := modelNode{era: 1, number: w.store.number, version: 1, own: w.store.rows[i], ownEra: 1, accepts: i != joiner}
		for k, row := range w.store.rows {
			if row.present {
				n.view[k] = modelRevisionOf(1, row.number)
			}
		}
		w.nodes[i] = n
	}
	return w
}

// newer reports whether revision a is newer than b.
func (m *model) newer(aEra, a, bEra, b uint8) bool {
	if m.has(comparesEras) && aEra != bEra {
		return aEra > bEra
	}
	return a > b
}

func (m *model) adopt(n *modelNode, version uint8) {
	if version < n.version && m.has(neverBack) {
		return
	}
	if version < n.version {
		m.fail("a version went back")
	}
	n.version = version
}

// setView replaces a node's members by those of a revision.
func (m *model) setView(w *modelWorld, i int, era uint8, view [modelNodes]modelRevision) {
	n := &w.nodes[i]
	for k := range view {
		if view[k] != 0 || n.view[k] == 0 {
			continue
		}
		if m.has(keepsUnwritten) && n.view[k].era() < era {
			view[k] = n.view[k]
		} else if w.nodes[k].accepts && w.store.era > 1 {
			m.fail("a working member lost its requests")
		}
	}
	n.view = view
}

// poll is one read of the store by a node.
func (m *model) poll(w *modelWorld, i int) {
	n, s := &w.nodes[i], &w.store
	full := n.era == 0 || n.number > s.number || m.has(relists) && n.era != s.era
	if full {
		var view [modelNodes]modelRevision
		for k, row := range s.rows {
			if row.present {
				view[k] = modelRevisionOf(s.era, row.number)
			}
		}
		restarted := n.era == 0
		m.setView(w, i, s.era, view)
		m.adopt(n, s.version)
		n.own, n.ownEra = s.rows[i], s.era
		if restarted && !n.reported && s.rows[i].present && (s.era == 1 || !m.has(ignoresOldRow)) {
			n.accepts = true
		}
	} else {
		for k, row := range s.rows {
			if row.number > n.number {
				n.view[k] = 0
				if row.present {
					n.view[k] = modelRevisionOf(s.era, row.number)
				}
				if k == i {
					n.own, n.ownEra = row, s.era
				}
			}
		}
		if s.versionNumber > n.number {
			m.adopt(n, s.version)
		}
	}
	n.era, n.number = s.era, s.number
}

// write is one write of a node's own row.
func (m *model) write(w *modelWorld, i int) bool {
	n, s := &w.nodes[i], &w.store
	wanted := n.accepts
	if n.era == 0 || n.own.present == wanted || w.restored && wanted && !m.has(rewrites) {
		return false
	}
	if m.has(conditionsHold) && n.ownEra != s.era {
		return false
	}
	if n.own.present && s.rows[i].number != n.own.number || !n.own.present && s.rows[i].present {
		return false
	}
	if n.own.present && n.ownEra != s.era {
		m.fail("a write of an earlier era was made")
	}
	s.number++
	s.rows[i] = modelRow{s.number, wanted}
	n.own, n.ownEra = s.rows[i], s.era
	w.removed = w.removed || !wanted
	return true
}

// send is one message from node j to node i.
func (m *model) send(w *modelWorld, i, j int) bool {
	n, from := &w.nodes[i], &w.nodes[j]
	if from.era == 0 || !m.newer(from.era, from.number, n.era, n.number) {
		return false
	}
	m.setView(w, i, from.era, from.view)
	if from.version > n.version {
		n.version = from.version
	}
	n.era, n.number = from.era, from.number
	if m.newer(n.ownEra, n.own.number, n.era, n.number) {
		return true // what the peer knows of the row is older than this node's own write
	}
	n.own, n.ownEra = modelRow{number: n.number}, n.era
	if own := n.view[i]; own != 0 && (own.era() == n.era || !m.has(comparesEras)) {
		n.own, n.ownEra = modelRow{own.number(), true}, own.era()
	}
	return true
}

func (m *model) check(w *modelWorld) {
	if w.removed && w.nodes[leaver].accepts && w.left {
		m.fail("a target that has left received requests")
	}
}

// settle lets everybody act until nothing changes, and checks what must hold then.
func (m *model) settle(w modelWorld) {
	// The target reports at last.
	w.nodes[leaver].accepts, w.nodes[leaver].reported = !w.left, true
	for range 8 {
		w.store.operatorWrites(w.written)
		for i := range w.nodes {
			m.poll(&w, i)
			m.write(&w, i)
			m.poll(&w, i)
		}
	}
	for i, n := range w.nodes {
		if n.version != w.written {
			m.fail(fmt.Sprintf("node %d stays on version %d of %d", i, n.version, w.written))
		}
		for k := range w.nodes {
			gone := k == leaver && w.left || k == joiner && !w.joined
			if !gone && n.view[k] == 0 {
				m.fail(fmt.Sprintf("node %d misses member %d for good", i, k))
			}
		}
		gone := i == leaver && w.left || i == joiner && !w.joined
		if w.store.rows[i].present == gone {
			m.fail(fmt.Sprintf("the row of node %d is wrong for good", i))
		}
	}
}

// operatorWrites writes the operator's version again if the store lacks it.
func (s *modelStore) operatorWrites(version uint8) {
	if s.version < version {
		s.number++
		s.version, s.versionNumber = version, s.number
	}
}

func (m *model) search(w modelWorld, step string) {
	if m.violation != "" || m.visited[w] {
		return
	}
	m.visited[w] = true
	m.path = append(m.path, step)
	defer func() { m.path = m.path[:len(m.path)-1] }()
	m.check(&w)
	m.settle(w)
	m.searchOutside(w)
	for i := range w.nodes {
		next := w
		m.poll(&next, i)
		m.search(next, fmt.Sprint("node ", i, " reads"))
		next = w
		if m.write(&next, i) {
			m.search(next, fmt.Sprint("node ", i, " writes"))
		}
		for j := range w.nodes {
			next = w
			if i != j && m.send(&next, i, j) {
				m.search(next, fmt.Sprint("node ", j, " sends to ", i))
			}
		}
	}
}

// searchOutside searches the steps of the operator, the store, the leaving target and restarts.
func (m *model) searchOutside(w modelWorld) {
	if next := w; w.versions < 1 {
		next.versions++
		next.written++
		next.store.operatorWrites(next.written)
		m.search(next, "the operator writes")
	}
	if next := w; w.restored && w.store.version < w.written {
		next.store.operatorWrites(next.written)
		m.search(next, "the operator writes again")
	}
	if next := w; !w.copied {
		next.copied, next.backup = true, w.store
		m.search(next, "the store is copied")
	}
	if next := w; w.copied && !w.restored {
		next.restored = true
		next.store = w.backup
		next.store.era++
		next.backup = modelStore{}
		m.search(next, "the store is restored")
	}
	if next := w; !w.joined {
		next.joined, next.nodes[joiner].accepts = true, true
		m.search(next, "a target starts")
	}
	if next := w; !w.left {
		next.left = true
		next.nodes[leaver].accepts, next.nodes[leaver].reported = false, true
		m.search(next, "the target leaves")
	}
	for _, i := range []int{0, leaver} {
		if next := w; w.restarts < 1 {
			next.restarts++
			// A target that works goes on to report.
			next.nodes[i] = modelNode{accepts: i != leaver || !w.left}
			m.search(next, fmt.Sprint("node ", i, " restarts"))
		}
	}
}

// Guards against safeguards that do nothing, and against a fault that no single test steps into: the
// search finds nothing with all of them, and a counterexample without each.
func TestEverySafeguardOfARestoreIsNeeded(t *testing.T) {
	for _, missing := range []safeguard{"", relists, comparesEras, keepsUnwritten, neverBack, conditionsHold, ignoresOldRow, rewrites} {
		t.Run(fmt.Sprintf("without %q", missing), func(t *testing.T) {
			is := is.New(t)
			m := &model{missing: missing, visited: map[modelWorld]bool{}}
			m.search(firstWorld(), "start")
			t.Log(len(m.visited), "states;", m.violation)
			is.Equal(m.violation != "", missing != "")
		})
	}
}
