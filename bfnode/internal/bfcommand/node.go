package bfcommand

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"time"

	"bilberryflow.org/lib/bfbackend"
	"bilberryflow.org/lib/bfcaller"
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfcontrol"
	"bilberryflow.org/lib/bfdirectory"
	"bilberryflow.org/lib/bfflight"
	"bilberryflow.org/lib/bfforward"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfguard"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfoperator"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfresource"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfroute"
	"bilberryflow.org/lib/bfrumor"
	"bilberryflow.org/lib/bftable"
	"bilberryflow.org/lib/bftimer"
)

const (
	// sweepInterval is how often idle connections are closed.
	sweepInterval = 10 * time.Second
	// connectionIdleTimeout is how long an unused connection to a peer is kept open.
	connectionIdleTimeout = 30 * time.Second
)

// node holds the components of one node.
type node struct {
	settings        Settings
	home            bfrecord.NodeIncarnation
	logger          *bflog.Logger
	metrics         *bfmetric.Registry
	group           *bfgroup.Group
	timer           *bftimer.Service
	platform        *bftable.Client
	peers           net.Listener
	calls           *bfpeer.Calls
	client          *bfforward.Client
	control         *bfcontrol.Control
	quarantine      *bfquarantine.Book
	rumor           *bfrumor.Exchange
	guard           *bfguard.Guard
	targetPublisher targetPublisher
	entry           *bfcaller.Entry
	caller          *bfcaller.Handler
	operator        *bfoperator.Handler
	limits          bfresource.Limits
	budget          *bfresource.Budget
}

// newNode builds the components and connects them; the start time of the process is
// also the node's incarnation.
func newNode(settings Settings, logger *bflog.Logger, started time.Time) (*node, error) {
	incarnation := uint64(started.UnixMicro())
	n := &node{
		settings: settings, logger: logger,
		home:       bfrecord.NodeIncarnation{Instance: settings.Instance, Incarnation: incarnation},
		metrics:    bfmetric.New(),
		group:      bfgroup.New(context.Background()),
		timer:      bftimer.New(incarnation),
		quarantine: bfquarantine.New(settings.Instance),
		limits:     settings.limits(),
	}
	n.budget = bfresource.New(n.limits)
	n.budget.Publish(n.metrics)
	n.metrics.Publish("node")
	n.metrics.Gauge("goroutines_in_group", n.group.Running)
	n.platform = bftable.New(settings.Platform.Address, settings.Platform.Timeout.Std(), n.metrics)
	options := bfforward.DefaultOptions()
	options.Protocol, options.MaxOpen = bfforward.Protocol(settings.Requests.Protocol), n.limits.ForwardConnections()
	n.client = bfforward.New(options)
	minter := bfrecord.NewMinter(n.home)
	directory := bfdirectory.New(settings.FailureDomain)
	traffic := bfpeer.NewTraffic(n.metrics)
	methods := bfpeer.Methods{}
	n.calls = bfpeer.NewCalls(methods, traffic, n.group)
	n.rumor = bfrumor.New(bfrumor.Config{
		Self: settings.Listen.Peer, Book: n.quarantine, Calls: n.calls, Timer: n.timer, Spawn: n.group.Go,
		Recipients: n.rumorRecipients,
	})
	n.newGuard(minter, directory)
	n.newTargetPublisher()
	if err := n.newControl(directory, traffic, methods); err != nil {
		return nil, err
	}
	n.newCaller(directory, minter)
	n.newOperator(directory)
	return n, nil
}

func (n *node) newGuard(minter *bfrecord.Minter, directory *bfdirectory.Directory) {
	toTarget := bfforward.TargetOptions()
	toTarget.MaxOpen = n.limits.TargetConnections()
	n.guard = bfguard.New(bfguard.Config{
		Home: n.home, Service: n.settings.Service, ColdStart: n.coldStart,
		View: n.view, Client: bfforward.New(toTarget), Minter: minter,
		Timer: n.timer, Logger: n.logger, Metrics: n.metrics, PublishState: n.publishTargetState,
		Table: n.platform, Directory: directory, Resolver: bfguard.Resolver{Calls: n.calls}, Spawn: n.group.Go,
		Quarantine: n.quarantine, Crashed: n.targetCrashed,
	})
}

// rumorFanout is the number of members to which a node forwards new quarantine
// entries; each of them forwards them to as many. Members missed by this find the
// difference by the digest on a probe.
const rumorFanout = 3

// rumorRecipients returns the peers that receive new quarantine entries at once,
// chosen at random on each call.
func (n *node) rumorRecipients(bool) (peers []string) {
	order := n.control.Order()
	if order.Len() == 0 {
		return nil
	}
	for range rumorFanout {
		if row := order.At(rand.IntN(order.Len())).Row(); row.ID != n.settings.Instance && row.State.Present() {
			peers = append(peers, row.Peer)
		}
	}
	return peers
}

