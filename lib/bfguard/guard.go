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

// Config holds the dependencies of a Guard.
type Config struct {
	// Home is the node's instance name and its incarnation at start.
	Home bfrecord.NodeIncarnation
	// Service is the service of the local target.
	Service string
	// ColdStart returns the duration of the slow start of the service's targets.
	ColdStart func() time.Duration
	// View returns the current view, or nil before the node has one.
	View    func() *bfroute.View
	Client  *bfforward.Client
	Minter  *bfrecord.Minter
	Timer   *bftimer.Service
	Logger  *bflog.Logger
	Metrics *bfmetric.Registry
	// Table, Directory, Resolver and Spawn are used to claim callers' keys.
	Table     bfstore.Table
	Directory *bfdirectory.Directory
	Resolver  Resolver
	Spawn     func(name string, fn func(ctx context.Context) error)
	// PublishState propagates a change of the target's state through the membership.
	PublishState func(state bfroster.TargetState, slots int)
	// Quarantine lists the requests that crash targets; nil means none.
	Quarantine *bfquarantine.Book
	// Crashed is called after the target ended without announcing it; nil means no call.
	Crashed func(bfflight.Crash)
}

// Guard proxies requests from entry nodes to one target.
type Guard struct {
	config    Config
	records   *bfrecord.ShardedTracker
	announced announcedTarget
	claims    *claims
	// flights tracks the requests that the target is processing.
	flights *bfflight.Tracker
	// current is replaced as a whole by Observe; nil before the target's first announcement.
	current atomic.Pointer[targetProcess]
	// inFlight counts the requests that the target processes or that are queued for it,
	// unanswered all that have no response yet.
	inFlight, unanswered atomic.Int64
	leaving              atomic.Bool
	// stateMu serializes changes of current and their publication.
	stateMu sync.Mutex
	// ownIncarnations are the incarnations that this process has had in the membership.
	ownIncarnations atomic.Pointer[map[uint64]bool]

	latency *bfmetric.Family
	refused *bfmetric.Counter
	unknown *bfmetric.Counter
	// skewed counts requests whose timestamp is ahead of this node's clock by more than the allowed skew.
	skewed *bfmetric.Counter
}

// targetProcess is one process of the target with its admission limiter.
type targetProcess struct {
	status  Status
	limiter *bfadmit.Limiter
}

// recordShards is the number of locks that the records are spread over.
const recordShards = 16

// New returns the guard of one target.
func New(config Config) *Guard {
	if config.Quarantine == nil {
		config.Quarantine = bfquarantine.New("")
	}
	g := &Guard{
		config: config, records: bfrecord.NewShardedTracker(config.Home, bfrecord.DefaultLimits(), recordShards),
		announced: announcedTarget{service: config.Service, coldStart: config.ColdStart},
		claims:    newClaims(config),
		latency:   config.Metrics.Family("target_latency_by_class"),
		refused:   config.Metrics.Counter("guard_refused"),
		unknown:   config.Metrics.Counter("guard_outcome_unknown"),
		skewed:    config.Metrics.Counter("guard_clock_skew"),
	}
	g.flights = g.newFlights()
	g.ownIncarnations.Store(&map[uint64]bool{config.Home.Incarnation: true})
	config.Metrics.Gauge("guard_in_flight", g.inFlight.Load)
	return g
}

// AddIncarnation adds an incarnation that the membership assigned to this process.
//
// A node that was declared dead while it was paused rejoins under a new
// incarnation. Its records are intact, so it must accept requests sent to either;
// otherwise it would reject every request from then on.
func (g *Guard) AddIncarnation(incarnation uint64) {
	g.stateMu.Lock()
	defer g.stateMu.Unlock()
	next := maps.Clone(*g.ownIncarnations.Load())
	next[incarnation] = true
	g.ownIncarnations.Store(&next)
}

