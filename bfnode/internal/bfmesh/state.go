package bfmesh

import (
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"

	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bffollow"
	"bilberryflow.org/lib/bfinspect"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfnews"
	"bilberryflow.org/lib/bfpresence"
	"bilberryflow.org/lib/bfrollout"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftraffic"
	"bilberryflow.org/platform/bfdialect"
)

// membersTable is the store's table with one row for each member.
const membersTable = "members"

// state is the node's copy of the platform's store; it implements bfnews.State.
type state struct {
	logger   *bflog.Logger
	traffic  *bftraffic.Holder
	fleet    *bffleet.Fleet
	presence *bfpresence.Presence
	self     string
	// changed is called after each change, restoreTarget with this node's own row.
	changed       func()
	restoreTarget func(bffleet.Member)
	// observeEra is called with the era of each revision received from another node.
	observeEra func(era uint64)
	// storeRestored reports whether the store was restored from a copy.
	storeRestored func() bool
	// observeOrder is called with each order of a roll-out that was read, isNew if it was reported as
	// a change; ordersKnown is called before a configuration is applied.
	observeOrder func(order bfrollout.Order, isNew bool)
	ordersKnown  func()
	// follows reports whether this node's own calls follow the store, current whether the
	// copy is up to date by these or through another node.
	follows, current func() bool
	// readVersions returns the store's revision as of which this node itself read the
	// versions.
	readVersions func() bfstore.Revision

	// rejected is the newest rejected version, nil once a newer one is in force.
	rejected atomic.Pointer[bfinspect.RejectedVersion]
	// versionAdopted and membersUpdated are the times of the last update of each.
	versionAdopted, membersUpdated bfmetric.Timestamp

	mu sync.Mutex
	// revision is the store's revision as of which the members are known; confirmedAsOf is
	// the revision as of which other nodes reported the confirmed version to be the newest
	// one.
	revision, confirmedAsOf bfstore.Revision
	confirmed               bftraffic.Version
}

// applyConfiguration adopts the newest valid version in a batch of the operators'
// table and skips the older ones, whose decoding would cost CPU time for nothing.
func (s *state) applyConfiguration(batch bffollow.Batch) {
	s.applyOrders(batch)
	for _, entry := range slices.Backward(batch.Entries) {
		if entry.Key != bfdialect.ConfigurationKey || entry.Removed {
			continue
		}
		spec, err := bfdialect.DecodeConfiguration(entry.Value)
		if err != nil {
			s.rejected.Store(&bfinspect.RejectedVersion{Reason: err.Error()})
			s.logger.Emit(bflog.VersionRefused, bflog.Err(err), slog.String("revision", entry.Revision.String()))
			continue
		}
		if s.adoptSpec(spec) {
			return
		}
	}
}

// applyOrders passes on the orders of roll-outs in a batch of the operators' table.
func (s *state) applyOrders(batch bffollow.Batch) {
	for _, entry := range batch.Entries {
		service, ok := bfdialect.RolloutService(entry.Key)
		if !ok || entry.Removed {
			continue
		}
		order, err := bfdialect.DecodeRolloutOrder(service, entry.Value, entry.Revision)
		if err != nil {
			s.logger.Emit(bflog.RolloutOrderRefused, slog.String("service", service), slog.String("revision", entry.Revision.String()), bflog.Err(err))
			continue
		}
		s.logger.Emit(bflog.RolloutOrdered, slog.String("service", service), slog.String("version", order.Version),
			slog.Duration("duration", order.Duration), slog.String("revision", order.Revision.String()), slog.Bool("change", !batch.Full))
		s.observeOrder(order, !batch.Full)
	}
}

// ApplySpec adopts a configuration if it is newer and valid.
func (s *state) ApplySpec(spec bftraffic.Spec) { s.adoptSpec(spec) }

