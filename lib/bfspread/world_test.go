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

var errUnavailable = errors.New("table unavailable")

// TestMain fixes rapid's seed, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// event is a scheduled call of one node's Spreader.
type event struct {
	at          time.Time
	order       int
	node        *node
	incarnation int
	call        func(now time.Time) []Action
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
	core            *Spreader
	row             bfroster.Row
	incarnation     int
	down, paused    bool
	inbox           []event
	timer           time.Time
	adopted         []*bfconfig.State
	adoptedAt       time.Time
	rejections      int
	snapshotFetches int
	pulls           int
	pushes          int
	deltaFetches    int
	snapshotsSent   int
	sent, received  int
	depth           int
	tally           *bfcount.Tally
}

// world simulates nodes that exchange messages, and the table.
type world struct {
	now            time.Time
	rng            *rand.Rand
	options        Options
	order          *bfroster.Order
	nodes          []*node
	byHash         map[uint64]*node
	queue          events
	nextOrder      int
	lossRate       float64
	duplicateRate  float64
	partitioned    func(a, b *node) bool
	drop           func(to *node, m Message) bool
	tableDown      bool
	advertInterval time.Duration
	reads          int
	crossings      int
	messages       int
	// states and deltas are the content of the table: the naive replay of all changes.
	states []*bfconfig.State
	deltas [][]byte
	fail   func(format string, args ...any)
}

func newWorld(seed uint64, options Options, size, domains int) *world {
	w := &world{
		now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(seed, 3)), options: options,
		byHash: map[uint64]*node{}, states: []*bfconfig.State{bfconfig.Empty()}, deltas: [][]byte{nil},
		advertInterval: time.Second, fail: func(format string, args ...any) { panic(fmt.Sprintf(format, args...)) },
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
	n.incarnation++
	n.down, n.paused, n.inbox, n.adopted, n.timer = false, false, nil, nil, time.Time{}
	n.core = New(w.options, n.row, state, rand.New(rand.NewPCG(w.rng.Uint64(), 4)))
	n.core.SetOrder(w.order)
	w.execute(n, n.core.Start(w.now))
	w.scheduleAdvert(n)
}

// scheduleAdvert sends the node's head to random nodes, in place of membership probes.
func (w *world) scheduleAdvert(n *node) {
	if w.advertInterval == 0 {
		return
	}
	wait := w.advertInterval/2 + time.Duration(w.rng.Int64N(int64(w.advertInterval)))
	w.push(w.now.Add(wait), n, func(time.Time) []Action {
		to := w.nodes[w.rng.IntN(len(w.nodes))]
		if to != n && w.isDelivered(n, to) {
			from, head := n.row.Key().Hash, n.core.Head()
			w.push(w.now.Add(time.Millisecond), to, func(now time.Time) []Action { return to.core.HeadAdvertised(now, from, head) })
		}
		w.scheduleAdvert(n)
		return nil
	})
}

func (w *world) push(at time.Time, n *node, call func(time.Time) []Action) {
	w.nextOrder++
	heap.Push(&w.queue, event{at: at, order: w.nextOrder, node: n, incarnation: n.incarnation, call: call})
}

func (w *world) isDelivered(a, b *node) bool {
	return w.rng.Float64() >= w.lossRate && (w.partitioned == nil || !w.partitioned(a, b))
}

func (w *world) execute(n *node, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			w.transmit(n, a)
		case Adopt:
			w.adopt(n, a.State)
		case ReadHead:
			w.reads++
			w.afterTableDelay(n, func(now time.Time) []Action { return n.core.HeadRead(now, w.head(), w.tableErr()) })
		case FetchDeltas:
			n.deltaFetches++
			w.afterTableDelay(n, func(now time.Time) []Action { return n.core.StoreDeltas(now, w.deltas[a.After+1:], w.tableErr()) })
		case FetchSnapshot:
			n.snapshotFetches++
			w.afterTableDelay(n, func(now time.Time) []Action {
				return n.core.StoreSnapshot(now, w.head(), encodeState(w.states[w.head()]), w.tableErr())
			})
		case RejectVersion:
			n.rejections++
		case CensusDone:
			n.tally = &a.Tally
		case Report:
			w.fail("%s reported an error: %v", n.row.ID, a.Err)
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

func (w *world) tableErr() error {
	if w.tableDown {
		return errUnavailable
	}
	return nil
}

func (w *world) head() bfconfig.Version { return bfconfig.Version(len(w.states) - 1) }

func (w *world) afterTableDelay(n *node, call func(time.Time) []Action) {
	w.push(w.now.Add(2*time.Millisecond), n, call)
}

// adopt checks that an adopted version is newer than those before and equals the naive replay.
func (w *world) adopt(n *node, state *bfconfig.State) {
	if len(n.adopted) > 0 && state.Version() <= n.adopted[len(n.adopted)-1].Version() {
		w.fail("%s went from version %d back to %d", n.row.ID, n.adopted[len(n.adopted)-1].Version(), state.Version())
	}
	if want := w.states[state.Version()]; string(encodeState(state)) != string(encodeState(want)) {
		w.fail("%s holds version %d with a state that differs from the naive replay", n.row.ID, state.Version())
	}
	n.adopted = append(n.adopted, state)
	n.adoptedAt = w.now
}

func (w *world) transmit(n *node, a Send) {
	data, err := Encode(a.Message)
	if err != nil {
		panic(err)
	}
	to := w.byHash[a.To]
	n.sent += len(data)
	w.messages++
	w.countMessage(n, to, a.Message)
	if w.drop != nil && w.drop(to, a.Message) || !w.isDelivered(n, to) {
		return
	}
	copies := 1
	if w.rng.Float64() < w.duplicateRate {
		copies = 2
	}
	for range copies {
		message, err := Decode(data)
		if err != nil {
			panic(err)
		}
		to.received += len(data)
		from := n.row.Key().Hash
		w.push(w.now.Add(w.delay(n, to)), to, func(now time.Time) []Action { return to.core.Receive(now, from, message) })
	}
}

func (w *world) countMessage(n, to *node, message Message) {
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
		n.snapshotsSent++
	}
}

// delay is the one-way latency: 20 ms between regions, 1.5 ms between domains and
// 0.5 ms within one, plus up to half of that at random.
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
		case n.down || e.incarnation != n.incarnation:
		case n.paused:
			n.inbox = append(n.inbox, e)
		default:
			w.execute(n, e.call(w.now))
		}
	}
	w.now = end
}

// resume ends the pause of a node: it handles the messages and timers of the pause.
func (w *world) resume(n *node) {
	n.paused = false
	n.timer = time.Time{}
	for _, e := range n.inbox {
		w.execute(n, e.call(w.now))
	}
	n.inbox = nil
	w.execute(n, n.core.Tick(w.now))
}

// commitToTable commits the next change to the table and returns its encoded delta.
func (w *world) commitToTable() []byte {
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

// commit commits the next change through a node, which pushes it.
func (w *world) commit(n *node) {
	data := w.commitToTable()
	w.execute(n, n.core.Committed(w.now, data))
}

// behind counts the running nodes that don't hold the head.
func (w *world) behind() int {
	count := 0
	for _, n := range w.nodes {
		if !n.down && n.core.Head() != HeadOf(w.states[w.head()]) {
			count++
		}
	}
	return count
}
