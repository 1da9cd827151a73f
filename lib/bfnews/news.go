package bfnews

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfcodec"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfproof"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
	"bilberryflow.org/lib/bftraffic"
)

// Method is the name of the poll call between nodes.
const Method = "news"

// Roster is the list of members at one revision of the store.
type Roster struct {
	Revision bfstore.Revision `cbor:"1,keyasint"`
	Members  []bffleet.Member `cbor:"2,keyasint"`
}

// State is the replicated state of a node.
type State interface {
	// Version returns the version of the traffic configuration in force, 0 for none.
	Version() bftraffic.Version
	// VersionAsOf returns the latest store revision at which the version in force is known to
	// be the newest, and Revision the store revision of the member list; 0 for never.
	VersionAsOf() bfstore.Revision
	Revision() bfstore.Revision
	// ConfirmVersion records a peer's report that a version is the newest one at a store
	// revision.
	ConfirmVersion(version bftraffic.Version, revision bfstore.Revision)
	// Snapshot returns the traffic configuration in force, nil before the first.
	Snapshot() *bftraffic.Snapshot
	// Recent returns the configuration of a version that was recently in force, or nil.
	Recent(version bftraffic.Version) *bftraffic.Snapshot
	// Roster returns the members.
	Roster() Roster
	// ApplySpec adopts a peer's configuration if it is newer.
	ApplySpec(spec bftraffic.Spec)
	// ApplyDelta applies a delta to the configuration in force if its base version matches.
	ApplyDelta(delta bftraffic.Delta)
	// ApplyRoster adopts a peer's member list if its revision is newer; ApplyMembersDelta
	// applies changes to the list if they apply to its revision.
	ApplyRoster(roster Roster)
	ApplyMembersDelta(delta MembersDelta)
	// Current reports whether the state follows the store, either by this node's own calls or
	// by updates from a node that follows it.
	Current() bool
	// StoreRestored reports whether the store was restored from an older copy, so that it may hold
	// an older version than the fleet.
	StoreRestored() bool
	// Follows reports whether this node's own calls follow the store now.
	Follows() bool
}

// pollRequest states which data the polling node holds.
type pollRequest struct {
	Version  bftraffic.Version `json:"version"`
	Revision bfstore.Revision  `json:"revision"`
	// Send requests the newer data itself, not only its version and revision.
	Send bool `json:"send,omitempty"`
	// Peer is the polling node's address for calls.
	Peer string `json:"peer"`
	// Quarantine is the Reconciler's digest.
	Quarantine uint64 `json:"quarantine,omitempty"`
	// Rollouts is the digest of the roll-outs.
	Rollouts uint64 `json:"rollouts,omitempty"`
}

// pollReply states which data the polled node holds, with the requested data in CBOR.
type pollReply struct {
	Version  bftraffic.Version `json:"version"`
	Revision bfstore.Revision  `json:"revision"`
	// Delta leads from the polling node's version to Version. Spec is the full configuration,
	// sent if the polled node no longer has the polling node's version.
	Delta  []byte `json:"delta,omitempty"`
	Spec   []byte `json:"spec,omitempty"`
	Roster []byte `json:"roster,omitempty"`
	// Quarantine is the Reconciler's digest.
	Quarantine uint64 `json:"quarantine,omitempty"`
	// Rollouts is the digest of the roll-outs, Orders all of them in their own encoding. They come
	// with the configuration, so that no node serves with a configuration and without its orders.
	Rollouts uint64 `json:"rollouts,omitempty"`
	Orders   []byte `json:"orders,omitempty"`
	// ProofAge is the age of the polled node's proof that Version is recent, 0 for none.
	ProofAge proofAge `json:"proof_age,omitempty"`
}

// Exchange sends and answers polls and updates.
type Exchange struct {
	self       string
	place      bffleet.Place
	state      State
	fleet      *bffleet.Fleet
	calls      *bfpeer.Calls
	timer      *bftimer.Service
	logger     *bflog.Logger
	spawn      func(name string, fn func(ctx context.Context) error)
	quarantine Reconciler
	rollouts   Orders
	withdrawn  func() bool
	started    time.Time
	now        func() time.Duration
	// clockStart is the reading of the node's clock at the moment clockBegan.
	clockStart clockReading
	clockBegan time.Duration
	// proof is nil where nodes exchange none; era returns the newest known era of the store.
	proof *bfproof.Proof
	era   func() uint64
	// proved is set once the node's own read renewed the proof, until the next update is sent.
	proved atomic.Bool
	// newest is the newest version that another node has reported.
	newest atomic.Uint64 // a bftraffic.Version
	// contact is when the last reply to a poll, or an update that was sent just before, arrived, by a
	// clock that counts suspensions; nil for never. polled is the peer of the last poll.
	contact atomic.Pointer[time.Duration]
	polled  string
	echoes  echoes
	// firstStart is set if the whole fleet starts for the first time; firstStartDelay is how
	// long this node then waits before it reads the member list.
	firstStart      bool
	firstStartDelay time.Duration
	received        receiptTimes
	readers         activeReaders
	// reported is the role that was last logged; only pushUpdates uses it.
	reported   roleReport
	cachedPlan atomic.Pointer[plan]
	// encoded caches the newest configuration that was sent in full.
	encoded atomic.Pointer[encodedSpec]
	// wantsWhole is set if the next request is for the whole configuration, since the delta to the version
	// refusedDelta didn't apply.
	wantsWhole   atomic.Bool
	refusedDelta atomic.Uint64 // a bftraffic.Version
	// changed wakes pushUpdates. fetching is set while full data is fetched from the sender of
	// an update.
	changed  chan struct{}
	fetching atomic.Bool
	// hinted is set once the hint of the first start was sent.
	hinted atomic.Bool
	// fetchingFromPoller is set while newer data is fetched from a node that polled this one.
	fetchingFromPoller atomic.Bool
}