// canonicalHome maps any incarnation of this process to the one used in the records.
func (g *Guard) canonicalHome(home bfrecord.NodeIncarnation) bfrecord.NodeIncarnation {
	if home.Instance == g.config.Home.Instance && (*g.ownIncarnations.Load())[home.Incarnation] {
		return g.config.Home
	}
	return home
}

// InFlight returns the number of requests at the target or queued for it; a leaving target exits at 0.
func (g *Guard) InFlight() int { return int(g.inFlight.Load()) }

// Leave rejects new requests for the target; requests in flight are completed.
func (g *Guard) Leave() {
	g.leaving.Store(true)
	g.Observe(g.config.Timer.Now())
}

// DrainTarget marks the current target process as leaving; its successor accepts requests again.
func (g *Guard) DrainTarget() {
	g.announced.drain()
	g.Observe(g.config.Timer.Now())
}

// Status returns the target's status at now.
func (g *Guard) Status(now time.Time) Status {
	status := g.announced.status(now)
	if g.leaving.Load() && status.State != bfroster.TargetNone {
		status.State = bfroster.TargetLeaving
	}
	return status
}

// Observe applies the target's status at now to admission and publishes a change.
//
// Announcements and the timer may call it concurrently. The calls are serialized:
// otherwise the limiter of an ended target could stay in use, or an old state could
// be published last.
func (g *Guard) Observe(now time.Time) {
	g.stateMu.Lock()
	defer g.stateMu.Unlock()
	status := g.Status(now)
	before := g.current.Load()
	if status.State == bfroster.TargetNone || before != nil && before.status == status {
		return
	}
	g.current.Store(g.nextProcess(before, status))
	g.logChange(before, status)
	g.config.PublishState(status.State, status.Slots)
}

// nextProcess updates admission to the status. A new target process gets a limiter of
// its own, since all its slots are free whatever its predecessor had in use.
func (g *Guard) nextProcess(before *targetProcess, status Status) *targetProcess {
	if before == nil || before.status.Incarnation != status.Incarnation {
		return &targetProcess{status: status, limiter: g.newLimiter(status)}
	}
	switch {
	case status.State == bfroster.TargetLeaving:
		before.limiter.Drain()
	case status.Slots != before.status.Slots:
		before.limiter.Resize(status.Slots)
	}
	return &targetProcess{status: status, limiter: before.limiter}
}

func (g *Guard) newLimiter(status Status) *bfadmit.Limiter {
	gate := bfadmit.NewGate(bfadmit.Config{
		Slots: status.Slots, ColdSince: status.ColdSince, ColdStart: g.config.ColdStart(),
		Seed: g.config.Home.Incarnation,
	})
	return bfadmit.NewLimiter(gate, g.config.Timer.Now, g.config.Timer)
}

// load returns the load reported with a response.
func (g *Guard) load() bfhop.Load {
	current := g.current.Load()
	if current == nil {
		return bfhop.Load{}
	}
	load := current.limiter.Load()
	return bfhop.Load{
		InUse: load.InUse(), Queued: load.Queued(), Slots: load.Slots(), ServiceTime: load.ServiceTime(),
	}
}

func (g *Guard) logChange(before *targetProcess, after Status) {
	service := slog.String("service", g.config.Service)
	switch {
	case after.State == bfroster.TargetLeaving:
		g.config.Logger.Emit(bflog.TargetDraining, service)
	case after.State == bfroster.TargetSilent:
		g.config.Logger.Emit(bflog.TargetSilent, service)
	case before == nil || before.status.Incarnation != after.Incarnation:
		g.config.Logger.Emit(bflog.TargetAnnounced, service, slog.Int("slots", after.Slots))
	}
}

// Idle waits until every request has its response and every claimed key its recorded
// outcome, or ctx ends. If the node exited before an outcome is written, a retry
// with that key would get "unknown" for a request that was answered.
func (g *Guard) Idle(ctx context.Context) {
	const poll = 20 * time.Millisecond
	for g.unanswered.Load()+g.claims.settling.Load() > 0 && g.config.Timer.Wait(ctx, poll) == nil {
	}
}

var _ http.Handler = (*Guard)(nil)
