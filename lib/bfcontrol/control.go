package bfcontrol

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfcount"
	"bilberryflow.org/lib/bfdirectory"
	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfloop"
	"bilberryflow.org/lib/bfmember"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfroute"
	"bilberryflow.org/lib/bfspread"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// Datagrams sends and receives datagrams; bfpeer.Datagrams implements it.
type Datagrams interface {
	bfpeer.Sender
	Receive(ctx context.Context, handle func(from netip.AddrPort, data []byte) bfpeer.Purpose) error
}

// Calls makes calls to peers; bfpeer.Calls implements it.
type Calls interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Config holds the dependencies and the settings of a Control.
type Config struct {
	// Self is the node's own row in the membership.
	Self bfroster.Row
	// Seeds are the configured addresses of peers to join.
	Seeds     []string
	Profile   Profile
	Table     bfstore.Table
	Objects   bfstore.ObjectStore
	Datagrams Datagrams
	Calls     Calls
	Directory *bfdirectory.Directory
	Timer     *bftimer.Service
	Group     *bfgroup.Group
	Logger    *bflog.Logger
	Metrics   *bfmetric.Registry
	Seed      uint64
	// Quarantine compares the node's quarantined requests with those of other members.
	Quarantine Comparer
	// Reincarnated is called with each new incarnation that this process takes in the membership.
	Reincarnated func(incarnation uint64)
}

// Comparer detects differences between the members' copies of shared data by
// comparing digests, which are sent with membership probes.
type Comparer interface {
	// Digest returns the digest of this node's copy.
	Digest() uint64
	// ObserveDigest records the digest received from the member with the given peer address.
	ObserveDigest(address string, digest uint64)
}

// Control runs a node's part of the control plane.
//
// All fields except the atomics are owned by the loop's goroutine.
type Control struct {
	config     Config
	loop       *bfloop.Loop
	members    *bfmember.Members
	spreader   *bfspread.Spreader
	activation *activation
	// polling is set once the spreader polls the head, the row of the table with the newest committed version.
	polling     bool
	publication publication
	source      sourceStatus
	outbox      *bfpeer.Outbox
	rand        *rand.Rand
	// peers maps the datagram address of each present member to the member's hash.
	peers map[string]uint64
	// memberHeads holds the newest head that each member advertised.
	memberHeads map[uint64]memberHead
	censuses    map[uint32]func(bfcount.Tally)
	// deliverySlots bounds the deliveries that wait for the loop.
	deliverySlots chan struct{}

	// undecodable counts messages that could not be decoded.
	undecodable   *bfmetric.Counter
	reportLimiter *rate.Limiter
	reportCount   *bfmetric.Counter

	view  atomic.Pointer[bfroute.View]
	state atomic.Pointer[bfconfig.State]
	// inForce is the version of view.
	inForce atomic.Uint64
	// inForceSince is when view was put in force, in microseconds since the Unix epoch.
	inForceSince atomic.Int64
}

type memberHead struct {
	version bfconfig.Version
	at      time.Time
}

// New returns a Control with the given dependencies; it fails if the membership settings are invalid.
func New(config Config) (*Control, error) {
	rng := rand.New(rand.NewPCG(config.Seed, config.Self.Incarnation))
	members, err := bfmember.New(config.Profile.Members, config.Self, rng)
	if err != nil {
		return nil, err
	}
	c := &Control{
		config: config, members: members,
		spreader: bfspread.New(config.Profile.Spread, config.Self, bfconfig.Empty(), rng),
		rand:     rng, peers: map[string]uint64{}, memberHeads: map[uint64]memberHead{},
		censuses:      map[uint32]func(bfcount.Tally){},
		deliverySlots: make(chan struct{}, maxPendingDeliveries),
		undecodable:   config.Metrics.Counter("control_undecodable"),
		reportLimiter: rate.NewLimiter(reportRate, reportBurst),
		reportCount:   config.Metrics.Counter("control_reports"),
	}
	c.publication.order = members.Order()
	c.peers[config.Self.Peer] = config.Self.Key().Hash
	c.outbox = bfpeer.NewOutbox(config.Datagrams, config.Metrics)
	c.source.registerGauges(config.Timer, config.Metrics)
	c.activation = newActivation(c)
	c.state.Store(bfconfig.Empty())
	c.loop = bfloop.New(config.Timer, bfloop.Core{Next: c.next, Tick: c.tick, After: c.after})
	config.Metrics.Gauge("config_version_held", func() int64 { return int64(c.state.Load().Version()) })
	config.Metrics.Gauge("config_version_in_force", func() int64 { return int64(c.inForce.Load()) })
	config.Metrics.Gauge("config_in_force_since_us", c.inForceSince.Load)
	config.Metrics.Gauge("members", func() int64 { return int64(c.members.Order().Len()) })
	return c, nil
}

