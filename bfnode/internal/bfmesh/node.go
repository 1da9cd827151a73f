package bfmesh

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/go-kratos/kratos/v2/transport"

	"bilberryflow.org/lib/bfbackup"
	"bilberryflow.org/lib/bfbatch"
	"bilberryflow.org/lib/bfboot"
	"bilberryflow.org/lib/bfbudget"
	"bilberryflow.org/lib/bfdeparture"
	"bilberryflow.org/lib/bfdeploy"
	"bilberryflow.org/lib/bfentry"
	"bilberryflow.org/lib/bfera"
	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bffollow"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bfinspect"
	"bilberryflow.org/lib/bflifecycle"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfnews"
	"bilberryflow.org/lib/bfoperator"
	"bilberryflow.org/lib/bfpacer"
	"bilberryflow.org/lib/bfpacker"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfpipeline"
	"bilberryflow.org/lib/bfpresence"
	"bilberryflow.org/lib/bfprogram"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfquotanet"
	"bilberryflow.org/lib/bfresource"
	"bilberryflow.org/lib/bfrollout"
	"bilberryflow.org/lib/bfrumor"
	"bilberryflow.org/lib/bfserver"
	"bilberryflow.org/lib/bfstall"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
	"bilberryflow.org/lib/bftraffic"
	"bilberryflow.org/lib/bftransfer"
	"bilberryflow.org/platform/bfdialect"
)

// node holds the components of one node.
type node struct {
	common     CommonSettings
	settings   MeshSettings
	logger     *bflog.Logger
	metrics    *bfmetric.Registry
	group      *bfgroup.Group
	timer      *bftimer.Service
	targets    *bfexchange.Client
	nodes      *bfexchange.Client
	fleet      *bffleet.Fleet
	traffic    *bftraffic.Holder
	host       *bfhost.Host
	entry      *bfentry.Handler
	pacer      *bfpacer.Pacer
	store      *bfera.Store
	presence   *bfpresence.Presence
	departures *bfdeparture.Journal
	batcher    *bfbatch.Batcher
	state      *state
	config     *bffollow.Follower
	members    *bffollow.Follower
	calls      *bfpeer.Calls
	news       *bfnews.Exchange
	quarantine *bfquarantine.Book
	rumor      *bfrumor.Exchange
	rollouts   *bfrollout.Book
	conductor  *bfdeploy.Conductor
	backup     *bfbackup.Backup
	freshness  *freshness
	quotas     *bfquotanet.Exchange
	peers      net.Listener
	callers    *bfpipeline.Server
	ready      readiness
	// budget bounds what the process holds for clients.
	budget *bfresource.Budget
}

const (
	// dialTimeout bounds dialing another node or the target. Packets between failure
	// domains take milliseconds; a lost SYN is retransmitted after a second, and trying
	// another target is faster than that.
	dialTimeout = 200 * time.Millisecond
	// targetIdleTimeout is how long an idle connection to the target is kept if the target
	// announces no timeout: it announces whole seconds, so none means less than one.
	targetIdleTimeout = 200 * time.Millisecond
	// nodeIdleTimeout is how long an idle connection to another node is kept. It is below
	// the idle timeout of bfserver, which closes the other end.
	nodeIdleTimeout = 30 * time.Second
	// callIdleTimeout is how long an idle connection for calls to another node is kept.
	// Most calls go to this node's regular recipients, twice a second; the others go to
	// nodes chosen at random, in a large fleet rarely the same again.
	callIdleTimeout = 5 * time.Second
	// closeTimeout bounds closing the ports after the drain.
	closeTimeout = 100 * time.Millisecond
	// sweepInterval is how often idle connections are closed.
	sweepInterval = 5 * time.Second
)

// Build returns the app of a node whose configuration the platform keeps. It opens the
// node's ports and fails with a *bfserver.ListenError if one can't be opened.
func Build(common CommonSettings, settings MeshSettings, logger *bflog.Logger) (bfprogram.App, error) {
	n := newNode(common, settings, bfboot.Now, logger)
	n.publishMetrics()
	// A process has one set of published metrics; tests make several nodes.
	n.metrics.Publish("node")
	ports, err := n.listen()
	if err != nil {
		return bfprogram.App{}, err
	}
	return bfprogram.App{
		Servers:      append(ports, n),
		Drain:        n.drain,
		StopTimeout:  settings.Grace.Std(),
		CloseTimeout: closeTimeout,
	}, nil
}

