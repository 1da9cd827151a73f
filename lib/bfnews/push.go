package bfnews

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"bilberryflow.org/lib/bfcodec"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfproof"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftraffic"
)

// pushMethod is the name of the call that sends an update.
const pushMethod = "tell"

// update states which data the sender holds and, after a change, what changed since its
// previous update.
type update struct {
	Version  bftraffic.Version `json:"version"`
	Revision bfstore.Revision  `json:"revision"`
	// AsOf is the store revision at which the version is the newest one.
	AsOf bfstore.Revision `json:"as_of,omitempty"`
	Peer string           `json:"peer"`
	// Delta is a bftraffic.Delta in CBOR, Members a MembersDelta; empty if nothing changed.
	Delta   []byte `json:"delta,omitempty"`
	Members []byte `json:"members,omitempty"`
	// Fresh is set if the sender follows the store. Reader is set if it does so by its own
	// calls and not through updates from another node; without it, two nodes that the store
	// rejects would each treat the other as fresh.
	Fresh  bool `json:"fresh,omitempty"`
	Reader bool `json:"reader,omitempty"`
	// Hint is set on an update from a node that is not a regular sender and only has newer
	// data.
	Hint bool `json:"hint,omitempty"`
	// Quarantine is the Reconciler's digest.
	Quarantine uint64 `json:"quarantine,omitempty"`
	// Rollouts is the digest of the roll-outs.
	Rollouts uint64 `json:"rollouts,omitempty"`
	// Proves is set if the sender returns the receiver's readings; senders of earlier releases don't.
	Proves bool `json:"proves,omitempty"`
	// ProofAge is the age of the sender's proof that Version is recent, 0 for none.
	ProofAge proofAge `json:"proof_age,omitempty"`
	echo
	// proof is the moment of the sender's proof, if hasProof is set.
	proof    time.Duration
	hasProof bool
}

// updateAnswer answers an update with the receiver's clock.
type updateAnswer struct {
	Clock clockReading `json:"clock,omitempty"`
}

// Changed triggers an immediate update to the downstream nodes.
func (e *Exchange) Changed() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// pushUpdates sends updates to the downstream nodes. It continues while the store does not
// answer this node, so that they poll their peers instead of each reading the store.
func (e *Exchange) pushUpdates(ctx context.Context) error {
	var last sentState
	for ctx.Err() == nil {
		timeout, cancel := context.WithTimeout(ctx, pushInterval)
		select {
		case <-e.changed:
		case <-timeout.Done():
		}
		cancel()
		p := e.plan()
		reads := e.ReadsStore()
		e.logRole(p, reads)
		proved := e.proved.Swap(false)
		if p.size == 0 || !reads && !proved && p.roleOf(e.place.Inbound) == follower {
			continue
		}
		e.sendFirstHint()
		u := e.newUpdate(reads && e.state.Follows())
		now := e.currentState(last)
		receivers := p.downstream(e.place.Inbound)
		if !reads && p.roleOf(e.place.Inbound) == follower {
			// It only has a younger proof, which the relays forward. They must not count as current by a
			// node that they update.
			receivers, u.Fresh = p.upstream(e.place.Inbound), false
		}
		e.echoes.retain(receivers)
		e.push(receivers, u.withChanges(last, now))
		last = now
	}
	return nil
}

// logRole logs a change of the node's role or of whether it reads the store.
func (e *Exchange) logRole(p *plan, reads bool) {
	now := roleReport{role: p.roleOf(e.place.Inbound), reads: reads, hasMembers: p.size > 0}
	if now == e.reported || !now.hasMembers {
		return
	}
	e.reported = now
	e.logger.Emit(bflog.UpdateRoleChanged, slog.String("standing", now.role.String()), slog.Bool("reads_store", reads),
		slog.Int("members", p.size), slog.Bool("hears_fresh", e.ReceivesFresh()))
}

// roleReport is a role as it was last logged.
type roleReport struct {
	role              role
	reads, hasMembers bool
}

// newUpdate returns an update without changes; reader is set if the node's own calls follow the
// store.
//
// VersionAsOf and the proof are read before the version: in the reverse order, a change in between
// would mark an old version as the newest at the revision of the change.
func (e *Exchange) newUpdate(reader bool) update {
	start, proved := e.proofStart()
	u := update{proof: start, hasProof: proved, AsOf: e.state.VersionAsOf(), Peer: e.self, Quarantine: e.quarantine.Digest(), Rollouts: e.rollouts.Digest(), Reader: reader, Proves: true, Fresh: reader || e.receivedRecently(&e.received.reader)}
	u.Version, u.Revision = e.state.Version(), e.state.Revision()
	return u
}

// sentState is the state that the last update was based on.
type sentState struct {
	snapshot *bftraffic.Snapshot
	roster   Roster
}

// currentState returns the state held now; it copies the members only if they changed.
func (e *Exchange) currentState(last sentState) sentState {
	now := sentState{snapshot: e.state.Snapshot(), roster: last.roster}
	if e.state.Revision() != last.roster.Revision {
		now.roster = e.state.Roster()
	}
	return now
}

// withChanges adds the changes between two states. Updates carry deltas because the full member
// list, sent to every member of a domain at each change, would dominate the traffic; a receiver
// that cannot apply a delta fetches the full data.
func (u update) withChanges(last, now sentState) update {
	if last.snapshot != nil && now.snapshot != nil && now.snapshot.Version() != last.snapshot.Version() {
		u.Version = now.snapshot.Version()
		u.Delta = marshalOrNil(bftraffic.Diff(last.snapshot, now.snapshot))
	}
	if last.roster.Revision > 0 && now.roster.Revision != last.roster.Revision {
		u.Revision = now.roster.Revision
		u.Members = marshalOrNil(membersDelta(last.roster, now.roster))
	}
	return u
}

