package bfrecover

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bilberryflow.org/lib/bfconfig"
)

// node is one instance, which loses all state in a restart.
type node struct {
	member      Member
	up          bool
	paused      bool
	notes       *Notes
	start       *Start
	gate        *Gate
	held        bfconfig.Version // newest version it holds completely
	incarnation uint64
	// heartbeat holds the notes to send with the next heartbeat to each witness.
	heartbeat map[string]Note
	// subject nodes start and put versions in force; the others are only witnesses.
	subject bool
}

type message struct {
	from, to string
	sent     time.Time
	body     any
}

// fleet simulates a few nodes, a table, and a network that delays, reorders and loses messages.
type fleet struct {
	t         *rapid.T
	rand      *rand.Rand // uniform; rapid's own draws favor small values
	now       time.Time
	settings  Settings
	nodes     []*node
	network   []message
	head      bfconfig.Version
	tableDown bool
	// highest is the reference: the highest version each instance ever put in force.
	highest map[string]bfconfig.Version
	seen    map[string]int
}

func newFleet(t *rapid.T, size int, mode Mode, seen map[string]int) *fleet {
	f := &fleet{
		t: t, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: time.Unix(1_000_000, 0), settings: DefaultSettings(), head: 1,
		highest: map[string]bfconfig.Version{}, seen: seen,
	}
	f.settings.Mode = mode
	for i := range size {
		f.nodes = append(f.nodes, &node{member: Member{ID: fmt.Sprint("n", i), Domain: fmt.Sprint("d", i%3)}, subject: i < 2})
	}
	for _, n := range f.nodes {
		f.boot(n)
	}
	return f
}

func (f *fleet) members() []Member {
	var all []Member
	for _, n := range f.nodes {
		all = append(all, n.member)
	}
	return all
}

func (f *fleet) boot(n *node) {
	n.incarnation++
	n.up, n.paused, n.gate, n.held, n.heartbeat = true, false, nil, 0, map[string]Note{}
	n.notes = NewNotes(f.now, n.member.ID, n.incarnation*1_000, f.settings)
	n.start = NewStart(f.now, n.member, f.settings)
	n.start.OnMembers(f.members())
}

func (f *fleet) crash(n *node) { n.up = false }

func (f *fleet) send(from, to string, body any) {
	f.network = append(f.network, message{from, to, f.now, body})
}

// deliver reports whether the message left the network.
func (f *fleet) deliver(i int) bool {
	m := f.network[i]
	to := f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.member.ID == m.to })]
	if to.paused {
		return false // it stays in the socket buffer
	}
	f.network = slices.Delete(f.network, i, i+1)
	if !to.up {
		return true
	}
	switch body := m.body.(type) {
	case Note:
		f.send(m.to, m.from, to.notes.OnNote(f.now, body))
	case Question:
		f.send(m.to, m.from, to.notes.OnQuestion(f.now, body))
	case Ack:
		if to.gate != nil {
			f.carryOut(to, to.gate.OnAck(f.now, body))
		}
	case Answer:
		if to.start != nil {
			to.start.OnAnswer(body)
		}
	}
	return true
}

// carryOut carries out the actions and checks every version put in force against highest.
func (f *fleet) carryOut(n *node, actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case NoteNow:
			f.send(n.member.ID, action.Witness, action.Note)
		case NoteWithHeartbeat:
			n.heartbeat[action.Witness] = action.Note
		case PutInForce:
			f.seen["in force"]++
			if action.Version < f.highest[n.member.ID] {
				f.t.Fatalf("%s went backwards from version %d to %d", n.member.ID, f.highest[n.member.ID], action.Version)
			}
			f.highest[n.member.ID] = action.Version
		}
	}
}

// tick runs each node's timers.
func (f *fleet) tick(n *node) {
	if !n.up || n.paused {
		return
	}
	n.notes.Tick(f.now)
	if !n.subject {
		return
	}
	if n.gate != nil {
		f.carryOut(n, n.gate.Tick(f.now))
		for _, witness := range slices.Sorted(maps.Keys(n.heartbeat)) {
			f.send(n.member.ID, witness, n.heartbeat[witness])
		}
		clear(n.heartbeat)
		return
	}
	for _, id := range n.start.Ask() {
		f.send(n.member.ID, id, Question{Instance: n.member.ID})
	}
	if f.tableDown {
		n.start.OnTableError(errors.New("outage"))
	} else {
		n.start.OnHead(f.head)
	}
	f.decide(n)
}

func (f *fleet) decide(n *node) {
	decision := n.start.Decide(f.now)
	f.seen[fmt.Sprintf("%T", decision)]++
	switch decision := decision.(type) {
	case Contradiction:
		f.t.Fatalf("%s: %+v", n.member.ID, decision)
	case StartAt:
		f.seen[fmt.Sprintf("start, table %v, unknown %v, old %v", decision.FromTable, decision.UnknownSets, len(decision.OldSets) > 0)]++
		n.gate = NewGate(f.now, n.member, n.incarnation, decision, f.settings)
		n.start, n.held = nil, decision.Version
		f.carryOut(n, n.gate.OnMembers(f.now, f.members()))
	}
}

