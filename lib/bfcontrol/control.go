package bfcontrol

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfdirectory"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmember"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfroute"
	"bilberryflow.org/lib/bfspread"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// Parts is what a Control works with.
type Parts struct {
	// Self is the node's own row of the membership.
	Self bfmember.Row
	// Seeds are peers' addresses from the settings.
	Seeds     []string
	Profile   Profile
	Table     bfstore.Table
	Objects   bfstore.Objects
	Datagrams *bfpeer.Datagrams
	Calls     *bfpeer.Calls
	Directory *bfdirectory.Directory
	Timer     *bftimer.Service
	Group     *bfgroup.Group
	Logger    *bflog.Logger
	Metrics   *bfmetric.Registry
	Seed      uint64
	// Reincarnated is told each further incarnation that this process gets in the membership.
	Reincarnated func(incarnation uint64)
}

// Control is a node's part in the control plane.
//
// Everything but the atomics belongs to the goroutine of the loop.
type Control struct {
	parts    Parts
	loop     *loop
	members  *bfmember.Members
	spreader *bfspread.Spreader
	force    *force
	// order is the one that the directory and the spreader were given.
	order *bfmember.Order
	// peers maps the address of a member's datagrams to its hash.
	peers map[string]uint64
	// heard is the newest head each member was heard to hold.
	heard  map[uint64]heardHead
	census map[uint32]func(bfspread.Tally)
	cold   map[string]coldTarget

	// undecodable counts datagrams that are no message of this version.
	undecodable *bfmetric.Counter

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
		parts: parts, loop: newLoop(parts.Timer), members: members,
		spreader: bfspread.New(parts.Profile.Spread, parts.Self, bfconfig.Empty(), rng),
		peers:    map[string]uint64{}, heard: map[uint64]heardHead{},
		census: map[uint32]func(bfspread.Tally){}, cold: map[string]coldTarget{},
	}
	c.undecodable = parts.Metrics.Counter("control_undecodable")
	c.force = newForce(c)
	c.state.Store(bfconfig.Empty())
	c.loop.next = c.next
	c.loop.tick = c.tick
	c.loop.after = c.after
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
func (c *Control) Order() *bfmember.Order { return c.members.Order() }

// Run serves the control plane until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	c.parts.Group.Go("datagrams", func(ctx context.Context) error {
		return c.parts.Datagrams.Receive(ctx, c.receive)
	})
	c.loop.post(ctx, func(now time.Time) {
		c.memberActions(now, c.members.Start(now, c.parts.Seeds))
		c.spreadActions(now, "", c.spreader.Start(now))
		c.force.begin(now)
	})
	return c.loop.run(ctx)
}