// adoptSpec implements ApplySpec; it reports whether the configuration, or a newer
// one, is in force.
func (s *state) adoptSpec(spec bftraffic.Spec) bool {
	if spec.Version <= s.traffic.Version() {
		return true
	}
	held := s.traffic.Current()
	if held == nil {
		held = &bftraffic.Snapshot{}
	}
	snapshot, err := held.Next(spec)
	if err != nil {
		s.rejected.Store(&bfinspect.RejectedVersion{Version: spec.Version, Reason: err.Error()})
		s.logger.Emit(bflog.VersionRefused, slog.Uint64("version", uint64(spec.Version)), bflog.Err(err))
		return false
	}
	s.adopt(snapshot, slog.Bool("whole", true))
	return true
}

// ApplyDelta applies the changes of another node's newer configuration to the one in
// force. One that doesn't apply is dropped; the whole configuration is then requested.
func (s *state) ApplyDelta(delta bftraffic.Delta) {
	held := s.traffic.Current()
	if held == nil || delta.Version <= held.Version() {
		return
	}
	snapshot, err := held.Apply(delta)
	if err != nil {
		s.logger.Emit(bflog.DeltaRefused, slog.Uint64("version", uint64(delta.Version)), bflog.Err(err))
		return
	}
	s.adopt(snapshot, slog.Bool("whole", false))
}

func (s *state) adopt(snapshot *bftraffic.Snapshot, how slog.Attr) {
	s.ordersKnown()
	if !s.traffic.Adopt(snapshot) {
		return
	}
	s.versionAdopted.Set()
	if rejected := s.rejected.Load(); rejected != nil && rejected.Version < snapshot.Version() {
		s.rejected.CompareAndSwap(rejected, nil)
	}
	s.changed()
	s.logger.Emit(bflog.VersionAdopted, slog.Uint64("version", uint64(snapshot.Version())), slog.Int("routes", snapshot.RouteCount()), how)
}

// applyMembers applies a batch of changes of the members' table.
func (s *state) applyMembers(batch bffollow.Batch) {
	var members []bffleet.Member
	var removed []string
	own := bfstore.Entry{Key: s.self, Removed: true, Revision: batch.Revision}
	hasOwn := batch.Full
	for _, entry := range batch.Entries {
		if entry.Key == s.self {
			own, hasOwn = entry, true
		}
		if entry.Removed {
			removed = append(removed, entry.Key)
			continue
		}
		member, err := bffleet.DecodeMember(entry.Key, entry.Value)
		if err != nil {
			// Overwritten by another writer, the row names no target any more.
			removed = append(removed, entry.Key)
			s.logger.Emit(bflog.RowRefused, slog.String("member", entry.Key), bflog.Err(err))
			continue
		}
		member.Revision = entry.Revision
		members = append(members, member)
		if member.Inbound == s.self {
			s.restoreTarget(member)
		}
	}
	s.mu.Lock()
	if batch.Revision >= s.revision {
		s.revision = batch.Revision
		s.membersUpdated.Set()
		if batch.Full {
			s.fleet.Replace(s.withUnwritten(members, batch.Revision))
		} else {
			s.fleet.Change(members, removed)
		}
	}
	s.mu.Unlock()
	s.changed()
	s.logger.Emit(bflog.FleetChanged, slog.Int("members", s.fleet.Size()), slog.Int("added", len(members)), slog.Int("removed", len(removed)))
	if hasOwn {
		s.presence.Observe(own)
	}
}

// withUnwritten adds to a full list of members those that are held, missing in it and of an earlier
// era. Their rows were lost with a restore of the store and are written again by their nodes;
// until then their targets keep receiving requests, also if a peer's list lacks them.
func (s *state) withUnwritten(members []bffleet.Member, listed bfstore.Revision) []bffleet.Member {
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m.Inbound] = true
	}
	for _, m := range s.fleet.Members() {
		if !present[m.Inbound] && isUnwritten(m, listed) {
			members = append(members, m)
		}
	}
	return members
}

// isUnwritten reports whether a member's row is of an era before that of a revision.
func isUnwritten(m bffleet.Member, revision bfstore.Revision) bool {
	return m.Revision.Era() < revision.Era()
}

// DropUnwritten removes a member whose row was lost with a restore of the store and whose node is
// unreachable: there is no row to remove. It reports false if the member has a row.
func (s *state) DropUnwritten(member bffleet.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held, found := s.fleet.Member(member.Inbound); !found || held != member || !isUnwritten(member, s.revision) {
		return false
	}
	s.fleet.Change(nil, []string{member.Inbound})
	return true
}