// Config holds the dependencies of an Exchange.
type Config struct {
	// Self is the node's address for calls from other nodes.
	Self  string
	Place bffleet.Place
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool
	State      State
	Fleet      *bffleet.Fleet
	Calls      *bfpeer.Calls
	Timer      *bftimer.Service
	Logger     *bflog.Logger
	// Spawn starts a goroutine in the node's group.
	Spawn func(name string, fn func(ctx context.Context) error)
	// Quarantine is reconciled alongside the state; nil for none.
	Quarantine Reconciler
	// Rollouts are reconciled likewise, and sent with the configuration; nil for none.
	Rollouts Orders
	// Withdrawn reports whether this node has left the member list, so that no node sends it
	// updates; nil for never.
	Withdrawn func() bool
	// Clock returns the time by a clock that counts suspensions of the machine, the one of Proof;
	// nil for the monotonic clock.
	Clock func() time.Duration
	// Proof is sent with updates and replies and renewed from those that arrive; nil for none. Era
	// returns the newest known era of the store; used only with Proof.
	Proof *bfproof.Proof
	Era   func() uint64
}

// New returns the exchange of a node that starts now.
func New(config Config) *Exchange {
	if config.Quarantine == nil {
		config.Quarantine = noReconciler{}
	}
	if config.Rollouts == nil {
		config.Rollouts = noReconciler{}
	}
	if config.Withdrawn == nil {
		config.Withdrawn = func() bool { return false }
	}
	started := time.Now()
	if config.Clock == nil {
		config.Clock = func() time.Duration { return time.Since(started) }
	}
	return &Exchange{
		now: config.Clock, clockBegan: config.Clock(), proof: config.Proof, era: config.Era,
		self: config.Self, place: config.Place, firstStart: config.FirstStart, state: config.State, fleet: config.Fleet,
		calls: config.Calls, timer: config.Timer, logger: config.Logger, spawn: config.Spawn, quarantine: config.Quarantine, rollouts: config.Rollouts, withdrawn: config.Withdrawn,
		firstStartDelay: firstStartDelay + time.Duration(rand.Float64()*float64(firstStartJitter)),
		changed:         make(chan struct{}, 1), started: started, clockStart: newClockStart(),
	}
}

// Methods returns the calls that the exchange serves.
func (e *Exchange) Methods() bfpeer.Methods {
	return bfpeer.Methods{
		Method:     {Purpose: bfpeer.Versions, Handle: e.handlePoll},
		pushMethod: {Purpose: bfpeer.Versions, Handle: e.handleUpdate},
	}
}

const (
	// connectedPollInterval is the time between polls while the store answers. A member that
	// restarts while the store rejects its calls has no member list, and is polled by a
	// member within about this time.
	connectedPollInterval = 2 * time.Second
	// disconnectedPollInterval is the time between polls while the store does not answer. It
	// spreads a version from one node to all within about a second.
	disconnectedPollInterval = 250 * time.Millisecond
	pollJitter               = 0.3
	// callTimeout bounds one call. A member that does not answer is retried only when the
	// random choice selects it again.
	callTimeout = time.Second
	// versionFetchDelay and rosterFetchDelay are how long a node that the store answers waits
	// before it fetches newer data from a peer: usually the store or an update delivers it in
	// that time. A version must reach every node within two seconds and costs only a delta;
	// members are sent as a full list, and a member that has left rejects requests in the
	// meantime.
	versionFetchDelay = 300 * time.Millisecond
	rosterFetchDelay  = time.Second
)

// Run polls until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	e.spawn("push updates", e.pushUpdates)
	e.spawn("fetch first version", e.fetchFirstVersion)
	for {
		if e.waitForPoll(ctx) != nil {
			return nil
		}
		if peer := e.randomPeer(); peer != "" {
			e.spawn("poll a peer", func(ctx context.Context) error {
				e.pollAndFetch(ctx, peer)
				return nil
			})
		}
	}
}

// waitForPoll blocks until the next poll is due.
func (e *Exchange) waitForPoll(ctx context.Context) error {
	if e.proof != nil {
		return e.waitForPollOrStaleProof(ctx)
	}
	interval := connectedPollInterval
	if !e.state.Current() {
		interval = disconnectedPollInterval
	}
	return e.timer.Wait(ctx, e.timer.Jittered(interval, pollJitter)())
}

