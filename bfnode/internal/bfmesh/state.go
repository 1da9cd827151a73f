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
	"bilberryflow.org/lib/bfnews"
	"bilberryflow.org/lib/bfpresence"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftraffic"
	"bilberryflow.org/platform/bfdialect"
)

// membersTable is where members write their rows.
const membersTable = "members"

// state is what the node holds of the platform's store; it is the bfnews.State.
type state struct {
	logger   *bflog.Logger
	traffic  *bftraffic.Holder
	fleet    *bffleet.Fleet
	presence *bfpresence.Presence
	self     string
	// changed is called after each change, recall with this node's own row.
	changed func()
	recall  func(bffleet.Member)
	// follows reports whether this node's own calls follow the store, current whether
	// what is held does in some way.
	follows, current func() bool
	// readVersions is the store's revision as of which this node itself read the versions.
	readVersions func() uint64

	// refused is the newest version that was refused whole, nil once a newer one is in force.
	refused atomic.Pointer[bfinspect.RejectedVersion]
	// adopted and listed are when the version in force and the members were taken.
	adopted, listed moment

	mu sync.Mutex
	// revision is the store's as of which the members are known, asOf that as of which
	// the version told is the newest one, by the word of others.
	revision, asOf uint64
	told           bftraffic.Version
}

// applyConfiguration takes news of the operators' table: the newest version in it
// that holds together. In a storm several come at once, and a node on a small
// machine reads each for some ten milliseconds.
func (s *state) applyConfiguration(batch bffollow.Batch) {
	for _, entry := range slices.Backward(batch.Entries) {
		if entry.Key != bfdialect.ConfigurationKey || entry.Removed {
			continue
		}
		spec, err := bfdialect.DecodeConfiguration(entry.Value)
		if err != nil {
			s.refused.Store(&bfinspect.RejectedVersion{Reason: err.Error()})
			s.logger.Emit(bflog.VersionRefused, bflog.Err(err), slog.Uint64("revision", entry.Revision))
			continue
		}
		if s.takeSpec(spec) {
			return
		}
	}
}

// ApplySpec takes a configuration if it is newer and holds together.
func (s *state) ApplySpec(spec bftraffic.Spec) { s.takeSpec(spec) }

// takeSpec is ApplySpec; it reports whether the configuration, or a newer one, is in force.
func (s *state) takeSpec(spec bftraffic.Spec) bool {
	if spec.Version <= s.traffic.Version() {
		return true
	}
	held := s.traffic.Current()
	if held == nil {
		held = &bftraffic.Snapshot{}
	}
	snapshot, err := held.Next(spec)
	if err != nil {
		s.refused.Store(&bfinspect.RejectedVersion{Version: spec.Version, Reason: err.Error()})
		s.logger.Emit(bflog.VersionRefused, slog.Uint64("version", uint64(spec.Version)), bflog.Err(err))
		return false
	}
	s.adopt(snapshot, slog.Bool("whole", true))
	return true
}

// ApplyDelta takes what another node's newer configuration changes, if it fits; one
// that does not is made good by asking for the whole.
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
	if !s.traffic.Adopt(snapshot) {
		return
	}
	s.adopted.mark()
	if refused := s.refused.Load(); refused != nil && refused.Version < snapshot.Version() {
		s.refused.CompareAndSwap(refused, nil)
	}
	s.changed()
	s.logger.Emit(bflog.VersionAdopted, slog.Uint64("version", uint64(snapshot.Version())), slog.Int("routes", snapshot.RouteCount()), how)
}