// newNode returns a node with a clock that counts suspensions of the machine.
func newNode(common CommonSettings, settings MeshSettings, clock func() time.Duration, logger *bflog.Logger) *node {
	n := &node{
		common: common, settings: settings, logger: logger,
		metrics:    bfmetric.New(),
		group:      bfgroup.New(context.Background()),
		timer:      bftimer.New(uint64(time.Now().UnixNano())),
		fleet:      bffleet.New(place(common, settings)),
		traffic:    bftraffic.NewHolder(nil),
		quarantine: bfquarantine.New(common.Inbound),
		budget:     bfresource.New(common.Limits),
	}
	n.rollouts = bfrollout.NewBook(bfrollout.Config{Terms: settings.Rollouts.terms(), Entries: n.fleet.Size, Now: n.timer.Now})
	n.pacer = bfpacer.New(n.timer, settings.LinkMbps)
	account := n.account()
	names := bfdialect.Headers()
	n.targets = bfexchange.New(bfexchange.Options{IDHeader: names.RequestID, DialTimeout: dialTimeout, DefaultIdleTimeout: targetIdleTimeout, MaxOpen: common.Limits.TargetConnections()})
	n.nodes = bfexchange.New(bfexchange.Options{DialTimeout: dialTimeout, DefaultIdleTimeout: nodeIdleTimeout, MaxOpen: common.Limits.ForwardConnections(), Wrap: n.wrap})
	n.host = bfhost.New(bfhost.Config{
		Service: common.Service, Names: names, Client: n.targets, Timer: n.timer, Account: account,
		AwaitDepartures: !settings.FirstStart, Departed: func(all []bflifecycle.Departure) { n.departures.Record(all) },
		Changed: n.targetChanged, HeartbeatIgnored: n.logIgnoredHeartbeat, HealthPath: n.healthPath, Spawn: n.group.Go, Verified: n.logVerification, Quarantine: n.quarantine, Crashed: n.targetCrashed, AdmitsVersion: n.admitsVersion, LimitChanged: n.limitChanged, LearnsRoom: settings.LearnRoom,
		Transfers: bftransfer.Terms{Body: common.Limits.Body, AnswerPause: common.Limits.AnswerPause},
	})
	n.freshness = newFreshness(settings.Revocation, clock, n.current, logger)
	n.quotas = n.newQuotas()
	n.entry = bfentry.New(bfentry.Config{
		Freshness: n.freshness,
		Service:   common.Service, Inbound: common.Inbound, Names: names,
		Traffic: n.traffic, Fleet: n.fleet, Host: n.host, Client: n.nodes, Pacer: n.pacer,
		Spawn: n.group.Go, OnMemberLost: n.removeLostMember, Account: account, Quarantine: n.quarantine, Rollouts: n.rollouts,
		Quota: n.entryQuota(), Hedging: settings.Hedging.terms(), Timer: n.timer, Logger: logger, Metrics: n.metrics,
	})
	n.store = bfera.New(bfdialect.NewStore(common.PlatformAddress), logger)
	n.newStoreFollowers(n.store)
	n.newNodeCalls()
	n.ready = readiness{configured: func() bool { return n.traffic.Current() != nil }}
	return n
}

// account returns the retry budget for the callers' requests that the node sends and
// for the runs of its target.
func (n *node) account() *bfbudget.Account {
	return bfbudget.New(bfbudget.Options{
		Terms: n.settings.Repeats.terms(), Nodes: n.fleet.Size, Now: n.timer.Now, Random: rand.Float64,
		OnNewService: func(service string, left func() float64) {
			n.metrics.Gauge("repeats_left_"+service, func() int64 { return int64(left()) })
		},
	})
}

// wrap compresses the headers of what is sent to other failure domains; within the
// node's own, bandwidth costs next to nothing.
func (n *node) wrap(inbound string, c net.Conn) net.Conn {
	if member, found := n.fleet.Member(inbound); !found || member.Domain == n.common.FailureDomain {
		return c
	}
	return bfpacker.Pack(c)
}

