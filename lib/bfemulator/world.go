package bfemulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bilberryflow.org/lib/bfagenda"
	"bilberryflow.org/lib/bfbudget"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bflimit"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfslot"
	"bilberryflow.org/lib/bfwalk"
)

const (
	// sameDomainDelay and crossDomainDelay are the one-way network delays within a failure
	// domain and between two.
	sameDomainDelay  = 200 * time.Microsecond
	crossDomainDelay = 700 * time.Microsecond
	// connectFailureDelay is how long a connection attempt to a crashed target takes to fail.
	connectFailureDelay = time.Millisecond
)

// world is the state of one simulation.
type world struct {
	load   Load
	begin  time.Time
	agenda *bfagenda.Agenda
	nodes  []*node
	// byAddress indexes nodes by the inbound address of their member.
	byAddress map[string]*node
	report    *Report
	// runs counts the started runs, requests the created requests.
	runs, requests uint64
	// crashes counts the crashes of targets.
	crashes uint64
	// random is used in the order of events only, which keeps simulations reproducible.
	random *rand.Rand
}

// node is a node and its local target.
type node struct {
	service int
	speed   float64
	// index is its position among the targets of its service.
	index   int
	domain  int
	fleet   *bffleet.Fleet
	account *bfbudget.Account
	queue   *bfslot.Queue
	onGrant map[*bfslot.Ticket]func()
	// sameDomain and crossDomain are the observed acceptance rates of targets in this node's
	// failure domain and in others.
	sameDomain, crossDomain bfwalk.AcceptRates
	// meanLatency is the moving average, by class, of the time from attempt to answer.
	meanLatency map[int]time.Duration
	// running holds the target's current runs by number.
	running map[uint64]*run
	// book tracks requests that were running when targets crashed, isolating is set while
	// the target runs one of them, and downUntil is when a target that one crashed is up again.
	book      *bfquarantine.Book
	answers   bfquarantine.RecentAnswers
	isolating bool
	downUntil time.Time
	// limit is what the target names, leaving is set since an answer has said that it leaves.
	limit   bflimit.Keeper
	leaving bool
}

// Simulate runs a load to its end and reports the outcomes.
func Simulate(load Load) *Report {
	w := newWorld(load)
	for class, c := range load.Classes {
		if c.PerSecond > 0 {
			w.scheduleArrival(class)
		}
	}
	for i, f := range load.Faults {
		if f.Kind == faultCrash {
			w.agenda.After(f.From.Std(), func() { w.applyCrash(i) })
		}
	}
	w.agenda.Run()
	return w.report
}

func newWorld(load Load) *world {
	begin := time.Unix(0, 0)
	w := &world{
		load: load, begin: begin, agenda: bfagenda.New(begin), byAddress: map[string]*node{}, report: newReport(load),
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
				w.byAddress[m.Inbound] = w.addNode(s, at, domain, service)
			}
		}
	}
	for _, m := range members {
		n := w.byAddress[m.Inbound]
		n.fleet = bffleet.NewWithRandom(bffleet.Place{Inbound: m.Inbound, Domain: m.Domain}, w.random.Float64)
		n.fleet.Replace(members)
	}
	return w
}

func (w *world) addNode(service, at, domain int, s Service) *node {
	n := &node{
		service: service, speed: s.Speeds[at%len(s.Speeds)], index: domain*s.Targets + at, domain: domain, queue: bfslot.NewQueue(s.Slots),
		onGrant: map[*bfslot.Ticket]func(){}, meanLatency: map[int]time.Duration{}, running: map[uint64]*run{},
		book: bfquarantine.New(fmt.Sprint(service, domain, at)),
	}
	n.account = bfbudget.New(bfbudget.Options{
		Terms: w.load.Repeats.terms(), Nodes: func() int { return len(w.nodes) },
		Now: func() time.Time { return w.agenda.Now() }, Random: w.random.Float64,
	})
	w.nodes = append(w.nodes, n)
	return n
}

// elapsed is the simulated time since the start.
func (w *world) elapsed() time.Duration { return w.agenda.Now().Sub(w.begin) }

// faultFactor returns the largest X of the active faults of a kind that affect a node's
// target, or 0 for none.
func (w *world) faultFactor(kind string, n *node) (x float64) {
	for _, f := range w.load.Faults {
		if f.Kind != kind || !f.activeAt(w.elapsed()) {
			continue
		}
		if kind == faultBurst || w.load.serviceIndex(f.Service) == n.service && w.affects(f, n) {
			x = max(x, f.X)
		}
	}
	return x
}

// affects reports whether a fault affects a node's target. It selects an equal share of each
// failure domain.
func (w *world) affects(f Fault, n *node) bool {
	all := w.load.Services[n.service].Targets * w.load.Domains
	// Multiples of the golden ratio spread evenly over [0, 1), and so over domains and speeds.
	_, part := math.Modf(float64(n.index) * math.Phi)
	return part < f.Share || f.Share*float64(all) >= float64(all)
}

// down reports whether a node's target is down after a crash.
func (w *world) down(n *node) bool {
	if w.agenda.Now().Before(n.downUntil) {
		return true
	}
	for _, f := range w.load.Faults {
		if f.Kind == faultCrash && f.activeAt(w.elapsed()) && w.load.serviceIndex(f.Service) == n.service && w.affects(f, n) {
			return true
		}
	}
	return false
}

// scheduleArrival schedules the next caller of a class, whose arrival schedules the one after it.
func (w *world) scheduleArrival(class int) {
	c := w.load.Classes[class]
	rate := c.PerSecond * max(w.faultFactor(faultBurst, nil), 1)
	w.agenda.After(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.elapsed() > w.load.Length.Std() {
			return
		}
		w.scheduleArrival(class)
		w.report.classes[class].Callers++
		w.tryNextTarget(w.newCallerRequest(class, w.nodes[w.random.IntN(len(w.nodes))]))
	})
}

// newCallerRequest creates a caller's request at an entry node and counts it in the retry budget.
func (w *world) newCallerRequest(class int, entry *node) *request {
	entry.account.Sent(w.load.Classes[class].Service)
	return w.newRequest(class, entry)
}

// newRequest creates a request with a random service time and content at an entry node.
func (w *world) newRequest(class int, entry *node) *request {
	c := w.load.Classes[class]
	// The mean of a lognormal distribution is exp(mu + sigma^2/2); this sets it to Running.
	serviceTime := float64(c.Running) * math.Exp(c.Spread*w.random.NormFloat64()-c.Spread*c.Spread/2)
	r := &request{
		class: class, entry: entry, serviceTime: time.Duration(serviceTime), firstAttempt: w.agenda.Now(), attempt: w.agenda.Now(),
		deadline: w.agenda.Now().Add(c.Deadline.Std()), retries: c.Retries,
	}
	w.requests++
	content := w.requests
	if c.Contents > 0 {
		content = w.random.Uint64N(uint64(c.Contents))
	}
	r.key = bfquarantine.KeyOf(bfquarantine.Request{Host: c.Name, Target: fmt.Sprint(content)})
	w.report.count(w.report.requests, w.load.serviceIndex(c.Service), w.elapsed())
	return r
}