// applyMembers takes news of the members' table.
func (s *state) applyMembers(batch bffollow.Batch) {
	var members []bffleet.Member
	var gone []string
	own := bfstore.Entry{Key: s.self, Removed: true, Revision: batch.Revision}
	ownTold := batch.Full
	for _, entry := range batch.Entries {
		if entry.Key == s.self {
			own, ownTold = entry, true
		}
		if entry.Removed {
			gone = append(gone, entry.Key)
			continue
		}
		member, err := bffleet.DecodeMember(entry.Key, entry.Value)
		if err != nil {
			// Written over by another writer, it names no target any more.
			gone = append(gone, entry.Key)
			s.logger.Emit(bflog.RowRefused, slog.String("member", entry.Key), bflog.Err(err))
			continue
		}
		member.Revision = entry.Revision
		members = append(members, member)
		if member.Inbound == s.self {
			s.recall(member)
		}
	}
	s.mu.Lock()
	if batch.Revision >= s.revision {
		s.revision = batch.Revision
		s.listed.mark()
		if batch.Full {
			s.fleet.Replace(members)
		} else {
			s.fleet.Change(members, gone)
		}
	}
	s.mu.Unlock()
	s.changed()
	s.logger.Emit(bflog.FleetChanged, slog.Int("members", s.fleet.Size()), slog.Int("added", len(members)), slog.Int("removed", len(gone)))
	if ownTold {
		s.presence.Observe(own)
	}
}

// Version is the version in force.
func (s *state) Version() bftraffic.Version { return s.traffic.Version() }

// Revision is the store's revision as of which the members are known.
func (s *state) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Snapshot is the configuration in force, nil before the first.
func (s *state) Snapshot() *bftraffic.Snapshot { return s.traffic.Current() }

// Recent is the configuration of a version that was in force lately, else nil.
func (s *state) Recent(version bftraffic.Version) *bftraffic.Snapshot {
	return s.traffic.Recent(version)
}

// Roster lists the members.
func (s *state) Roster() bfnews.Roster {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bfnews.Roster{Revision: s.revision, Members: s.fleet.Members()}
}

// ApplyRoster takes another node's members if they are known as of a later revision.
func (s *state) ApplyRoster(roster bfnews.Roster) {
	s.brought(roster.Revision, func(held uint64) bool { return roster.Revision > held }, func() { s.fleet.Replace(roster.Members) })
}

// ApplyMembersDelta takes what changed among another node's members, if that fits.
func (s *state) ApplyMembersDelta(delta bfnews.MembersDelta) {
	s.brought(delta.Revision, delta.AppliesTo, func() { s.fleet.Change(delta.Changed, delta.Gone) })
}

// brought takes members that another node brought and that are known as of a revision, if
// they fit what is held.
func (s *state) brought(revision uint64, fits func(held uint64) bool, take func()) {
	s.mu.Lock()
	if !fits(s.revision) {
		s.mu.Unlock()
		return
	}
	s.revision = revision
	s.listed.mark()
	take()
	s.mu.Unlock()
	s.changed()
	s.logger.Emit(bflog.FleetChanged, slog.Int("members", s.fleet.Size()), slog.Bool("from_peer", true))
	s.seeOwn(revision)
}

// seeOwn has the node's own row kept true by what another node brought: one that others
// removed is written again, also by a node that does not read the store itself.
//
// The target is not recalled by it. Another node's list may be older than the removal of
// the row, and what the target said before it left is not known here any more: it would
// get new work for two seconds.
func (s *state) seeOwn(revision uint64) {
	own, found := s.fleet.Member(s.self)
	if !found {
		s.presence.Observe(bfstore.Entry{Key: s.self, Removed: true, Revision: revision})
		return
	}
	written := own.Revision
	own.Revision = 0 // the row itself does not hold it
	value, err := own.Encode()
	if err != nil {
		s.logger.Emit(bflog.InvariantBroken, bflog.Err(err))
		return
	}
	s.presence.Observe(bfstore.Entry{Key: s.self, Value: value, Revision: written})
}

// VersionAsOf is the store's revision as of which the version in force is the newest one.
func (s *state) VersionAsOf() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	read := s.readVersions()
	if s.told != s.traffic.Version() {
		return read
	}
	return max(read, s.asOf)
}

// ConfirmVersion takes another node's word that a version is the newest one as of a revision.
func (s *state) ConfirmVersion(version bftraffic.Version, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version > s.told || version == s.told && revision > s.asOf {
		s.told, s.asOf = version, revision
	}
}

// Current reports whether what is held follows the store.
func (s *state) Current() bool { return s.current() }

// Follows reports whether this node's own calls follow the store now.
func (s *state) Follows() bool { return s.follows() }