// marshalOrNil encodes a message in CBOR. On failure it returns nil, and receivers fetch the
// full data instead.
func marshalOrNil(message any) []byte {
	data, err := bfcodec.Marshal(message)
	if err != nil {
		return nil
	}
	return data
}

func (e *Exchange) push(members []bffleet.Member, u update) {
	for _, m := range members {
		e.pushTo(u, m.Peer)
	}
}

func (e *Exchange) pushTo(u update, peer string) {
	e.spawn("push update", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		u.echo = e.echoes.to(peer, e.clock())
		e.addProof(&u)
		var answer updateAnswer
		if err := e.calls.Call(ctx, peer, pushMethod, u, &answer); err != nil || answer.Clock == 0 {
			// A member that misses this update gets the next one, or reads the store after the
			// timeout.
			return nil
		}
		e.echoes.record(peer, answer.Clock, e.clock())
		if u.Reading == 0 && !u.Hint {
			// Only an update with an echo counts as fresh; without this one, the next followers
			// would time out and read the store as well.
			u.Delta, u.Members = nil, nil
			e.pushTo(u, peer)
		}
		return nil
	})
}

// sendHint sends the upstream nodes the version and revision of data that did not come from them.
//
// If the store has dropped the calls of the sources, they count as current with an
// old version, and so do the nodes that receive their updates. The hint makes the upstream
// nodes fetch the new data on behalf of all; periodic polls alone would take seconds to spread
// it.
func (e *Exchange) sendHint() {
	p := e.plan()
	if p.size == 0 || p.roleOf(e.place.Inbound) != follower {
		return
	}
	e.push(p.upstream(e.place.Inbound), update{Version: e.state.Version(), Revision: e.state.Revision(), Peer: e.self, Hint: true})
}

// sendFirstHint sends the upstream nodes the revision of the member list at the first start of a
// fleet, since they may not have read it yet.
func (e *Exchange) sendFirstHint() {
	if e.firstStart && e.received.any.Load() == 0 && e.hinted.CompareAndSwap(false, true) {
		e.sendHint()
	}
}

// recordReceipt records when an update of each kind last arrived. An update that may have been
// sent long ago does not count, else the node would take its sender's state of then for the
// current one. Those of senders that can't prove it count, else all nodes would read the store
// during an upgrade of a fleet.
func (e *Exchange) recordReceipt(u update) {
	if u.Hint || u.Proves && !u.provesFresh(e.clock()) {
		return
	}
	e.recordContact(u.Version)
	now := e.uptime()
	e.received.any.Store(now)
	if u.Fresh {
		e.received.fresh.Store(now)
	}
	latest, stopped := e.readers.observe(u, now)
	switch {
	case u.Reader:
		e.received.reader.Store(now)
	case stopped:
		// The timeout is for readers that say nothing. If the only one says that it no longer
		// reads, this node takes its place at once.
		e.received.reader.Store(max(latest, now-int64(receiveTimeout), 1))
	}
}

// handleUpdate applies an update, and fetches the full data if this node is still behind.
func (e *Exchange) handleUpdate(_ context.Context, params json.RawMessage) (any, error) {
	var u update
	if err := json.Unmarshal(params, &u); err != nil {
		return nil, err
	}
	e.recordReceipt(u)
	if !u.Hint {
		e.quarantine.ObserveDigest(u.Peer, u.Quarantine)
		e.rollouts.ObserveDigest(u.Peer, u.Rollouts)
	}
	e.applyDelta(u.Delta)
	e.applyMembersDelta(u.Members)
	e.state.ConfirmVersion(u.Version, u.AsOf)
	e.observeVersion(u.Version)
	if u.Reading != 0 {
		e.takeProof(proofReport{version: u.Version, reading: e.moment(u.Reading), held: time.Duration(u.Age) * time.Millisecond, age: u.ProofAge}, bfproof.Update)
	}
	if e.behind(u.Version, u.Revision) && e.fetching.CompareAndSwap(false, true) {
		e.spawn("fetch update", func(ctx context.Context) error {
			defer e.fetching.Store(false)
			e.poll(ctx, u.Peer, true)
			return nil
		})
	}
	return updateAnswer{Clock: e.clock()}, nil
}

// applyDelta applies an encoded delta, if there is one. If it does not apply, the node stays
// behind and fetches the full data.
func (e *Exchange) applyDelta(data []byte) {
	var delta bftraffic.Delta
	if len(data) > 0 && bfcodec.Unmarshal(data, "delta", &delta) == nil {
		e.state.ApplyDelta(delta)
	}
}

// applyMembersDelta applies an encoded delta of the members, if there is one.
func (e *Exchange) applyMembersDelta(data []byte) {
	var delta MembersDelta
	if len(data) > 0 && bfcodec.Unmarshal(data, "members", &delta) == nil {
		e.state.ApplyMembersDelta(delta)
	}
}

// IsFirstSource reports whether this node is the first of the sources.
func (e *Exchange) IsFirstSource() bool {
	p := e.plan()
	return len(p.relays) > 0 && p.relays[0].Inbound == e.place.Inbound
}

// Recipients returns the peers that first receive a record from this node. If own is false, the
// record came from another node.
func (e *Exchange) Recipients(own bool) (peers []string) {
	for _, m := range e.plan().recipients(e.place.Inbound, own) {
		peers = append(peers, m.Peer)
	}
	return peers
}
