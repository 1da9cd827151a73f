package bfspread

import (
	"container/heap"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfcount"
	"bilberryflow.org/lib/bfroster"
)

var errAway = errors.New("table is away")

// TestMain fixes rapid's seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// event is a call of one core at a time.
type event struct {
	at    time.Time
	order int
	node  *node
	life  int
	call  func(now time.Time) []Action
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type node struct {
	core         *Spreader
	row          bfroster.Row
	life         int
	down, frozen bool
	inbox        []event
	timer        time.Time
	adopted      []*bfconfig.State
	adoptedAt    time.Time
	refused      int
	wholes       int
	pulls        int
	pushes       int
	fetches      int
	given        int
	sent, got    int
	depth        int
	tally        *bfcount.Tally
}

// world is a queue of messages between a few cores, the table among them.
type world struct {
	now       time.Time
	rng       *rand.Rand
	options   Options
	order     *bfroster.Order
	nodes     []*node
	byHash    map[uint64]*node
	queue     events
	next      int
	lossRate  float64
	twiceRate float64
	cut       func(a, b *node) bool
	lose      func(to *node, m Message) bool
	away      bool
	advert    time.Duration
	reads     int
	crossings int
	messages  int
	// states and deltas are the table's: the naive replay of every change.
	states []*bfconfig.State
	deltas [][]byte
	fail   func(format string, args ...any)
}

func newWorld(seed uint64, options Options, size, domains int) *world {
	w := &world{
		now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(seed, 3)), options: options,
		byHash: map[uint64]*node{}, states: []*bfconfig.State{bfconfig.Empty()}, deltas: [][]byte{nil},
		advert: time.Second, fail: func(format string, args ...any) { panic(fmt.Sprintf(format, args...)) },
	}
	var rows []bfroster.Row
	for i := range size {
		domain := i % domains
		row := bfroster.Row{
			ID: fmt.Sprintf("n%05d", i), Region: fmt.Sprintf("region-%02d", domain*10/26), Domain: fmt.Sprintf("domain-%02d", domain),
			Peer: fmt.Sprintf("10.0.%d.%d:1", i>>8, i&255), Incarnation: 1,
		}
		rows = append(rows, row)
		n := &node{row: row}
		w.nodes = append(w.nodes, n)
		w.byHash[row.Key().Hash] = n
	}
	w.order = bfroster.NewOrder(rows)
	for _, n := range w.nodes {
		w.start(n, bfconfig.Empty())
	}
	return w
}

func (w *world) start(n *node, state *bfconfig.State) {
	n.life++
	n.down, n.frozen, n.inbox, n.adopted, n.timer = false, false, nil, nil, time.Time{}
	n.core = New(w.options, n.row, state, rand.New(rand.NewPCG(w.rng.Uint64(), 4)))
	n.core.SetOrder(w.order)
	w.do(n, n.core.Start(w.now))
	w.adverts(n)
}

// adverts stands in for the probes of membership, which carry the head.
func (w *world) adverts(n *node) {
	if w.advert == 0 {
		return
	}
	wait := w.advert/2 + time.Duration(w.rng.Int64N(int64(w.advert)))
	w.push(w.now.Add(wait), n, func(time.Time) []Action {
		to := w.nodes[w.rng.IntN(len(w.nodes))]
		if to != n && w.passes(n, to) {
			from, head := n.row.Key().Hash, n.core.Head()
			w.push(w.now.Add(time.Millisecond), to, func(now time.Time) []Action { return to.core.Heard(now, from, head) })
		}
		w.adverts(n)
		return nil
	})
}

func (w *world) push(at time.Time, n *node, call func(time.Time) []Action) {
	w.next++
	heap.Push(&w.queue, event{at: at, order: w.next, node: n, life: n.life, call: call})
}

func (w *world) passes(a, b *node) bool {
	return w.rng.Float64() >= w.lossRate && (w.cut == nil || !w.cut(a, b))
}

func (w *world) do(n *node, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			w.post(n, a)
		case Adopt:
			w.adopt(n, a.State)
		case ReadHead:
			w.reads++
			w.later(n, func(now time.Time) []Action { return n.core.HeadRead(now, w.head(), w.answer()) })
		case FetchDeltas:
			n.fetches++
			w.later(n, func(now time.Time) []Action { return n.core.StoreDeltas(now, w.deltas[a.After+1:], w.answer()) })
		case FetchSnapshot:
			n.wholes++
			w.later(n, func(now time.Time) []Action {
				return n.core.StoreSnapshot(now, w.head(), encodeState(w.states[w.head()]), w.answer())
			})
		case RefuseVersion:
			n.refused++
		case CensusDone:
			n.tally = &a.Tally
		case Report:
			w.fail("%s reports %v", n.row.ID, a.Err)
		}
	}
	if next := n.core.Next(); !next.IsZero() && (n.timer.IsZero() || next.Before(n.timer)) {
		n.timer = next
		w.push(next, n, func(now time.Time) []Action {
			if !n.timer.Equal(now) {
				return nil
			}
			n.timer = time.Time{}
			return n.core.Tick(now)
		})
	}
}