// Version returns the version in force.
func (s *state) Version() bftraffic.Version { return s.traffic.Version() }

// Revision returns the store's revision as of which the members are known.
func (s *state) Revision() bfstore.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Snapshot returns the configuration in force, nil before the first.
func (s *state) Snapshot() *bftraffic.Snapshot { return s.traffic.Current() }

// Recent returns the configuration of a recently superseded version, else nil.
func (s *state) Recent(version bftraffic.Version) *bftraffic.Snapshot {
	return s.traffic.Recent(version)
}

// Roster returns the members and the revision as of which they are known.
func (s *state) Roster() bfnews.Roster {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bfnews.Roster{Revision: s.revision, Members: s.fleet.Members()}
}

// ApplyRoster replaces the members by another node's if those are of a later revision.
func (s *state) ApplyRoster(roster bfnews.Roster) {
	s.applyFromPeer(roster.Revision, func(held bfstore.Revision) bool { return roster.Revision > held }, func() {
		s.fleet.Replace(s.withUnwritten(roster.Members, roster.Revision))
	})
}

// ApplyMembersDelta applies the changes of another node's members if they apply to the
// revision held.
func (s *state) ApplyMembersDelta(delta bfnews.MembersDelta) {
	s.applyFromPeer(delta.Revision, delta.AppliesTo, func() {
		gone := slices.DeleteFunc(delta.Gone, func(inbound string) bool {
			held, found := s.fleet.Member(inbound)
			return found && isUnwritten(held, delta.Revision)
		})
		s.fleet.Change(delta.Changed, gone)
	})
}

// applyFromPeer applies another node's members as of a revision if fits accepts the
// revision held.
func (s *state) applyFromPeer(revision bfstore.Revision, fits func(held bfstore.Revision) bool, apply func()) {
	s.observeEra(revision.Era())
	s.mu.Lock()
	if !fits(s.revision) {
		s.mu.Unlock()
		return
	}
	s.revision = revision
	s.membersUpdated.Set()
	apply()
	s.mu.Unlock()
	s.changed()
	s.logger.Emit(bflog.FleetChanged, slog.Int("members", s.fleet.Size()), slog.Bool("from_peer", true))
	s.observeOwnRow(revision)
}

// observeOwnRow compares the node's own row in another node's members with the desired
// one: a row that others removed is written again, also by a node that doesn't read
// the store.
//
// It doesn't restore the target. The other node's members may be older than the
// removal of the row, and a target that has left would get new requests until it is
// found gone.
func (s *state) observeOwnRow(revision bfstore.Revision) {
	own, found := s.fleet.Member(s.self)
	if !found || own.Revision.Era() != revision.Era() {
		s.presence.Observe(bfstore.Entry{Key: s.self, Removed: true, Revision: revision})
		return
	}
	written := own.Revision
	own.Revision = 0 // not part of the encoded row
	value, err := own.Encode()
	if err != nil {
		s.logger.Emit(bflog.InvariantBroken, bflog.Err(err))
		return
	}
	s.presence.Observe(bfstore.Entry{Key: s.self, Value: value, Revision: written})
}

// VersionAsOf returns the store's revision as of which the version in force is the
// newest.
func (s *state) VersionAsOf() bfstore.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	read := s.readVersions()
	if s.confirmed != s.traffic.Version() {
		return read
	}
	return max(read, s.confirmedAsOf)
}

// ConfirmVersion records another node's report that a version is the newest one as of
// a revision.
func (s *state) ConfirmVersion(version bftraffic.Version, revision bfstore.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version > s.confirmed || version == s.confirmed && revision > s.confirmedAsOf {
		s.confirmed, s.confirmedAsOf = version, revision
	}
}

// Current reports whether the state is up to date with the store.
func (s *state) Current() bool { return s.current() }

// StoreRestored reports whether the store was restored from a copy.
func (s *state) StoreRestored() bool { return s.storeRestored() }

// Follows reports whether this node's own calls follow the store now.
func (s *state) Follows() bool { return s.follows() }