// View returns the view in force, nil before the first.
func (c *Control) View() *bfroute.View { return c.view.Load() }

// State returns the newest adopted state. It can be newer than the view until
// the node's witnesses acknowledge it.
func (c *Control) State() *bfconfig.State { return c.state.Load() }

// Self returns the ID of the node's instance.
func (c *Control) Self() string { return c.config.Self.ID }

// Order returns the current membership order.
func (c *Control) Order() *bfroster.Order { return c.members.Order() }

// Run runs the control plane until ctx ends.
//
// The cores start before the loop processes any message: the socket may already
// contain messages that peers sent to a previous process.
func (c *Control) Run(ctx context.Context) error {
	now := c.config.Timer.Now()
	c.source.recordContact(now)
	c.memberActions(now, c.members.Start(now, c.config.Seeds))
	c.activation.begin(now)
	c.config.Group.Go("send datagrams", c.outbox.Run)
	c.config.Group.Go("datagrams", func(ctx context.Context) error {
		return c.config.Datagrams.Receive(ctx, c.receive)
	})
	return c.loop.Run(ctx)
}

func (c *Control) next() time.Time {
	next := c.members.Next()
	for _, at := range []time.Time{c.spreader.Next(), c.activation.next(), c.publication.next()} {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

func (c *Control) tick(now time.Time) {
	c.memberActions(now, c.members.Tick(now))
	c.spreadActions(now, "", c.spreader.Tick(now))
	c.activation.tick(now)
	c.checkAge(now)
}

// async runs fn on its own goroutine and passes the result to then on the loop.
func async[T any](c *Control, name string, fn func(ctx context.Context) T, then func(now time.Time, result T)) {
	c.config.Group.Go(name, func(ctx context.Context) error {
		result := fn(ctx)
		c.loop.Post(ctx, func(now time.Time) { then(now, result) })
		return nil
	})
}

const (
	// reportRate (per second) and reportBurst limit the log lines that messages from unknown senders can cause.
	reportRate  = 1
	reportBurst = 10
)

func (c *Control) report(err error) {
	c.reportCount.Add(1)
	if c.reportLimiter.AllowN(c.config.Timer.Now(), 1) {
		c.config.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
	}
}

func (c *Control) memberActions(now time.Time, actions []bfmember.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case bfmember.Send:
			data, err := bfgossip.Encode(bfgossip.WithQuarantine(a.Message, c.config.Self.Key().Hash, c.config.Quarantine.Digest()))
			c.send(a.Address, memberPurpose(a.Message), data, err)
		case bfmember.AdvertReceived:
			c.advertReceived(now, a)
			c.spreadActions(now, "", c.spreader.HeadAdvertised(now, a.From, bfspread.Head{
				Version: bfconfig.Version(a.Advert.Version), Digest: a.Advert.Digest,
			}))
		case bfmember.Changed:
			c.memberChanged(a)
			if a.Old.ID != "" && a.New.Incarnation > a.Old.Incarnation && a.New.State.Present() {
				c.activation.witnessRestarted(&a.New)
			}
			c.logMember(a)
		case bfmember.Refuted:
			c.config.Reincarnated(a.Self.Incarnation)
			c.config.Logger.Emit(bflog.SelfRefuted, slog.String("told", a.Received.State.String()),
				slog.Bool("newIncarnation", a.Received.Incarnation != a.Self.Incarnation))
		case bfmember.OutageChanged:
			c.logOutage(a.Outage)
		case bfmember.Joined:
			c.joined(now)
		case bfmember.ReadMeeting:
			c.readMeeting()
		case bfmember.WriteMeeting:
			c.writeMeeting(a.Meeting)
		case bfmember.Report:
			c.report(a.Err)
		}
	}
}

