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
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfroute"
	"bilberryflow.org/lib/bfrumor"
	"bilberryflow.org/lib/bftable"
	"bilberryflow.org/lib/bftimer"
)

const (
	// sweepInterval is how often connections that nobody uses are closed.
	sweepInterval = 10 * time.Second
	// connectionIdle is how long a connection to a peer is kept unused.
	connectionIdle = 30 * time.Second
)

// node is every part of one node, joined.
type node struct {
	settings Settings
	home     bfrecord.NodeIncarnation
	logger   *bflog.Logger
	metrics  *bfmetric.Registry
	group    *bfgroup.Group
	timer    *bftimer.Service
	platform *bftable.Client
	peers    net.Listener
	calls    *bfpeer.Calls
	client   *bfforward.Client
	control  *bfcontrol.Control
	book     *bfquarantine.Book
	rumor    *bfrumor.Exchange
	guard    *bfguard.Guard
	teller   teller
	entry    *bfcaller.Entry
	caller   *bfcaller.Handler
	operator *bfoperator.Handler
}

// newNode joins the parts; started is when the process started, and its incarnation.
func newNode(settings Settings, logger *bflog.Logger, started time.Time) (*node, error) {
	incarnation := uint64(started.UnixMicro())
	n := &node{
		settings: settings, logger: logger,
		home:    bfrecord.NodeIncarnation{Instance: settings.Instance, Incarnation: incarnation},
		metrics: bfmetric.New(),
		group:   bfgroup.New(context.Background()),
		timer:   bftimer.New(incarnation),
		book:    bfquarantine.New(settings.Instance),
	}
	n.metrics.Publish("node")
	n.metrics.Gauge("goroutines_in_group", n.group.Running)
	n.platform = bftable.New(settings.Platform.Address, settings.Platform.Timeout.Std(), n.metrics)
	options := bfforward.DefaultOptions()
	options.Protocol = bfforward.Protocol(settings.Requests.Protocol)
	n.client = bfforward.New(options)
	minter := bfrecord.NewMinter(n.home)
	directory := bfdirectory.New(settings.FailureDomain)
	traffic := bfpeer.NewTraffic(n.metrics)
	methods := bfpeer.Methods{}
	n.calls = bfpeer.NewCalls(methods, traffic, n.group)
	n.rumor = bfrumor.New(bfrumor.Config{
		Self: settings.Listen.Peer, Book: n.book, Calls: n.calls, Timer: n.timer, Spawn: n.group.Go,
		Recipients: n.rumorAudience,
	})
	n.newGuard(minter, directory)
	n.newTeller()
	if err := n.newControl(directory, traffic, methods); err != nil {
		return nil, err
	}
	n.newCaller(directory, minter)
	n.newOperator(directory)
	return n, nil
}

func (n *node) newGuard(minter *bfrecord.Minter, directory *bfdirectory.Directory) {
	n.guard = bfguard.New(bfguard.Config{
		Home: n.home, Service: n.settings.Service, ColdStart: n.coldStart,
		View: n.view, Client: bfforward.New(bfforward.TargetOptions()), Minter: minter,
		Timer: n.timer, Logger: n.logger, Metrics: n.metrics, PublishState: n.tell,
		Table: n.platform, Directory: directory, Resolver: bfguard.Resolver{Calls: n.calls}, Spawn: n.group.Go,
		Quarantine: n.book, Crashed: n.targetCrashed,
	})
}

// rumorFanout is how many members a node tells what is new to it; each of them tells as
// many. Those that this misses see another digest on a probe.
const rumorFanout = 3

// rumorAudience are the peers that hear at once of what is new here, drawn anew each time.
func (n *node) rumorAudience(bool) (peers []string) {
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

// targetCrashed tells of a target that ended, and of what it ran.
func (n *node) targetCrashed(crash bfflight.Crash) {
	bfflight.LogCrash(n.logger, crash, n.book.View(), n.timer.Now())
}

func (n *node) newTeller() {
	n.teller.status = func() bfguard.Status { return n.guard.Status(n.timer.Now()) }
	n.teller.tell = func(ctx context.Context, status bfguard.Status) error {
		return n.control.SetTarget(ctx, status.State, status.Slots)
	}
}

// newControl needs the guard, whose calls it answers beside its own.
func (n *node) newControl(directory *bfdirectory.Directory, traffic *bfpeer.Traffic, methods bfpeer.Methods) error {
	datagrams, err := bfpeer.ListenDatagrams(n.settings.Listen.Peer, traffic)
	if err != nil {
		return err
	}
	n.control, err = bfcontrol.New(bfcontrol.Parts{
		Self: n.row(), Seeds: n.settings.Seeds, Profile: n.settings.profile(),
		Table: n.platform, Objects: n.platform, Datagrams: datagrams, Calls: n.calls,
		Directory: directory, Timer: n.timer, Group: n.group, Logger: n.logger, Metrics: n.metrics,
		Seed: n.home.Incarnation, Reincarnated: n.guard.AddIncarnation, Quarantine: n.rumor,
	})
	if err != nil {
		return err
	}
	// Nothing is served before the methods are all there.
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
		Quarantine: n.book,
	})
	n.caller = bfcaller.NewHandler(n.entry, n.settings.Requests.MaxBody, n.settings.Requests.BodyTimeout.Std())
}

func (n *node) newOperator(directory *bfdirectory.Directory) {
	backend := bfbackend.New(bfbackend.Config{
		Control: n.control, Table: n.platform, Objects: n.platform, Directory: directory, Calls: n.calls,
		Quarantine: n.book, Timer: n.timer, Logger: n.logger, SnapshotEvery: bfconfig.Version(n.settings.SnapshotEvery), Spawn: n.group.Go,
	})
	n.operator = bfoperator.New(backend, n.settings.Operators)
}

// view is the view in force; the control plane swaps it whole.
func (n *node) view() *bfroute.View { return n.control.View() }

// coldStart is the ramp of this node's service by the configuration held.
func (n *node) coldStart() time.Duration {
	object, _ := n.control.State().Object(bfconfig.Ref{Kind: bfconfig.KindService, Name: n.settings.Service})
	if service, found := object.(bfconfig.ServiceSpec); found {
		return service.ColdStart
	}
	return 0
}

// tell has the fleet told of a change of the target's state.
func (n *node) tell(bfroster.TargetState, int) {
	n.group.Go("tell target state", func(ctx context.Context) error {
		// It ends only with the node, which then tells that it leaves.
		_ = n.teller.run(ctx)
		return nil
	})
}

func (n *node) sweep(now time.Time) {
	n.calls.CloseIdle(now, connectionIdle)
	n.client.Sweep(now, connectionIdle)
}

// drain is the graceful stop: no new work, everything in flight finished, then goodbye.
//
// The order keeps a caller's request from being cut: first the target gets no
// new work and callers are sent elsewhere, while this node's answers and
// questions still go through; the fleet is told that the node left only when
// nothing is in flight any more.
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
