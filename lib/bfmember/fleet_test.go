package bfmember

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bfroster"
)

var errUnavailable = errors.New("table unavailable")

// event is a message in transit, or a node's timer if message is nil.
type event struct {
	at      time.Time
	order   int
	to      *node
	from    string
	message bfgossip.Message
}

// events is a heap ordered by time, then by order of creation.
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
	core           *Members
	address        string
	down, paused   bool
	inbox          []event
	timer          time.Time
	sent, received int
	// dead counts the members that this node marked dead since it last resumed.
	dead int
}

// fleet simulates nodes that exchange messages, with one clock and one seed.
type fleet struct {
	now         time.Time
	rng         *rand.Rand
	nodes       []*node
	byPeer      map[string]*node
	queue       events
	order       int
	lossRate    float64
	partitioned func(a, b *node) bool
	meetings    map[int]bfgossip.Meeting
	writes      int
	tableDown   bool
}

func newFleet(seed uint64) *fleet {
	return &fleet{
		now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		byPeer: map[string]*node{}, meetings: map[int]bfgossip.Meeting{},
	}
}

func (f *fleet) row(i, domains int) bfroster.Row {
	domain := i % domains
	return bfroster.Row{
		ID: fmt.Sprintf("asset-vault-%05d", i), Region: fmt.Sprintf("region-%d", domain/3),
		Domain: fmt.Sprintf("wien-domain-%02d", domain), Service: fmt.Sprintf("asset-vault-%03d", i%810),
		Peer: fmt.Sprintf("10.%d.%d.%d:7946", domain, i>>8, i&255), Inbound: fmt.Sprintf("10.%d.%d.%d:8080", domain, i>>8, i&255),
		Incarnation: uint64(f.now.UnixMicro()) + uint64(i), Target: bfroster.TargetReady, Slots: 12,
	}
}

func (f *fleet) add(options Options, row bfroster.Row) *node {
	core, err := New(options, row, rand.New(rand.NewPCG(f.rng.Uint64(), 2)))
	if err != nil {
		panic(err)
	}
	n := &node{core: core, address: row.Peer}
	f.nodes = append(f.nodes, n)
	f.byPeer[n.address] = n
	return n
}

// newJoinedFleet returns a fleet in which every node holds the rows of all nodes.
func newJoinedFleet(seed uint64, options Options, size, domains int) *fleet {
	f := newFleet(seed)
	var rows []bfroster.Row
	for i := range size {
		rows = append(rows, f.row(i, domains))
	}
	for _, row := range rows {
		n := f.add(options, row)
		for _, other := range rows {
			n.core.table.Merge(f.now, other)
		}
		n.core.gossip = bfgossip.NewQueue()
		n.core.publish()
		f.execute(n, n.core.Start(f.now, nil))
		n.core.join = join{}
	}
	f.writes, f.meetings = 0, map[int]bfgossip.Meeting{}
	return f
}

func (f *fleet) push(e event) {
	f.order++
	e.order = f.order
	heap.Push(&f.queue, e)
}

func (f *fleet) execute(n *node, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			f.transmit(n, a)
		case Changed:
			if a.New.State == bfroster.Dead {
				n.dead++
			}
		case ReadMeeting:
			var rows []bfgossip.Meeting
			for slot := range n.core.options.MeetingSlots {
				if row, found := f.meetings[slot]; found {
					rows = append(rows, row)
				}
			}
			var err error
			if f.tableDown {
				rows, err = nil, errUnavailable
			}
			defer func() { f.execute(n, n.core.MeetingRead(f.now, rows, err)) }()
		case WriteMeeting:
			f.writes++
			f.meetings[a.Meeting.Slot] = a.Meeting
		}
	}
	if next := n.core.Next(); n.timer.IsZero() || next.Before(n.timer) {
		n.timer = next
		f.push(event{at: next, to: n})
	}
}

func (f *fleet) transmit(n *node, a Send) {
	data, err := bfgossip.Encode(a.Message)
	if err != nil {
		panic(err)
	}
	n.sent += len(data)
	to := f.byPeer[a.Address]
	if to == nil || f.rng.Float64() < f.lossRate || (f.partitioned != nil && f.partitioned(n, to)) {
		return
	}
	message, err := bfgossip.Decode(data)
	if err != nil {
		panic(err)
	}
	to.received += len(data)
	delay := time.Millisecond + time.Duration(f.rng.IntN(5_000))*time.Microsecond
	f.push(event{at: f.now.Add(delay), to: to, from: n.address, message: message})
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		f.deliver(e)
	}
	f.now = end
}

func (f *fleet) deliver(e event) {
	n := e.to
	switch {
	case n.down:
	case n.paused:
		n.inbox = append(n.inbox, e)
	case e.message != nil:
		f.execute(n, n.core.Receive(f.now, e.from, e.message))
	case e.at.Equal(n.timer):
		n.timer = time.Time{}
		f.execute(n, n.core.Tick(f.now))
	}
}

// resume ends the pause of a node: its timers run first, as they may in a real
// process, then it handles the messages received during the pause.
func (f *fleet) resume(n *node) {
	n.paused, n.timer, n.dead = false, time.Time{}, 0
	f.execute(n, n.core.Tick(f.now))
	for _, e := range n.inbox {
		if e.message != nil {
			f.deliver(e)
		}
	}
	n.inbox = nil
}

// agree reports whether each running node holds each member in the state that want returns.
func (f *fleet) agree(want func(bfroster.Row) bfroster.State) bool {
	for _, n := range f.nodes {
		if n.down || n.paused {
			continue
		}
		for _, other := range f.nodes {
			row, found := n.core.Row(other.core.Self().ID)
			if !found || row.State != want(row) || want(row) == bfroster.Alive && !n.core.table.Present(bfroster.HashID(row.ID)).Alive() {
				return false
			}
		}
	}
	return true
}

func allAlive(bfroster.Row) bfroster.State { return bfroster.Alive }

// allSee reports whether the view of each running node has exactly this number of alive members.
func (f *fleet) allSee(alive int) bool {
	for _, n := range f.nodes {
		if !n.down && !n.paused && n.core.Order().Alive() != alive {
			return false
		}
	}
	return true
}