// joined passes the full membership to recovery and starts polling the head.
//
// Before it has joined, a node's membership contains only the node itself. Polling
// at the rate for a fleet of one would overload the table if many nodes started at once.
func (c *Control) joined(now time.Time) {
	c.activation.joined = true
	c.publication.pending = unpublished{directory: true, recovery: true}
	c.publication.last = time.Time{}
	c.after(now)
	if !c.polling {
		c.polling = true
		c.spreadActions(now, "", c.spreader.Start(now))
	}
}

// advertReceived records the head of a member; senders that are not members are ignored to bound memory.
func (c *Control) advertReceived(now time.Time, a bfmember.AdvertReceived) {
	rank, member := c.members.Order().RankByHash(a.From)
	if !member {
		return
	}
	c.recordContact(now)
	c.config.Quarantine.ObserveDigest(c.members.Order().At(rank).Row().Peer, a.Advert.Quarantine)
	c.memberHeads[a.From] = memberHead{bfconfig.Version(a.Advert.Version), now}
}

// logOutage logs the loss or recovery of a failure domain. The members' own rows
// don't change then, so nothing else would be logged.
func (c *Control) logOutage(outage bfgossip.Outage) {
	event := bflog.DomainLost
	if !outage.Lost {
		event = bflog.DomainRecovered
	}
	c.config.Logger.Emit(event, slog.String("region", outage.Region), slog.String("domain", outage.Domain))
}

func (c *Control) logMember(a bfmember.Changed) {
	instance := slog.String("member", a.New.ID)
	switch {
	case a.Old.ID == "" && a.New.State.Present():
		c.config.Logger.Emit(bflog.MemberJoined, instance)
	case a.Old.State == a.New.State:
	case a.New.State == bfroster.Suspect:
		c.config.Logger.Emit(bflog.MemberSuspected, instance)
	case a.New.State == bfroster.Dead:
		c.config.Logger.Emit(bflog.MemberDead, instance)
	case a.New.State == bfroster.Left:
		c.config.Logger.Emit(bflog.MemberLeft, instance)
	}
}

// spreadActions executes the spreader's actions. from is the sender's address if a message caused them, else empty.
func (c *Control) spreadActions(now time.Time, from string, actions []bfspread.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case bfspread.Send:
			data, err := bfspread.Encode(a.Message)
			address := a.Address
			if address == "" {
				// The requesting node is not in this node's membership yet.
				address = from
			}
			c.send(address, spreadPurpose(a.Message), data, err)
		case bfspread.ReadHead:
			c.readHead()
		case bfspread.FetchDeltas:
			c.fetchDeltas(a.After)
		case bfspread.FetchSnapshot:
			c.fetchSnapshot(a.AtLeast)
		case bfspread.Adopt:
			c.versionAdopted(now, a.State)
		case bfspread.RejectVersion:
			c.logRejectedVersion(a)
		case bfspread.CensusDone:
			if answer, found := c.censuses[a.ID]; found {
				delete(c.censuses, a.ID)
				answer(a.Tally)
			}
		case bfspread.Report:
			c.report(a.Err)
		}
	}
}

func (c *Control) logRejectedVersion(a bfspread.RejectVersion) {
	event := bflog.VersionRefused
	var digest *bfconfig.DigestError
	if errors.As(a.Err, &digest) {
		event = bflog.DigestMismatch
	}
	c.config.Logger.Emit(event, slog.Uint64("version", uint64(a.Version)), bflog.Err(a.Err))
}

// versionAdopted handles a newly adopted state; it is put in force once the witnesses acknowledge it.
func (c *Control) versionAdopted(now time.Time, state *bfconfig.State) {
	c.state.Store(state)
	head := bfspread.HeadOf(state)
	// The cold start durations in the directory come from the configuration.
	c.publication.pending.directory = c.publication.pending.directory || len(c.publication.coldTargets) > 0
	c.members.SetAdvert(uint64(head.Version), head.Digest)
	c.activation.addVersion(now, state)
}