func (c *Control) next() time.Time {
	next := c.members.Next()
	for _, at := range []time.Time{c.spreader.Next(), c.force.next()} {
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
}

// after hands a changed membership to those who route by it.
func (c *Control) after(now time.Time) {
	order := c.members.Order()
	if order == c.order {
		return
	}
	c.order = order
	c.spreader.SetOrder(order)
	clear(c.peers)
	for rank := range order.Len() {
		member := order.At(rank)
		c.peers[member.Row().Peer] = member.Key().Hash
	}
	c.swapDirectory(now, order)
	c.force.membersChanged(now)
}

// async runs fn off the loop and its result on it.
func async[T any](c *Control, name string, fn func(ctx context.Context) T, then func(now time.Time, result T)) {
	c.parts.Group.Go(name, func(ctx context.Context) error {
		result := fn(ctx)
		c.loop.post(ctx, func(now time.Time) { then(now, result) })
		return nil
	})
}

func (c *Control) report(err error) {
	c.parts.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
}

// receive takes one datagram.
func (c *Control) receive(from netip.AddrPort, data []byte) bfpeer.Purpose {
	purpose, message := c.decode(data)
	if message == nil {
		c.undecodable.Add(1)
	}
	if message != nil {
		c.loop.post(c.parts.Group.Context(), func(now time.Time) { c.dispatch(now, from.String(), message) })
	}
	return purpose
}

// decode gives nil for bytes that are no message; anyone can send a datagram.
func (c *Control) decode(data []byte) (bfpeer.Purpose, any) {
	switch {
	case bfmember.Owns(data):
		message, err := bfmember.Decode(data)
		return memberPurpose(message), orNil(message, err)
	case bfspread.Owns(data):
		message, err := bfspread.Decode(data)
		return spreadPurpose(message), orNil(message, err)
	case ownsWitness(data):
		message, err := decodeWitness(data)
		return bfpeer.Witness, orNil(message, err)
	}
	return bfpeer.Membership, nil
}

func orNil(message any, err error) any {
	if err != nil {
		return nil
	}
	return message
}

func (c *Control) dispatch(now time.Time, from string, message any) {
	switch message := message.(type) {
	case bfmember.Message:
		c.memberActions(now, c.members.Receive(now, from, message))
	case witnessMessage:
		c.force.receive(now, from, message)
	case bfspread.Message:
		c.spreadActions(now, from, c.spreader.Receive(now, c.peers[from], message))
	}
}

// Committed tells of a version that this node's commit made.
func (c *Control) Committed(ctx context.Context, delta []byte) error {
	return c.loop.ask(ctx, func(now time.Time) { c.spreadActions(now, "", c.spreader.Committed(now, delta)) })
}

// Census asks the whole fleet what is in force.
func (c *Control) Census(ctx context.Context, wait time.Duration) (bfspread.Tally, error) {
	answer := make(chan bfspread.Tally, 1)
	err := c.loop.ask(ctx, func(now time.Time) {
		id, actions := c.spreader.Census(now, wait)
		c.census[id] = func(t bfspread.Tally) { answer <- t }
		c.spreadActions(now, "", actions)
	})
	if err != nil {
		return bfspread.Tally{}, err
	}
	select {
	case tally := <-answer:
		return tally, nil
	case <-ctx.Done():
		return bfspread.Tally{}, ctx.Err()
	}
}

// Heard tells the newest version each member was heard to hold, and how long ago.
func (c *Control) Heard(ctx context.Context) (map[uint64]bfconfig.Version, map[uint64]time.Duration, error) {
	versions, ages := map[uint64]bfconfig.Version{}, map[uint64]time.Duration{}
	err := c.loop.ask(ctx, func(now time.Time) {
		for hash, head := range c.heard {
			versions[hash], ages[hash] = head.version, now.Sub(head.at)
		}
	})
	return versions, ages, err
}

// SetTarget tells the fleet of a change of the node's own target.
func (c *Control) SetTarget(ctx context.Context, state bfmember.TargetState, slots int) error {
	return c.loop.ask(ctx, func(now time.Time) {
		c.memberActions(now, c.members.SetTarget(now, state, uint32(slots)))
	})
}

// Leave tells the fleet that the node stops.
func (c *Control) Leave(ctx context.Context) error {
	return c.loop.ask(ctx, func(now time.Time) { c.memberActions(now, c.members.Leave(now)) })
}

func (c *Control) memberActions(now time.Time, actions []bfmember.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case bfmember.Send:
			data, err := bfmember.Encode(a.Message)
			c.send(a.Address, memberPurpose(a.Message), data, err)
		case bfmember.Heard:
			c.heard[a.From] = heardHead{bfconfig.Version(a.Advert.Version), now}
			c.spreadActions(now, "", c.spreader.Heard(now, a.From, bfspread.Head{
				Version: bfconfig.Version(a.Advert.Version), Digest: a.Advert.Digest,
			}))
		case bfmember.Changed:
			c.logMember(a)
		case bfmember.Refuted:
			c.parts.Reincarnated(a.Self.Incarnation)
			c.parts.Logger.Emit(bflog.SelfRefuted, slog.String("told", a.Told.State.String()),
				slog.Bool("newIncarnation", a.Told.Incarnation != a.Self.Incarnation))
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
func (c *Control) joined(now time.Time) {
	c.after(now)
	c.force.joinedFleet(now)
}

func (c *Control) logMember(a bfmember.Changed) {
	instance := slog.String("member", a.New.ID)
	switch {
	case a.Old.ID == "" && a.New.State.Present():
		c.parts.Logger.Emit(bflog.MemberJoined, instance)
	case a.Old.State == a.New.State:
	case a.New.State == bfmember.Suspect:
		c.parts.Logger.Emit(bflog.MemberSuspected, instance)
	case a.New.State == bfmember.Dead:
		c.parts.Logger.Emit(bflog.MemberDead, instance)
	case a.New.State == bfmember.Left:
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
		case bfspread.RefuseVersion:
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

func (c *Control) refused(a bfspread.RefuseVersion) {
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
	c.members.SetAdvert(uint64(head.Version), head.Digest)
	c.force.holds(now, state)
}