func (n *node) newNodeCalls() {
	methods := bfpeer.Methods{}
	n.calls = bfpeer.NewCalls(methods, bfpeer.NewTraffic(n.metrics), n.group)
	n.newQuarantineExchange()
	n.newConductor()
	n.news = bfnews.New(bfnews.Config{
		Self: n.common.Peer, Place: place(n.common, n.settings), FirstStart: n.settings.FirstStart, State: n.state,
		Fleet: n.fleet, Calls: n.calls, Timer: n.timer, Logger: n.logger, Spawn: n.group.Go, Quarantine: n.rumor, Rollouts: n.conductor,
		Withdrawn: n.presence.Withdrawn, Clock: n.freshness.clock, Proof: n.freshness.proof, Era: n.store.Era,
	})
	maps.Copy(methods, n.news.Methods())
	maps.Copy(methods, n.rumor.Methods())
	maps.Copy(methods, n.conductor.Methods())
	maps.Copy(methods, n.batcher.Methods())
	maps.Copy(methods, n.newDepartures().Methods())
	n.addQuotaMethods(methods)
}

// writeBatched has the row written by the node that batches writes: the fleet's first
// source, or a seed while the members are unknown on a first start.
func (n *node) writeBatched(ctx context.Context, write bfstore.RowWrite) (bfstore.Revision, error) {
	peer := n.news.BatchWriter()
	if peer == "" && n.settings.FirstStart {
		peer = n.settings.seedPeer(n.common.Peer)
	}
	switch peer {
	case "":
		return 0, &bfbatch.BatchError{Reason: &bfstore.UnavailableError{Reason: "no node that batches writes is known"}}
	case n.common.Peer:
		return n.batcher.Write(ctx, write)
	}
	return bfbatch.Remote{Calls: n.calls, Peer: peer}.Write(ctx, write)
}

// targetChanged updates the node's row in the table of members after a change of the
// target.
func (n *node) targetChanged(target *bflifecycle.Target) {
	if target == nil {
		n.logger.Emit(bflog.TargetChanged, slog.Bool("takes_work", false), slog.String("source", "refused request"))
		n.presence.SetDesired(nil)
		return
	}
	n.logger.Emit(bflog.TargetChanged,
		slog.String("incarnation", target.Incarnation()), slog.Bool("takes_work", target.AcceptsWork()),
		slog.String("source", string(target.Source())), slog.Int64("sequence", target.Sequence()),
		slog.Int("slots", target.Slots()), slog.String("address", target.Address()), slog.Duration("warm_up_left", target.WarmUpLeft()))
	if !target.AcceptsWork() || n.ready.leaving.Load() {
		n.presence.SetDesired(nil)
		return
	}
	member := bffleet.Member{
		Inbound: n.common.Inbound, Peer: n.common.Peer, Service: n.common.Service,
		Domain: n.common.FailureDomain, Slots: target.Slots(), LinkMbps: int(n.settings.LinkMbps), Instance: n.common.Instance,
		Incarnation: target.Incarnation(), Address: target.Address(), Version: target.Version(),
	}
	if started := target.Started(); !started.IsZero() {
		member.StartedMilli = started.UnixMilli()
	}
	value, err := member.Encode()
	if err != nil {
		n.logger.Emit(bflog.InvariantBroken, bflog.Err(err))
		return
	}
	n.presence.SetDesired(value)
}

// firstEra is the era of a store that was never restored from a copy.
const firstEra = 1

// storeRestored reports whether the store was ever restored from a copy.
func (n *node) storeRestored() bool { return n.store.Era() > firstEra }

// restoreTarget restores the target of the node's own row after a restart of the node.
func (n *node) restoreTarget(own bffleet.Member) {
	if !own.HasTarget() || n.storeRestored() {
		// After a restore of the store, the row may be older than the target's departure.
		return
	}
	n.host.RestoreTarget(bflifecycle.Heartbeat{
		Incarnation: own.Incarnation, Started: own.Started(), Service: own.Service, Address: own.Address, Version: own.Version,
		Slots: own.Slots, State: bflifecycle.Ready,
	})
}

// inspector returns the backend of the operators' commands.
func (n *node) inspector() *bfinspect.Backend {
	return bfinspect.New(bfinspect.Config{
		Self: n.common.Inbound, Region: n.common.Region, Traffic: n.traffic, Fleet: n.fleet,
		QueryVersion: n.news.VersionAt, Rejected: n.state.rejected.Load, Quarantine: n.quarantine, Timer: n.timer,
		Demand: n.entry.Demand, Freshness: n.freshness, Quota: n.quotaStatus(),
	})
}

// place returns the node's position in the fleet.
func place(common CommonSettings, settings MeshSettings) bffleet.Place {
	return bffleet.Place{Inbound: common.Inbound, Domain: common.FailureDomain, LinkBytes: settings.linkBytes()}
}

