package bfguard

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfadmit"
	"bilberryflow.org/lib/bfdirectory"
	"bilberryflow.org/lib/bfflight"
	"bilberryflow.org/lib/bfforward"
	"bilberryflow.org/lib/bfhop"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfroute"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// Parts is what a Guard works with.
type Parts struct {
	// Home is the node's own name and the incarnation it started with.
	Home bfrecord.Home
	// Service is the service whose target runs beside the node.
	Service string
	// ColdStart gives the ramp of the service's targets.
	ColdStart func() time.Duration
	// View gives the view in force, or nil before the node has one.
	View    func() *bfroute.View
	Client  *bfforward.Client
	Minter  *bfrecord.Minter
	Timer   *bftimer.Service
	Logger  *bflog.Logger
	Metrics *bfmetric.Registry
	// Table, Directory, Resolver and Spawn serve the claims of callers' keys.
	Table     bfstore.Table
	Directory *bfdirectory.Directory
	Resolver  Resolver
	Spawn     func(name string, fn func(ctx context.Context) error)
	// Tell tells the fleet of a change of the target's state.
	Tell func(state bfroster.TargetState, slots int)
	// Quarantine holds the requests under which targets end; nil is an empty one.
	Quarantine *bfquarantine.Book
	// Crashed is called after the target's end without a word, nil where nobody asks.
	Crashed func(bfflight.Crash)
}

// Guard stands between the mesh and one target.
type Guard struct {
	parts  Parts
	books  *bfrecord.Sharded
	target local
	claims *claims
	// flights are the requests that the target works on.
	flights *bfflight.Register
	// present is what arrivals see of the target, swapped whole by Observe; nil before it has announced itself.
	present atomic.Pointer[present]
	// working counts the requests that are with the target or wait for it,
	// visits all that have no answer yet.
	working, visits atomic.Int64
	leaving         atomic.Bool
	// observing orders the changes of present and what the fleet is told.
	observing sync.Mutex
	// homes are the incarnations that this process has had in the membership.
	homes atomic.Pointer[map[uint64]bool]

	latency *bfmetric.Family
	refused *bfmetric.Counter
	unknown *bfmetric.Counter
	// skewed counts requests stamped further ahead of this node's clock than clocks may differ.
	skewed *bfmetric.Counter
}

// present is one target process with its own admission.
type present struct {
	status  Status
	limiter *bfadmit.Limiter
}

// bookShards is how many locks the records are spread over.
const bookShards = 16

// New makes the guard of one target.
func New(parts Parts) *Guard {
	if parts.Quarantine == nil {
		parts.Quarantine = bfquarantine.New("")
	}
	g := &Guard{
		parts: parts, books: bfrecord.NewSharded(parts.Home, bfrecord.DefaultLimits(), bookShards),
		target:  local{service: parts.Service, coldStart: parts.ColdStart},
		claims:  newClaims(parts),
		latency: parts.Metrics.Family("target_latency_by_class"),
		refused: parts.Metrics.Counter("guard_refused"),
		unknown: parts.Metrics.Counter("guard_outcome_unknown"),
		skewed:  parts.Metrics.Counter("guard_clock_skew"),
	}
	g.flights = g.newFlights()
	g.homes.Store(&map[uint64]bool{parts.Home.Incarnation: true})
	parts.Metrics.Gauge("guard_in_flight", g.working.Load)
	return g
}

// AddIncarnation tells of another incarnation that the membership gives this same process.
//
// A node that was held dead while it was paused comes back under a new
// incarnation. Its memory is whole, so requests sent to either are its own;
// were the new one taken for a stranger's, it would refuse everything from then on.
func (g *Guard) AddIncarnation(incarnation uint64) {
	g.observing.Lock()
	defer g.observing.Unlock()
	next := maps.Clone(*g.homes.Load())
	next[incarnation] = true
	g.homes.Store(&next)
}

