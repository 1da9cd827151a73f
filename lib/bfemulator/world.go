package bfemulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bilberryflow.org/lib/bfagenda"
	"bilberryflow.org/lib/bfbudget"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfslot"
	"bilberryflow.org/lib/bfwalk"
)

const (
	// nearWay and farWay are how long a message takes within a domain and to another one.
	nearWay = 200 * time.Microsecond
	farWay  = 700 * time.Microsecond
	// unreachedAfter is how long a connection to a target that crashed takes to fail.
	unreachedAfter = time.Millisecond
)

// world is one play of a load.
type world struct {
	load   Load
	begin  time.Time
	agenda *bfagenda.Agenda
	nodes  []*node
	// byName finds a node by the inbound address of its member.
	byName map[string]*node
	report *Report
	// runs counts the runs that have begun, callers the requests.
	runs, callers uint64
	// crashes counts the ends of targets.
	crashes uint64
	// random is drawn from in the order of events, which is the same each time.
	random *rand.Rand
}

// node is a node and the target beside it.
type node struct {
	service int
	speed   float64
	// place is its number among the targets of its service.
	place   int
	domain  int
	fleet   *bffleet.Fleet
	account *bfbudget.Account
	queue   *bfslot.Queue
	granted map[*bfslot.Ticket]func()
	// near and far are how often targets took what this node asked them for.
	near, far bfwalk.AcceptRates
	// usual is the mean time of each class from its sending to its answer.
	usual map[int]time.Duration
	// running are those that the target works on, by their number.
	running map[uint64]*run
	// book is what the node knows of requests under which targets end, apart whether its
	// target runs one that has to run apart; until then the target that one ended is away.
	book    *bfquarantine.Book
	answers bfquarantine.RecentAnswers
	apart   bool
	away    time.Time
}

// Play plays a load.
func Play(load Load) *Report {
	w := newWorld(load)
	for class, c := range load.Classes {
		if c.PerSecond > 0 {
			w.arrive(class)
		}
	}
	for i, f := range load.Faults {
		if f.Kind == crash {
			w.agenda.After(f.From.Std(), func() { w.crash(i) })
		}
	}
	w.agenda.Run()
	return w.report
}

func newWorld(load Load) *world {
	begin := time.Unix(0, 0)
	w := &world{
		load: load, begin: begin, agenda: bfagenda.New(begin), byName: map[string]*node{}, report: newReport(load),
		random: rand.New(rand.NewPCG(load.Seed, ^load.Seed)),
	}
	var members []bffleet.Member
	for domain := range load.Domains {
		for s, service := range load.Services {
			for at := range service.Targets {
				m := bffleet.Member{
					Inbound: fmt.Sprintf("10.%d.%d.%d:1", domain, s, at+1), Service: service.Name,
					Domain: fmt.Sprint("domain-", domain), Slots: service.Slots,
				}
				members = append(members, m)
				w.byName[m.Inbound] = w.addNode(s, at, domain, service)
			}
		}
	}
	for _, m := range members {
		n := w.byName[m.Inbound]
		n.fleet = bffleet.NewWithRandom(bffleet.Place{Inbound: m.Inbound, Domain: m.Domain}, w.random.Float64)
		n.fleet.Replace(members)
	}
	return w
}

func (w *world) addNode(service, at, domain int, s Service) *node {
	n := &node{
		service: service, speed: s.Speeds[at%len(s.Speeds)], place: domain*s.Targets + at, domain: domain, queue: bfslot.NewQueue(s.Slots),
		granted: map[*bfslot.Ticket]func(){}, usual: map[int]time.Duration{}, running: map[uint64]*run{},
		book: bfquarantine.New(fmt.Sprint(service, domain, at)),
	}
	n.account = bfbudget.New(bfbudget.Options{
		Terms: w.load.Repeats.terms(), Nodes: func() int { return len(w.nodes) },
		Now: func() time.Time { return w.agenda.Now() }, Random: w.random.Float64,
	})
	w.nodes = append(w.nodes, n)
	return n
}

// passed is the time since the start.
func (w *world) passed() time.Duration { return w.agenda.Now().Sub(w.begin) }

// fault is the strongest x of the faults of a kind that a node's target has now, 0 for none.
func (w *world) fault(kind string, n *node) (x float64) {
	for _, f := range w.load.Faults {
		if f.Kind != kind || !f.holds(w.passed()) {
			continue
		}
		if kind == burst || w.load.service(f.Service) == n.service && w.befalls(f, n) {
			x = max(x, f.X)
		}
	}
	return x
}

// befalls reports whether a fault meets a node's target: an equal part of each domain.
func (w *world) befalls(f Fault, n *node) bool {
	all := w.load.Services[n.service].Targets * w.load.Domains
	// Each step of a golden ratio lands in another part, so that domains and speeds are met alike.
	_, part := math.Modf(float64(n.place) * math.Phi)
	return part < f.Share || f.Share*float64(all) >= float64(all)
}

// down reports whether a node's target has crashed and is not back.
func (w *world) down(n *node) bool {
	if w.agenda.Now().Before(n.away) {
		return true
	}
	for _, f := range w.load.Faults {
		if f.Kind == crash && f.holds(w.passed()) && w.load.service(f.Service) == n.service && w.befalls(f, n) {
			return true
		}
	}
	return false
}

// arrive has the next caller of a class come, and the one after it.
func (w *world) arrive(class int) {
	c := w.load.Classes[class]
	rate := c.PerSecond * max(w.fault(burst, nil), 1)
	w.agenda.After(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.passed() > w.load.Length.Std() {
			return
		}
		w.arrive(class)
		w.report.classes[class].Callers++
		w.ask(w.newCaller(class, w.nodes[w.random.IntN(len(w.nodes))]))
	})
}

// newCaller draws a caller's request that begins at a node.
func (w *world) newCaller(class int, entry *node) *request {
	entry.account.Sent(w.load.Classes[class].Service)
	return w.newRequest(class, entry)
}

// newRequest draws a request that begins at a node.
func (w *world) newRequest(class int, entry *node) *request {
	c := w.load.Classes[class]
	// The mean of a lognormal time is that of its logarithm and half its variance.
	length := float64(c.Running) * math.Exp(c.Spread*w.random.NormFloat64()-c.Spread*c.Spread/2)
	r := &request{
		class: class, entry: entry, running: time.Duration(length), began: w.agenda.Now(), attempt: w.agenda.Now(),
		deadline: w.agenda.Now().Add(c.Deadline.Std()), retries: c.Retries,
	}
	w.callers++
	content := w.callers
	if c.Contents > 0 {
		content = w.random.Uint64N(uint64(c.Contents))
	}
	r.key = bfquarantine.KeyOf(bfquarantine.Request{Host: c.Name, Target: fmt.Sprint(content)})
	w.report.count(w.report.requests, w.load.service(c.Service), w.passed())
	return r
}