// advance advances the time; messages to running nodes are lost once they are older than Margin.
func (f *fleet) advance(seconds int) {
	for range seconds {
		f.now = f.now.Add(time.Second)
		for _, n := range f.nodes {
			f.tick(n)
		}
		f.network = slices.DeleteFunc(f.network, func(m message) bool {
			to := f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.member.ID == m.to })]
			return !to.paused && f.now.Sub(m.sent) > f.settings.Margin
		})
		if over := len(f.network) - 60; over > 0 {
			f.network = slices.Delete(f.network, 0, over)
		}
	}
}

// deliverVersion gives a node its next version, as from the table or a peer.
func (f *fleet) deliverVersion(n *node) {
	if !n.up || n.paused || n.gate == nil || n.held == f.head {
		return
	}
	n.held++
	f.carryOut(n, n.gate.OnVersion(f.now, n.held))
}

// changeView gives a node an arbitrary view of the alive members.
func (f *fleet) changeView(n *node) {
	if n.up && !n.paused && n.gate != nil {
		alive := slices.DeleteFunc(f.members(), func(Member) bool { return f.rand.IntN(3) == 0 })
		f.carryOut(n, n.gate.OnMembers(f.now, alive))
	}
}

// step injects one random event. Subjects, the first two nodes, restart often and
// their witnesses rarely, since this is the case in which an old version could return.
func (f *fleet) step() {
	n := f.nodes[f.rand.IntN(2)]
	witness := f.nodes[f.rand.IntN(len(f.nodes))]
	switch f.rand.IntN(60) {
	case 0:
		f.tableDown = !f.tableDown
	case 1:
		f.advance(f.rand.IntN(4))
	case 2, 3, 4:
		if !f.tableDown {
			f.head += 3
		}
	case 5, 6, 7, 8, 9, 10, 11, 12:
		f.deliverVersion(n)
	case 13, 14:
		f.changeView(n)
	case 15, 16, 17:
		f.crash(n)
		f.boot(n)
		f.tick(n)
	case 18:
		f.crash(witness)
		f.boot(witness)
	case 19:
		if witness.up = !witness.up; witness.up {
			f.boot(witness)
		}
	case 20:
		witness.paused = witness.up
	case 21:
		witness.paused = false
	case 22:
		f.restartDomain(witness.member.Domain)
	case 23:
		f.advance([]int{3, 7, 30, 135}[f.rand.IntN(4)])
	case 24, 25, 26:
		f.advance(1)
		f.deliverAll()
	case 27, 28, 29:
		f.advance(1)
	case 30, 31, 32:
		if len(f.network) > 0 {
			i := f.rand.IntN(len(f.network))
			f.network = slices.Delete(f.network, i, i+1)
		}
	default:
		for range 3 {
			if len(f.network) > 0 {
				f.deliver(f.rand.IntN(len(f.network)))
			}
		}
	}
}

// prelude starts the subjects, then mostly makes the table unavailable while newer
// versions are still spreading, so that only witnesses hold them.
func (f *fleet) prelude() {
	for range 3 {
		f.advance(1)
		f.deliverAll()
	}
	f.head += 30
	f.tableDown = f.rand.IntN(4) > 0
}

// restartDomain restarts a random half of a failure domain at once.
func (f *fleet) restartDomain(domain string) {
	for _, n := range f.nodes {
		if n.member.Domain == domain && f.rand.IntN(2) == 0 {
			f.crash(n)
			f.boot(n)
		}
	}
}

// deliverAll delivers messages until only paused nodes have any left.
func (f *fleet) deliverAll() {
	for i := 0; i < len(f.network); {
		if !f.deliver(i) {
			i++
		}
	}
}

// settle ends all faults and checks that the subjects reach the newest version.
func (f *fleet) settle() {
	f.tableDown = false
	for _, n := range f.nodes {
		n.paused = false
		if !n.up {
			f.boot(n)
		}
	}
	for range 300 {
		f.advance(1)
		f.deliverAll()
		for _, n := range f.nodes {
			if n.gate != nil && n.held < f.head {
				n.held = f.head
				f.carryOut(n, n.gate.OnVersion(f.now, f.head))
			}
			if n.gate != nil {
				f.carryOut(n, n.gate.OnMembers(f.now, f.members()))
			}
		}
	}
	for _, n := range f.nodes[:2] {
		if n.gate == nil || n.gate.InForce() != f.head || n.gate.OldSets() > 0 {
			f.t.Fatalf("%s does not reach version %d: %+v", n.member.ID, f.head, n.gate)
		}
	}
}

// Guards against an instance that goes back to an older version, under any sequence
// of restarts, table outages, lost, late and reordered messages, pauses and wrong
// views of the membership.
func TestNoInstanceGoesBack(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		mode := rapid.SampledFrom([]Mode{ConvergenceFirst, BytesFirst}).Draw(t, "mode")
		f := newFleet(t, rapid.IntRange(3, 6).Draw(t, "size"), mode, seen)
		f.prelude()
		for range 200 {
			f.step()
		}
		f.settle()
	})
	t.Logf("seen %v", seen)
	if len(seen) < 8 {
		t.Fatal("the drawn cases cover too few events")
	}
}
