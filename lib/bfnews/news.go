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
	"bilberryflow.org/lib/bftimer"
	"bilberryflow.org/lib/bftraffic"
)

// Method is the name of the call between nodes.
const Method = "news"

// Roster is the list of members as of one revision of the store.
type Roster struct {
	Revision uint64           `cbor:"1,keyasint"`
	Members  []bffleet.Member `cbor:"2,keyasint"`
}

// State is what a node holds and takes from others.
type State interface {
	// Version is the version of the traffic configuration in force, 0 for none.
	Version() bftraffic.Version
	// VersionAsOf is the store's revision as of which the version in force is the newest
	// one, Revision that as of which the members are known; 0 for never.
	VersionAsOf() uint64
	Revision() uint64
	// TakeAsOf takes another node's word that a version is the newest one as of a revision.
	TakeAsOf(version bftraffic.Version, revision uint64)
	// Snapshot is the traffic configuration in force, nil before the first.
	Snapshot() *bftraffic.Snapshot
	// Recent is the configuration of a version that was in force lately, else nil.
	Recent(version bftraffic.Version) *bftraffic.Snapshot
	// Roster lists the members.
	Roster() Roster
	// TakeSpec takes another node's configuration if it is newer.
	TakeSpec(spec bftraffic.Spec)
	// TakeDelta takes what another node's newer configuration changes, if it fits.
	TakeDelta(delta bftraffic.Delta)
	// TakeRoster takes another node's members if they are known as of a later revision,
	// TakeMembers what changed among them if that fits.
	TakeRoster(roster Roster)
	TakeMembers(delta MembersDelta)
	// Current reports whether what is held follows the store, by this node's own
	// calls or by the word of one that does.
	Current() bool
	// Follows reports whether this node's own calls follow the store now.
	Follows() bool
}

// Comparer keeps something else that nodes know the same everywhere; its digest rides on
// what they exchange anyway.
type Comparer interface {
	// Digest identifies what this node knows, 0 for nothing.
	Digest() uint64
	// Saw takes the digest of a peer.
	Saw(peer string, digest uint64)
}

// nothing is the Comparer of a node that has none.
type nothing struct{}

// Digest is that of knowing nothing.
func (nothing) Digest() uint64 { return 0 }

// Saw compares nothing.
func (nothing) Saw(string, uint64) {}

// question tells what the asking node holds.
type question struct {
	Version  bftraffic.Version `json:"version"`
	Revision uint64            `json:"revision"`
	// Send asks for what is newer, and not merely whether something is.
	Send bool `json:"send,omitempty"`
	// Peer is where the asking node takes calls.
	Peer string `json:"peer"`
	// Quarantine is the Comparer's digest.
	Quarantine uint64 `json:"quarantine,omitempty"`
}

// reply tells what the answering node holds, and brings in CBOR what was asked for.
type reply struct {
	Version  bftraffic.Version `json:"version"`
	Revision uint64            `json:"revision"`
	// Delta leads from the asking node's version to Version; Spec is the whole, for
	// one whose version the answering node does not remember.
	Delta  []byte `json:"delta,omitempty"`
	Spec   []byte `json:"spec,omitempty"`
	Roster []byte `json:"roster,omitempty"`
	// Quarantine is the Comparer's digest.
	Quarantine uint64 `json:"quarantine,omitempty"`
}

// Exchange asks other nodes for news and answers them.
type Exchange struct {
	self       string
	place      bffleet.Place
	state      State
	fleet      *bffleet.Fleet
	calls      *bfpeer.Calls
	timer      *bftimer.Service
	logger     *bflog.Logger
	spawn      func(name string, fn func(ctx context.Context) error)
	quarantine Comparer
	// began is when the node started.
	began time.Time
	// first says that the whole fleet starts for the first time, meeting when this node
	// looks who is there then.
	first   bool
	meeting time.Duration
	heard   hearing
	// stood is what was last reported; only the telling uses it.
	stood   stood
	planned atomic.Pointer[plan]
	// encoded is the newest configuration that was sent whole.
	encoded atomic.Pointer[encodedSpec]
	// changed wakes the telling, asking says that a teller is asked for the whole.
	changed chan struct{}
	asking  atomic.Bool
	// introduced says that the relays were told who is there.
	introduced atomic.Bool
	// askingBack says that a node that put a question is asked back.
	askingBack atomic.Bool
}