func encodeState(state *bfconfig.State) []byte {
	data, err := state.EncodeSnapshot()
	if err != nil {
		panic(err)
	}
	return data
}

func (w *world) answer() error {
	if w.away {
		return errAway
	}
	return nil
}

func (w *world) head() bfconfig.Version { return bfconfig.Version(len(w.states) - 1) }

func (w *world) later(n *node, call func(time.Time) []Action) {
	w.push(w.now.Add(2*time.Millisecond), n, call)
}

// adopt checks each version a node comes to hold: newer than all before, and what the naive replay gives.
func (w *world) adopt(n *node, state *bfconfig.State) {
	if len(n.adopted) > 0 && state.Version() <= n.adopted[len(n.adopted)-1].Version() {
		w.fail("%s went from version %d back to %d", n.row.ID, n.adopted[len(n.adopted)-1].Version(), state.Version())
	}
	if want := w.states[state.Version()]; string(encodeState(state)) != string(encodeState(want)) {
		w.fail("%s holds another version %d than the naive replay", n.row.ID, state.Version())
	}
	n.adopted = append(n.adopted, state)
	n.adoptedAt = w.now
}

func (w *world) post(n *node, a Send) {
	data, err := Encode(a.Message)
	if err != nil {
		panic(err)
	}
	to := w.byHash[a.To]
	n.sent += len(data)
	w.messages++
	w.count(n, to, a.Message)
	if w.lose != nil && w.lose(to, a.Message) || !w.passes(n, to) {
		return
	}
	copies := 1
	if w.rng.Float64() < w.twiceRate {
		copies = 2
	}
	for range copies {
		message, err := Decode(data)
		if err != nil {
			panic(err)
		}
		to.got += len(data)
		from := n.row.Key().Hash
		w.push(w.now.Add(w.delay(n, to)), to, func(now time.Time) []Action { return to.core.Receive(now, from, message) })
	}
}

func (w *world) count(n, to *node, message Message) {
	switch message.(type) {
	case Push:
		to.pushes++
		if to.pushes == 1 {
			to.depth = n.depth + 1
		}
		if n.row.Domain != to.row.Domain {
			w.crossings++
		}
	case Pull:
		n.pulls++
	case Snapshot:
		n.given++
	}
}

// delay is one way: 20 ms between regions, 1.5 ms between domains, 0.5 ms within one, and half as much again by chance.
func (w *world) delay(a, b *node) time.Duration {
	d := 500 * time.Microsecond
	switch {
	case a.row.Region != b.row.Region:
		d = 20 * time.Millisecond
	case a.row.Domain != b.row.Domain:
		d = 1500 * time.Microsecond
	}
	return d + time.Duration(w.rng.Int64N(int64(d)/2))
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		n := e.node
		switch {
		case n.down || e.life != n.life:
		case n.frozen:
			n.inbox = append(n.inbox, e)
		default:
			w.do(n, e.call(w.now))
		}
	}
	w.now = end
}

// thaw runs what a frozen node's sockets and timers hold, all of it old.
func (w *world) thaw(n *node) {
	n.frozen = false
	n.timer = time.Time{}
	for _, e := range n.inbox {
		w.do(n, e.call(w.now))
	}
	n.inbox = nil
	w.do(n, n.core.Tick(w.now))
}

// write commits the next change to the table, and returns its delta.
func (w *world) write() []byte {
	i := len(w.states)
	service := bfconfig.ServiceSpec{Name: fmt.Sprintf("asset-vault-%d", i%4), Slots: i}
	policy := bfconfig.PolicySpec{Name: "look-up", Class: "look-up", Deadline: time.Second, Idempotent: true}
	route := bfconfig.RouteSpec{
		Name: fmt.Sprintf("assets-%d", i%6), Prefix: fmt.Sprintf("/assets/%d", i%6), Service: service.Name, Policy: policy.Name,
	}
	ops := []bfconfig.Op{bfconfig.Put{Object: service}, bfconfig.Put{Object: policy}, bfconfig.Put{Object: route}}
	next, delta, err := w.states[i-1].Propose(bfconfig.NewChange(fmt.Sprintf("change-%d", i), "lena", w.now, ops))
	if err != nil {
		panic(err)
	}
	data, err := delta.Encode()
	if err != nil {
		panic(err)
	}
	w.states, w.deltas = append(w.states, next), append(w.deltas, data)
	return data
}

// commit writes a change at a node, which tells the others.
func (w *world) commit(n *node) {
	data := w.write()
	w.do(n, n.core.Committed(w.now, data))
}

// behind counts the nodes that are up and lack the head.
func (w *world) behind() int {
	count := 0
	for _, n := range w.nodes {
		if !n.down && n.core.Head() != HeadOf(w.states[w.head()]) {
			count++
		}
	}
	return count
}