// listen opens every port before any of them serves.
func (n *node) listen() ([]transport.Server, error) {
	ready := http.NewServeMux()
	ready.Handle("GET "+bfdialect.ReadyPath, &n.ready)
	type port struct {
		name, address string
		handler       http.Handler
	}
	ports := []port{
		{"target", n.common.Target, n.reports()},
		{"operator", n.common.Operator, bfoperator.NewUnauthenticated(n.inspector())},
		{"ready", n.settings.Ready, ready},
	}
	limits := n.common.Limits
	service := func() *bfresource.Port { return n.budget.NewPort(limits.ServiceConnections()) }
	callers, err := bfpipeline.Listen(n.common.Caller, bfpipeline.Config{
		Name: "caller", Handler: n.entry, MayRunConcurrently: n.entry.MayRunConcurrently, RejectHeader: n.entry.RejectHeader, Limits: n.limits,
		SendBuffer: n.settings.sendBuffer(), Logger: n.logger, Port: n.budget.NewPort(limits.CallerConnections()),
	})
	if err != nil {
		return nil, err
	}
	n.callers = callers
	handler := bfhost.NewInbound(n.host, n.pacer)
	inbound, err := bfserver.ListenPacked("inbound", n.common.Inbound, handler, bfserver.Options{
		Bounds: n.budget.NewPort(limits.NodeConnections()), Exhausted: handler.RefuseExhausted,
	}, n.logInvalidFrame)
	if err != nil {
		return nil, err
	}
	inbound.SendBuffer(n.settings.sendBuffer())
	servers := []transport.Server{callers, inbound}
	if n.settings.Metrics != "" {
		metrics := http.NewServeMux()
		metrics.Handle("GET /debug/vars", bfmetric.Handler())
		ports = append(ports, port{"metrics", n.settings.Metrics, metrics})
	}
	for _, port := range ports {
		server, err := bfserver.Listen(port.name, port.address, port.handler, bfserver.Options{Bounds: service()})
		if err != nil {
			return nil, err
		}
		server.SendBuffer(n.settings.sendBuffer())
		servers = append(servers, server)
	}
	if n.peers, err = net.Listen("tcp", n.common.Peer); err != nil {
		return nil, &bfserver.ListenError{Port: "peer", Address: n.common.Peer, Reason: err}
	}
	n.peers = bfresource.NewListener(n.peers, n.budget.NewPort(limits.PeerConnections()))
	return servers, nil
}

// limits returns the limits of callers' requests in the configuration in force.
func (n *node) limits() bfpipeline.Limits {
	traffic := n.traffic.Current()
	if traffic == nil {
		return bfpipeline.Limits{}
	}
	l := traffic.Limits()
	return bfpipeline.Limits{
		HeaderBytes: min(l.MaxHeaderBytes, bfheader.MaxHead), BodyBytes: l.MaxBodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout,
	}
}

// Start runs the node's background work and returns when Stop is called.
func (n *node) Start(context.Context) error {
	n.group.Go("timer", n.timer.Run)
	n.group.Go("calls", func(ctx context.Context) error { return n.calls.Serve(ctx, n.peers) })
	n.group.Go("follow configuration", n.config.Run)
	n.group.Go("follow members", n.members.Run)
	n.group.Go("presence", n.presence.Run)
	n.group.Go("departures", n.departures.Run)
	n.group.Go("news", n.news.Run)
	n.group.Go("rumor", n.rumor.Run)
	n.group.Go("backup", n.backup.Run)
	n.group.Go("roll-outs", n.conductor.Run)
	n.runQuotas()
	n.timer.Every(func() time.Duration { return sweepInterval }, n.sweep)
	n.host.WatchTransfers(func(count int64) { n.logger.Emit(bflog.TransfersEnded, slog.Int64("requests", count)) })
	n.budget.Watch(n.timer, n.logger)
	n.freshness.watch(n.timer, n.metrics)
	n.metrics.Gauge("process_stalls", bfstall.Watch(n.timer, n.logger).Stalls)
	return n.group.Wait()
}

// Stop ends the node's background work.
func (n *node) Stop(context.Context) error {
	n.calls.CloseAll()
	n.group.Cancel()
	return nil
}

func (n *node) sweep(now time.Time) {
	n.targets.CloseExpired(now)
	n.nodes.CloseExpired(now)
	n.calls.CloseIdle(now, callIdleTimeout)
}