// Parts is what an Exchange works with.
type Parts struct {
	// Self is where the node takes calls from other nodes.
	Self  string
	Place bffleet.Place
	// First says that the whole fleet starts for the first time.
	First  bool
	State  State
	Fleet  *bffleet.Fleet
	Calls  *bfpeer.Calls
	Timer  *bftimer.Service
	Logger *bflog.Logger
	// Spawn starts a goroutine of the node's group.
	Spawn func(name string, fn func(ctx context.Context) error)
	// Quarantine is compared with other nodes beside the state, nil for nothing.
	Quarantine Comparer
}

// New makes the exchange of a node that starts now.
func New(parts Parts) *Exchange {
	if parts.Quarantine == nil {
		parts.Quarantine = nothing{}
	}
	return &Exchange{
		self: parts.Self, place: parts.Place, first: parts.First, state: parts.State, fleet: parts.Fleet,
		calls: parts.Calls, timer: parts.Timer, logger: parts.Logger, spawn: parts.Spawn, quarantine: parts.Quarantine,
		meeting: firstMeeting + time.Duration(rand.Float64()*float64(meetingSpread)),
		changed: make(chan struct{}, 1), began: time.Now(),
	}
}

// Methods are the calls that the exchange answers.
func (e *Exchange) Methods() bfpeer.Methods {
	return bfpeer.Methods{
		Method:     {Purpose: bfpeer.Versions, Handle: e.answer},
		tellMethod: {Purpose: bfpeer.Versions, Handle: e.hear},
	}
}

const (
	// calmInterval is the pause between questions while the store answers: a
	// member that restarts while the store turns it away knows nobody, and is
	// asked by someone within about that time.
	calmInterval = 2 * time.Second
	// cutInterval is the pause while the store does not answer. With it a version
	// spreads from one node to all within about a second.
	cutInterval   = 250 * time.Millisecond
	intervalShare = 0.3
	// callTimeout bounds one question; a member that does not answer in it is
	// asked again by chance.
	callTimeout = time.Second
	// versionLead and storeLead are how long a node that the store answers waits for
	// what another one has already: mostly the store or a teller brings it in that
	// time. A version is due everywhere within two seconds and costs a delta; of the
	// members the whole list is sent, and their refusals tell of those that leave.
	versionLead = 300 * time.Millisecond
	storeLead   = time.Second
)

// Run asks until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	e.spawn("tell others", e.tellOthers)
	e.spawn("await a version", e.awaitVersion)
	for {
		interval := calmInterval
		if !e.state.Current() {
			interval = cutInterval
		}
		if e.timer.Wait(ctx, e.timer.Jittered(interval, intervalShare)()) != nil {
			return nil
		}
		if peer := e.anyPeer(); peer != "" {
			e.spawn("ask for news", func(ctx context.Context) error {
				e.ask(ctx, peer)
				return nil
			})
		}
	}
}

func (e *Exchange) anyPeer() string {
	members := e.fleet.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, m := range members {
		if m.Peer != e.self {
			return m.Peer
		}
	}
	return ""
}

// ask asks one node and takes what it brings.
func (e *Exchange) ask(ctx context.Context, peer string) {
	send := !e.state.Current()
	told, ok := e.put(ctx, peer, send)
	if !ok || send || !e.behind(told.Version, told.Revision) {
		return
	}
	if e.timer.Wait(ctx, e.lead(told.Version)) == nil && e.behind(told.Version, told.Revision) {
		e.put(ctx, peer, true)
	}
}

// lead is how long to wait for what another node has already.
func (e *Exchange) lead(version bftraffic.Version) time.Duration {
	if version > e.state.Version() {
		return versionLead
	}
	return storeLead
}

// put puts one question; ok is false where no answer came, and another node is
// asked next time.
func (e *Exchange) put(ctx context.Context, peer string, send bool) (told reply, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	held := e.state.Version()
	asked := question{Version: held, Revision: e.state.Revision(), Send: send, Peer: e.self, Quarantine: e.quarantine.Digest()}
	if err := e.calls.Call(ctx, peer, Method, asked, &told); err != nil {
		return reply{}, false
	}
	e.quarantine.Saw(peer, told.Quarantine)
	e.take(told)
	if e.state.Version() > held {
		e.hint()
	}
	return told, true
}