// ownHome maps any of this process's incarnations to the one that the books know.
func (g *Guard) ownHome(home bfrecord.Home) bfrecord.Home {
	if home.Instance == g.parts.Home.Instance && (*g.homes.Load())[home.Incarnation] {
		return g.parts.Home
	}
	return home
}

// InFlight is how many requests are with the target or wait for it: a target that leaves exits at 0.
func (g *Guard) InFlight() int { return int(g.working.Load()) }

// Leave refuses new work for the target from now on; what is in flight is finished.
func (g *Guard) Leave() {
	g.leaving.Store(true)
	g.Observe(g.parts.Timer.Now())
}

// DrainTarget makes the present target leave; another target process takes work again.
func (g *Guard) DrainTarget() {
	g.target.drain()
	g.Observe(g.parts.Timer.Now())
}

// Status is what is known of the target now.
func (g *Guard) Status(now time.Time) Status {
	status := g.target.status(now)
	if g.leaving.Load() && status.State != bfroster.TargetNone {
		status.State = bfroster.TargetLeaving
	}
	return status
}

// Observe makes arrivals see the target's state as it is now, and tells the fleet of a change.
//
// Two observations may come at once, from an announcement and from the timer.
// They go one after the other: out of order, the gate of a target that is gone
// would stay, or the fleet would hear last what was true first.
func (g *Guard) Observe(now time.Time) {
	g.observing.Lock()
	defer g.observing.Unlock()
	status := g.Status(now)
	before := g.present.Load()
	if status.State == bfroster.TargetNone || before != nil && before.status == status {
		return
	}
	g.present.Store(g.next(before, status))
	g.log(before, status)
	g.parts.Tell(status.State, status.Slots)
}

// next makes admission follow the target.
//
// Another target process starts with all its slots free, whatever the one
// before it had in use, so it gets a gate of its own.
func (g *Guard) next(before *present, status Status) *present {
	if before == nil || before.status.Incarnation != status.Incarnation {
		return &present{status: status, limiter: g.newLimiter(status)}
	}
	switch {
	case status.State == bfroster.TargetLeaving:
		before.limiter.Drain()
	case status.Slots != before.status.Slots:
		before.limiter.Resize(status.Slots)
	}
	return &present{status: status, limiter: before.limiter}
}

func (g *Guard) newLimiter(status Status) *bfadmit.Limiter {
	gate := bfadmit.NewGate(bfadmit.Config{
		Slots: status.Slots, ColdSince: status.ColdSince, ColdStart: g.parts.ColdStart(),
		Seed: g.parts.Home.Incarnation,
	})
	return bfadmit.NewLimiter(gate, g.parts.Timer.Now, g.parts.Timer)
}

// load is what goes back with each answer.
func (g *Guard) load() bfhop.Load {
	present := g.present.Load()
	if present == nil {
		return bfhop.Load{}
	}
	load := present.limiter.Load()
	return bfhop.Load{
		InUse: load.InUse(), Queued: load.Queued(), Slots: load.Slots(), ServiceTime: load.ServiceTime(),
	}
}

func (g *Guard) log(before *present, after Status) {
	service := slog.String("service", g.parts.Service)
	switch {
	case after.State == bfroster.TargetLeaving:
		g.parts.Logger.Emit(bflog.TargetLeaving, service)
	case after.State == bfroster.TargetSilent:
		g.parts.Logger.Emit(bflog.TargetSilent, service)
	case before == nil || before.status.Incarnation != after.Incarnation:
		g.parts.Logger.Emit(bflog.TargetAnnounced, service, slog.Int("slots", after.Slots))
	}
}

// Idle waits until every arrival has its answer and every claimed key its outcome, or ctx ends.
//
// A node that left before the outcome of a key is written would take it along:
// a resend of that key would be told "unknown" for a request that was answered.
func (g *Guard) Idle(ctx context.Context) {
	const poll = 20 * time.Millisecond
	for g.visits.Load()+g.claims.settling.Load() > 0 && g.parts.Timer.Wait(ctx, poll) == nil {
	}
}

var _ http.Handler = (*Guard)(nil)