// targetCrashed logs a crash of the target with the requests that it was running.
func (n *node) targetCrashed(crash bfflight.Crash) {
	bfflight.LogCrash(n.logger, crash, n.quarantine.View(), n.timer.Now())
}

func (n *node) newTargetPublisher() {
	n.targetPublisher.status = func() bfguard.Status { return n.guard.Status(n.timer.Now()) }
	n.targetPublisher.publish = func(ctx context.Context, status bfguard.Status) error {
		return n.control.SetTarget(ctx, status.State, status.Slots)
	}
}

// newControl must run after newGuard: it registers the guard's methods as well.
func (n *node) newControl(directory *bfdirectory.Directory, traffic *bfpeer.Traffic, methods bfpeer.Methods) error {
	datagrams, err := bfpeer.ListenDatagrams(n.settings.Listen.Peer, traffic)
	if err != nil {
		return err
	}
	n.control, err = bfcontrol.New(bfcontrol.Config{
		Self: n.row(), Seeds: n.settings.Seeds, Profile: n.settings.profile(),
		Table: n.platform, Objects: n.platform, Datagrams: datagrams, Calls: n.calls,
		Directory: directory, Timer: n.timer, Group: n.group, Logger: n.logger, Metrics: n.metrics,
		Seed: n.home.Incarnation, Reincarnated: n.guard.AddIncarnation, Quarantine: n.rumor,
	})
	if err != nil {
		return err
	}
	// The methods must be complete before the node serves any call.
	maps.Copy(methods, n.control.Methods())
	maps.Copy(methods, n.guard.Methods())
	maps.Copy(methods, n.rumor.Methods())
	maps.Copy(methods, bfbackend.DrainMethods(n.guard.DrainTarget))
	maps.Copy(methods, bfbackend.InForceMethods(n.control.View))
	return nil
}

func (n *node) row() bfroster.Row {
	s := n.settings
	return bfroster.Row{
		ID: s.Instance, Region: s.Region, Domain: s.FailureDomain, Service: s.Service,
		Peer: s.Listen.Peer, Inbound: s.Listen.Inbound, Incarnation: n.home.Incarnation,
	}
}

func (n *node) newCaller(directory *bfdirectory.Directory, minter *bfrecord.Minter) {
	n.entry = bfcaller.New(bfcaller.Config{
		View: n.view, Directory: directory, Client: n.client, Resolver: bfguard.Resolver{Calls: n.calls},
		Minter: minter, Timer: n.timer, Metrics: n.metrics, Spawn: n.group.Go,
		Quarantine: n.quarantine,
	})
	n.caller = bfcaller.NewHandler(n.entry, n.settings.Requests.MaxBody, n.settings.Requests.BodyTimeout.Std())
}

func (n *node) newOperator(directory *bfdirectory.Directory) {
	backend := bfbackend.New(bfbackend.Config{
		Control: n.control, Table: n.platform, Objects: n.platform, Directory: directory, Calls: n.calls,
		Quarantine: n.quarantine, Timer: n.timer, Logger: n.logger, SnapshotEvery: bfconfig.Version(n.settings.SnapshotEvery), Spawn: n.group.Go,
	})
	n.operator = bfoperator.New(backend, n.settings.Operators)
}

// view returns the view in force; the control plane replaces it as a whole.
func (n *node) view() *bfroute.View { return n.control.View() }

// coldStart returns the ramp-up time of this node's service from the configuration
// held, zero where there is none.
func (n *node) coldStart() time.Duration {
	object, _ := n.control.State().Object(bfconfig.Ref{Kind: bfconfig.KindService, Name: n.settings.Service})
	if service, found := object.(bfconfig.ServiceSpec); found {
		return service.ColdStart
	}
	return 0
}

// publishTargetState publishes a change of the target's state in the background.
func (n *node) publishTargetState(bfroster.TargetState, int) {
	n.group.Go("publish target state", func(ctx context.Context) error {
		// It fails only when the node stops, which is published by Leave.
		_ = n.targetPublisher.publishCurrent(ctx)
		return nil
	})
}

func (n *node) sweep(now time.Time) {
	n.calls.CloseIdle(now, connectionIdleTimeout)
	n.client.Sweep(now, connectionIdleTimeout)
}

// drain stops the node gracefully: it takes no new work, finishes what is in flight,
// and then leaves the control plane.
//
// The order keeps requests from being cut: the target gets no new work and callers are
// sent to other nodes while this node still answers and resolves requests. The node
// leaves the control plane only when nothing is in flight.
func (n *node) drain(ctx context.Context) {
	n.guard.Leave()
	n.caller.Leave()
	n.guard.Idle(ctx)
	n.caller.Idle(ctx)
	if err := n.control.Leave(ctx); err != nil {
		n.logger.Emit(bflog.InvariantBroken, bflog.Err(err))
		return
	}
	n.logger.Emit(bflog.MemberLeft, slog.String("member", n.settings.Instance))
}