// VersionAt asks a node for the version in force there.
func (e *Exchange) VersionAt(ctx context.Context, peer string) (bftraffic.Version, error) {
	var told reply
	asked := question{Version: e.state.Version(), Revision: e.state.Revision(), Peer: e.self, Quarantine: e.quarantine.Digest()}
	err := e.calls.Call(ctx, peer, Method, asked, &told)
	return told.Version, err
}

// behind reports whether another node holds something newer.
func (e *Exchange) behind(version bftraffic.Version, revision uint64) bool {
	return version > e.state.Version() || revision > e.state.Revision()
}

func (e *Exchange) take(brought reply) {
	var spec bftraffic.Spec
	if len(brought.Spec) > 0 && bfcodec.Unmarshal(brought.Spec, "configuration", &spec) == nil {
		e.state.TakeSpec(spec)
	}
	e.takeDelta(brought.Delta)
	var roster Roster
	if len(brought.Roster) > 0 && bfcodec.Unmarshal(brought.Roster, "roster", &roster) == nil {
		e.state.TakeRoster(roster)
	}
}

// answer answers a question, and asks back where the asking node knows more.
func (e *Exchange) answer(_ context.Context, params json.RawMessage) (any, error) {
	var asked question
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, err
	}
	if asked.Peer != "" {
		e.quarantine.Saw(asked.Peer, asked.Quarantine)
	}
	if e.behind(asked.Version, asked.Revision) && e.askingBack.CompareAndSwap(false, true) {
		e.spawn("ask back", func(ctx context.Context) error {
			defer e.askingBack.Store(false)
			e.askBack(ctx, asked)
			return nil
		})
	}
	return e.reply(asked)
}

// askBack asks the node that put a question for what it knows more.
//
// A store that holds this node's calls without a word leaves it with an old
// version while it takes itself for current; where the members it knows are in the
// same state, only the question of one that it doesn't know shows that.
func (e *Exchange) askBack(ctx context.Context, asked question) {
	if e.state.Current() && e.timer.Wait(ctx, e.lead(asked.Version)) != nil {
		return
	}
	if e.behind(asked.Version, asked.Revision) {
		e.put(ctx, asked.Peer, true)
	}
}

func (e *Exchange) reply(asked question) (reply, error) {
	r := reply{Version: e.state.Version(), Revision: e.state.Revision(), Quarantine: e.quarantine.Digest()}
	if !asked.Send {
		return r, nil
	}
	err := e.addConfiguration(&r, asked.Version)
	if err != nil {
		return r, err
	}
	if roster := e.state.Roster(); roster.Revision > asked.Revision {
		r.Roster, err = bfcodec.Marshal(roster)
	}
	return r, err
}

// addConfiguration has the reply bring what is newer than a version: a delta where
// the version is remembered, since the whole has a hundred bytes a route and takes a
// slow link a fifth of a second.
func (e *Exchange) addConfiguration(r *reply, held bftraffic.Version) (err error) {
	snapshot := e.state.Snapshot()
	if snapshot == nil || snapshot.Version() <= held {
		return nil
	}
	if base := e.state.Recent(held); base != nil {
		r.Delta, err = bfcodec.Marshal(bftraffic.DeltaOf(base, snapshot))
		return err
	}
	r.Spec, err = e.encode(snapshot)
	return err
}

// encodedSpec is a configuration as it is sent whole.
type encodedSpec struct {
	version bftraffic.Version
	data    []byte
}

// encode writes a configuration. A relay is asked for the same one by all members of its
// domain when a fleet starts, and each has a hundred kilobytes.
func (e *Exchange) encode(snapshot *bftraffic.Snapshot) ([]byte, error) {
	if held := e.encoded.Load(); held != nil && held.version == snapshot.Version() {
		return held.data, nil
	}
	data, err := bfcodec.Marshal(snapshot.Spec())
	if err == nil {
		e.encoded.Store(&encodedSpec{snapshot.Version(), data})
	}
	return data, err
}
