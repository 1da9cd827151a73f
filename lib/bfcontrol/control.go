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

// Datagrams is what Control needs of bfpeer.Datagrams.
type Datagrams interface {
	bfpeer.Sender
	Receive(ctx context.Context, handle func(from netip.AddrPort, data []byte) bfpeer.Purpose) error
}

// Calls is what Control needs of bfpeer.Calls.
type Calls interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Parts is what a Control works with.
type Parts struct {
	// Self is the node's own row of the membership.
	Self bfroster.Row
	// Seeds are peers' addresses from the settings.
	Seeds     []string
	Profile   Profile
	Table     bfstore.Table
	Objects   bfstore.Objects
	Datagrams Datagrams
	Calls     Calls
	Directory *bfdirectory.Directory
	Timer     *bftimer.Service
	Group     *bfgroup.Group
	Logger    *bflog.Logger
	Metrics   *bfmetric.Registry
	Seed      uint64
	// Quarantine is compared with that of other members.
	Quarantine Comparer
	// Reincarnated is told each further incarnation that this process gets in the membership.
	Reincarnated func(incarnation uint64)
}

// Comparer keeps what all members are to know the same; its digest rides on their probes.
type Comparer interface {
	Digest() uint64
	// ObserveDigest takes the digest of the member whose peer port is at an address.
	ObserveDigest(address string, digest uint64)
}

// Control is a node's part in the control plane.
//
// Everything but the atomics belongs to the goroutine of the loop.
type Control struct {
	parts    Parts
	loop     *bfloop.Loop
	members  *bfmember.Members
	spreader *bfspread.Spreader
	force    *force
	// polls is set once the spreader polls the head.
	polls  bool
	share  share
	source source
	outbox *bfpeer.Outbox
	rand   *rand.Rand
	// peers maps the address of a member's datagrams to its hash.
	peers map[string]uint64
	// heard is the newest head each member was heard to hold.
	heard  map[uint64]heardHead
	census map[uint32]func(bfcount.Tally)
	// deliveries bounds the large messages that wait for the loop.
	deliveries chan struct{}

	// undecodable counts messages that are none of this version.
	undecodable *bfmetric.Counter
	reports     *rate.Limiter
	reported    *bfmetric.Counter

	view    atomic.Pointer[bfroute.View]
	state   atomic.Pointer[bfconfig.State]
	inForce atomic.Uint64
	// inForceSince is when that version came into force, in microseconds since 1970.
	inForceSince atomic.Int64
}

type heardHead struct {
	version bfconfig.Version
	at      time.Time
}

// New makes the control of the node that parts describes.
func New(parts Parts) (*Control, error) {
	rng := rand.New(rand.NewPCG(parts.Seed, parts.Self.Incarnation))
	members, err := bfmember.New(parts.Profile.Members, parts.Self, rng)
	if err != nil {
		return nil, err
	}
	c := &Control{
		parts: parts, members: members,
		spreader: bfspread.New(parts.Profile.Spread, parts.Self, bfconfig.Empty(), rng),
		rand:     rng, peers: map[string]uint64{}, heard: map[uint64]heardHead{},
		census:      map[uint32]func(bfcount.Tally){},
		deliveries:  make(chan struct{}, maxDeliveries),
		undecodable: parts.Metrics.Counter("control_undecodable"),
		reports:     rate.NewLimiter(reportRate, reportBurst),
		reported:    parts.Metrics.Counter("control_reports"),
	}
	c.share.order = members.Order()
	c.peers[parts.Self.Peer] = parts.Self.Key().Hash
	c.outbox = bfpeer.NewOutbox(parts.Datagrams, parts.Metrics)
	c.source.publish(parts.Timer, parts.Metrics)
	c.force = newForce(c)
	c.state.Store(bfconfig.Empty())
	c.loop = bfloop.New(parts.Timer, bfloop.Core{Next: c.next, Tick: c.tick, After: c.after})
	parts.Metrics.Gauge("config_version_held", func() int64 { return int64(c.state.Load().Version()) })
	parts.Metrics.Gauge("config_version_in_force", func() int64 { return int64(c.inForce.Load()) })
	parts.Metrics.Gauge("config_in_force_since_us", c.inForceSince.Load)
	parts.Metrics.Gauge("members", func() int64 { return int64(c.members.Order().Len()) })
	return c, nil
}

// View is the view in force, nil before the node has one.
func (c *Control) View() *bfroute.View { return c.view.Load() }

// State is the newest version held, which may be ahead of the view for as long as its witnesses take.
func (c *Control) State() *bfconfig.State { return c.state.Load() }

// Self is the node's own name.
func (c *Control) Self() string { return c.parts.Self.ID }

// Order is the membership now.
func (c *Control) Order() *bfroster.Order { return c.members.Order() }

// Run serves the control plane until ctx ends.
//
// The cores begin before anything else comes to the loop: what a peer sent to
// the process that ran here before may be the first thing in the socket.
func (c *Control) Run(ctx context.Context) error {
	now := c.parts.Timer.Now()
	c.source.begin(now)
	c.memberActions(now, c.members.Start(now, c.parts.Seeds))
	c.force.begin(now)
	c.parts.Group.Go("send datagrams", c.outbox.Run)
	c.parts.Group.Go("datagrams", func(ctx context.Context) error {
		return c.parts.Datagrams.Receive(ctx, c.receive)
	})
	return c.loop.Run(ctx)
}