// randomPeer returns a member other than this node, "" if there is none.
func (e *Exchange) randomPeer() string {
	members := e.fleet.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, m := range members {
		if m.Peer != e.self {
			return e.otherPeer(m.Peer, members)
		}
	}
	return ""
}

// pollAndFetch polls one node, and fetches its newer data after a delay.
func (e *Exchange) pollAndFetch(ctx context.Context, peer string) {
	send := !e.state.Current()
	reply, ok := e.poll(ctx, peer, send)
	if !ok || send || !e.behind(reply.Version, reply.Revision) {
		return
	}
	if e.timer.Wait(ctx, e.fetchDelay(reply.Version)) == nil && e.behind(reply.Version, reply.Revision) {
		e.poll(ctx, peer, true)
	}
}

// fetchDelay returns how long to wait before data is fetched that a peer has already.
func (e *Exchange) fetchDelay(version bftraffic.Version) time.Duration {
	if version > e.state.Version() {
		return versionFetchDelay
	}
	return rosterFetchDelay
}

// poll sends one poll and applies the reply; ok is false if there was no reply.
func (e *Exchange) poll(ctx context.Context, peer string, send bool) (reply pollReply, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	before := e.state.Version()
	request := pollRequest{Version: before, Revision: e.state.Revision(), Send: send, Peer: e.self, Quarantine: e.quarantine.Digest(), Rollouts: e.rollouts.Digest()}
	if send && e.wantsWhole.Load() {
		request.Version = 0
	}
	asked := e.now()
	if err := e.calls.Call(ctx, peer, Method, request, &reply); err != nil {
		return pollReply{}, false
	}
	e.recordContact(reply.Version)
	e.quarantine.ObserveDigest(peer, reply.Quarantine)
	if err := e.rollouts.Merge(reply.Orders); err != nil {
		// A configuration without its orders must not be applied.
		return pollReply{}, false
	}
	e.rollouts.ObserveDigest(peer, reply.Rollouts)
	e.apply(reply)
	e.observeDelta(send, reply)
	e.takeProof(proofReport{version: reply.Version, reading: asked, age: reply.ProofAge}, bfproof.Reply)
	if e.state.Version() > before {
		e.sendHint()
	}
	return reply, true
}

// VersionAt requests the version in force on another node.
func (e *Exchange) VersionAt(ctx context.Context, peer string) (bftraffic.Version, error) {
	var reply pollReply
	request := pollRequest{Version: e.state.Version(), Revision: e.state.Revision(), Peer: e.self, Quarantine: e.quarantine.Digest(), Rollouts: e.rollouts.Digest()}
	err := e.calls.Call(ctx, peer, Method, request, &reply)
	return reply.Version, err
}

// behind reports whether a peer with the given version and revision has newer data.
func (e *Exchange) behind(version bftraffic.Version, revision bfstore.Revision) bool {
	return version > e.state.Version() || revision > e.state.Revision()
}

// handlePoll answers a poll, and fetches from the polling node if that has newer data.
func (e *Exchange) handlePoll(_ context.Context, params json.RawMessage) (any, error) {
	var request pollRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	if request.Peer != "" {
		e.quarantine.ObserveDigest(request.Peer, request.Quarantine)
		e.rollouts.ObserveDigest(request.Peer, request.Rollouts)
	}
	if e.behind(request.Version, request.Revision) && e.fetchingFromPoller.CompareAndSwap(false, true) {
		e.spawn("fetch from poller", func(ctx context.Context) error {
			defer e.fetchingFromPoller.Store(false)
			e.fetchFromPoller(ctx, request)
			return nil
		})
	}
	e.observeVersion(request.Version)
	start, proved := e.proofStart()
	reply, err := e.buildReply(request)
	if proved {
		reply.ProofAge = e.proofAge(start)
	}
	return reply, err
}

// fetchFromPoller fetches newer data from the node that polled this one.
//
// If the store accepts this node's calls but never completes them, the node keeps an old version
// and still counts as current. If all members in its list are in the same state, only a poll by
// a node outside that list reveals the newer version.
func (e *Exchange) fetchFromPoller(ctx context.Context, request pollRequest) {
	if e.state.Current() && e.timer.Wait(ctx, e.fetchDelay(request.Version)) != nil {
		return
	}
	if e.behind(request.Version, request.Revision) {
		e.poll(ctx, request.Peer, true)
	}
}

func (e *Exchange) buildReply(request pollRequest) (pollReply, error) {
	reply := pollReply{Version: e.state.Version(), Revision: e.state.Revision(), Quarantine: e.quarantine.Digest(), Rollouts: e.rollouts.Digest()}
	if !request.Send {
		return reply, nil
	}
	var err error
	if reply.Orders, err = e.rollouts.Encode(); err != nil {
		return reply, err
	}
	err = e.addConfiguration(&reply, request.Version)
	if err != nil {
		return reply, err
	}
	if roster := e.state.Roster(); roster.Revision > request.Revision {
		reply.Roster, err = bfcodec.Marshal(roster)
	}
	return reply, err
}