func (c *Control) next() time.Time {
	next := c.members.Next()
	for _, at := range []time.Time{c.spreader.Next(), c.force.next(), c.share.next()} {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

func (c *Control) tick(now time.Time) {
	c.memberActions(now, c.members.Tick(now))
	c.spreadActions(now, "", c.spreader.Tick(now))
	c.force.tick(now)
	c.checkAge(now)
}

// async runs fn off the loop and its result on it.
func async[T any](c *Control, name string, fn func(ctx context.Context) T, then func(now time.Time, result T)) {
	c.parts.Group.Go(name, func(ctx context.Context) error {
		result := fn(ctx)
		c.loop.Post(ctx, func(now time.Time) { then(now, result) })
		return nil
	})
}

const (
	// reportRate and reportBurst bound the log lines that a stranger's messages can cause.
	reportRate  = 1
	reportBurst = 10
)

func (c *Control) report(err error) {
	c.reported.Add(1)
	if c.reports.AllowN(c.parts.Timer.Now(), 1) {
		c.parts.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
	}
}

func (c *Control) memberActions(now time.Time, actions []bfmember.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case bfmember.Send:
			data, err := bfgossip.Encode(bfgossip.WithQuarantine(a.Message, c.parts.Self.Key().Hash, c.parts.Quarantine.Digest()))
			c.send(a.Address, memberPurpose(a.Message), data, err)
		case bfmember.AdvertReceived:
			c.heardFrom(now, a)
			c.spreadActions(now, "", c.spreader.HeadAdvertised(now, a.From, bfspread.Head{
				Version: bfconfig.Version(a.Advert.Version), Digest: a.Advert.Digest,
			}))
		case bfmember.Changed:
			c.changeShare(a)
			if a.Old.ID != "" && a.New.Incarnation > a.Old.Incarnation && a.New.State.Present() {
				c.force.reborn(&a.New)
			}
			c.logMember(a)
		case bfmember.Refuted:
			c.parts.Reincarnated(a.Self.Incarnation)
			c.parts.Logger.Emit(bflog.SelfRefuted, slog.String("told", a.Received.State.String()),
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

// joined tells recovery of the whole membership; the order comes to it first.
//
// Polls of the head begin here: a node that has not joined would take the fleet
// for itself alone, and a herd that starts would read the table many times a
// second each.
func (c *Control) joined(now time.Time) {
	c.force.joined = true
	c.share.stale = stale{directory: true, recovery: true}
	c.share.at = time.Time{}
	c.after(now)
	if !c.polls {
		c.polls = true
		c.spreadActions(now, "", c.spreader.Start(now))
	}
}

// heardFrom keeps what a member advertised; a stranger is not worth the memory.
func (c *Control) heardFrom(now time.Time, a bfmember.AdvertReceived) {
	rank, member := c.members.Order().RankByHash(a.From)
	if !member {
		return
	}
	c.contact(now)
	c.parts.Quarantine.ObserveDigest(c.members.Order().At(rank).Row().Peer, a.Advert.Quarantine)
	c.heard[a.From] = heardHead{bfconfig.Version(a.Advert.Version), now}
}

// logOutage speaks for all members of the domain: their own rows stay as they
// were, so without it the loss of a domain would leave no line in the log.
func (c *Control) logOutage(outage bfgossip.Outage) {
	event := bflog.DomainLost
	if !outage.Lost {
		event = bflog.DomainBack
	}
	c.parts.Logger.Emit(event, slog.String("region", outage.Region), slog.String("domain", outage.Domain))
}

func (c *Control) logMember(a bfmember.Changed) {
	instance := slog.String("member", a.New.ID)
	switch {
	case a.Old.ID == "" && a.New.State.Present():
		c.parts.Logger.Emit(bflog.MemberJoined, instance)
	case a.Old.State == a.New.State:
	case a.New.State == bfroster.Suspect:
		c.parts.Logger.Emit(bflog.MemberSuspected, instance)
	case a.New.State == bfroster.Dead:
		c.parts.Logger.Emit(bflog.MemberDead, instance)
	case a.New.State == bfroster.Left:
		c.parts.Logger.Emit(bflog.MemberLeft, instance)
	}
}

// spreadActions carries out what the spreader decided on a message that came from an address, if it was one.
func (c *Control) spreadActions(now time.Time, from string, actions []bfspread.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case bfspread.Send:
			data, err := bfspread.Encode(a.Message)
			address := a.Address
			if address == "" {
				// The asker is not in this node's view yet.
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
			c.held(now, a.State)
		case bfspread.RejectVersion:
			c.refused(a)
		case bfspread.CensusDone:
			if answer, waiting := c.census[a.ID]; waiting {
				delete(c.census, a.ID)
				answer(a.Tally)
			}
		case bfspread.Report:
			c.report(a.Err)
		}
	}
}

func (c *Control) refused(a bfspread.RejectVersion) {
	event := bflog.VersionRefused
	var digest *bfconfig.DigestError
	if errors.As(a.Err, &digest) {
		event = bflog.DigestMismatch
	}
	c.parts.Logger.Emit(event, slog.Uint64("version", uint64(a.Version)), bflog.Err(a.Err))
}

// held takes a version that the node now holds; it comes into force once its witnesses know.
func (c *Control) held(now time.Time, state *bfconfig.State) {
	c.state.Store(state)
	head := bfspread.HeadOf(state)
	// The ramps of cold targets are part of the configuration.
	c.share.stale.directory = c.share.stale.directory || len(c.share.cold) > 0
	c.members.SetAdvert(uint64(head.Version), head.Digest)
	c.force.holds(now, state)
}
