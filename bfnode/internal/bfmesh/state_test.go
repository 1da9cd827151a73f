package bfmesh

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bffollow"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfnews"
	"bilberryflow.org/lib/bfpresence"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftraffic"
	"bilberryflow.org/platform/bfdialect"
)

func newState() *state {
	fleet := bffleet.New(bffleet.Place{Inbound: "self", Domain: "nord"})
	return &state{
		logger: bflog.Discard(), traffic: bftraffic.NewHolder(nil), fleet: fleet, self: "self", changed: func() {}, restoreTarget: func(bffleet.Member) {}, observeEra: func(uint64) {}, storeRestored: func() bool { return false }, ordersKnown: func() {},
		presence: bfpresence.New(bfpresence.Config{Logger: bflog.Discard(), Metrics: bfmetric.New()}),
	}
}

func row(t *testing.T, inbound string, revision bfstore.Revision) bfstore.Entry {
	t.Helper()
	value, err := bffleet.Member{Inbound: inbound, Peer: "10.0.0.9:2", Service: "vault", Domain: "nord", Slots: 9}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return bfstore.Entry{Key: inbound, Value: value, Revision: revision}
}

// A member's removal is no longer in the store's history when this node reads the
// list. The list's newest row is then older than the revision held; the list must
// still be applied, or the member would stay forever.
func TestListAfterDroppedHistoryIsApplied(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.applyMembers(bffollow.Batch{Full: true, Entries: []bfstore.Entry{row(t, "a:1", 4), row(t, "b:1", 9)}, Revision: 9})
	is.Equal(s.fleet.Size(), 2)
	s.applyMembers(bffollow.Batch{Full: true, Entries: []bfstore.Entry{row(t, "a:1", 4)}, Revision: 12})
	is.Equal(s.fleet.Size(), 1)
	is.Equal(s.Revision(), bfstore.Revision(12))
}

// A change arrives from the store after a peer's newer list that already contains it.
// The member that it adds has left since and must not be added again.
func TestOutdatedMemberChangesAreIgnored(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.ApplyRoster(bfnews.Roster{Revision: 20, Members: []bffleet.Member{{Inbound: "a:1", Service: "vault"}}})
	s.applyMembers(bffollow.Batch{Entries: []bfstore.Entry{row(t, "b:1", 15)}, Revision: 15})
	is.Equal(s.fleet.Size(), 1)
	s.ApplyRoster(bfnews.Roster{Revision: 19, Members: nil})
	is.Equal(s.fleet.Size(), 1)
	s.applyMembers(bffollow.Batch{Entries: []bfstore.Entry{row(t, "c:1", 21), {Key: "a:1", Revision: 22, Removed: true}}, Revision: 22})
	is.Equal(s.fleet.Members()[0].Inbound, "c:1")
}

// Another writer puts invalid rows into the members' table: undecodable bytes, a row
// under another's key, one without a service, one over a member's own. None may become
// a target, and the valid rows stay in use, whether the rows come as changes or as a
// full list.
func TestInvalidRowsAreNoTargets(t *testing.T) {
	is := is.New(t)
	foreign, err := bffleet.Member{Inbound: "d:1", Peer: "d:2", Domain: "nord", Slots: 9}.Encode()
	is.NoErr(err)
	misplaced := row(t, "b:1", 14)
	misplaced.Key = "e:1"
	bad := []bfstore.Entry{
		{Key: "a:1", Value: []byte("{}"), Revision: 11}, {Key: "c:1", Value: []byte{0xff, 0}, Revision: 12},
		{Key: "d:1", Value: foreign, Revision: 13}, misplaced,
	}
	for _, whole := range []bool{false, true} {
		s := newState()
		s.applyMembers(bffollow.Batch{Full: true, Entries: []bfstore.Entry{row(t, "a:1", 4), row(t, "b:1", 9)}, Revision: 9})
		is.Equal(s.fleet.Size(), 2)
		s.applyMembers(bffollow.Batch{Full: whole, Entries: append([]bfstore.Entry{row(t, "b:1", 9)}, bad...), Revision: 14})
		is.Equal(s.fleet.Size(), 1)
		is.Equal(s.fleet.Members()[0].Inbound, "b:1")
	}
}

// Guards against members that lose all requests when the store is restored from a copy that lacks
// their rows, whether the list comes from the store or from a peer, and against a peer's delta
// between two eras.
func TestMembersSurviveARestoreOfTheStore(t *testing.T) {
	before, after := bfstore.RevisionOf(1, 90), bfstore.RevisionOf(2, 40)
	list := func(entries ...bfstore.Entry) bffollow.Batch {
		return bffollow.Batch{Full: true, Entries: entries, Revision: entries[0].Revision}
	}
	for name, update := range map[string]func(*state){
		"store": func(s *state) { s.applyMembers(list(row(t, "10.0.0.1:1", after))) },
		"peer": func(s *state) {
			s.ApplyRoster(bfnews.Roster{Revision: after, Members: []bffleet.Member{{Inbound: "10.0.0.1:1", Service: "vault", Revision: after}}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState()
			s.applyMembers(list(row(t, "10.0.0.2:1", before), row(t, "10.0.0.1:1", before)))
			s.ApplyMembersDelta(bfnews.MembersDelta{Base: before, Revision: after, Gone: []string{"10.0.0.2:1"}})
			is.Equal(s.fleet.Size(), 2) // the delta between eras is not applied
			update(s)
			is.Equal(s.Revision(), after)
			is.Equal(s.fleet.Size(), 2)
			unwritten, _ := s.fleet.Member("10.0.0.2:1")
			is.Equal(unwritten.Revision, before)
			written, _ := s.fleet.Member("10.0.0.1:1")
			is.True(!s.DropUnwritten(written))
			later := bfstore.RevisionOf(2, 41)
			s.ApplyRoster(bfnews.Roster{Revision: later, Members: []bffleet.Member{written}}) // of a peer that never knew the other
			s.ApplyMembersDelta(bfnews.MembersDelta{Base: later, Revision: later + 1, Gone: []string{"10.0.0.2:1"}})
			is.Equal(s.fleet.Size(), 2)
			is.True(s.DropUnwritten(unwritten)) // unreachable: it has no row that could be removed
			is.Equal(s.fleet.Size(), 1)
			s.applyMembers(bffollow.Batch{Full: true, Entries: nil, Revision: bfstore.RevisionOf(2, 43)})
			is.Equal(s.fleet.Size(), 0) // within an era a full list is complete
		})
	}
}

// Guards against a row of this node that stays lost after a restore of the store, where the node
// receives the members from a peer that still lists it.
func TestOwnRowIsWrittenAgainAfterARestore(t *testing.T) {
	is := is.New(t)
	s := newState()
	own := bffleet.Member{Inbound: s.self, Service: "vault", Revision: bfstore.RevisionOf(1, 90)}
	value, err := bffleet.Member{Inbound: s.self, Service: "vault"}.Encode()
	is.NoErr(err)
	s.presence.SetDesired(value)
	s.ApplyRoster(bfnews.Roster{Revision: bfstore.RevisionOf(1, 90), Members: []bffleet.Member{own}})
	is.True(s.presence.InSync())
	s.ApplyRoster(bfnews.Roster{Revision: bfstore.RevisionOf(2, 40), Members: []bffleet.Member{own}})
	is.True(!s.presence.InSync())
}

// version returns the operators' row for a configuration with one route to the given
// service; only the service "s" exists in it.
func version(t *testing.T, number int, kind bftraffic.Kind, service string) bfstore.Entry {
	t.Helper()
	value, err := bfdialect.EncodeConfiguration(bftraffic.Spec{
		Version: bftraffic.Version(number), Services: []bftraffic.ServiceSpec{{Name: "s"}},
		Routes: []bftraffic.RouteSpec{{
			Name: "r", Host: "h", Prefix: "/", Kind: kind, Timeout: time.Second, MaxAttempts: 1,
			Destinations: []bftraffic.Destination{{Service: service, Weight: 1}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return bfstore.Entry{Key: bfdialect.ConfigurationKey, Value: value, Revision: bfstore.Revision(number)}
}

// An operators' row is undecodable or its configuration invalid. The version in force
// stays.
func TestInvalidConfigurationKeepsVersionInForce(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.applyConfiguration(bffollow.Batch{Entries: []bfstore.Entry{version(t, 3, bftraffic.Idempotent, "s")}})
	is.Equal(s.Version(), bftraffic.Version(3))
	cut := version(t, 4, bftraffic.Idempotent, "s")
	cut.Value = cut.Value[:len(cut.Value)/2]
	for _, wrong := range []bfstore.Entry{cut, version(t, 4, bftraffic.Kind(99), "s"), version(t, 4, bftraffic.Idempotent, "gone")} {
		s.applyConfiguration(bffollow.Batch{Entries: []bfstore.Entry{wrong}})
		is.Equal(s.Version(), bftraffic.Version(3))
		is.True(s.rejected.Load() != nil)
	}
}

// Three versions arrive in one batch, the newest of them invalid. The one before it
// comes into force, and the oldest is not decoded.
func TestNewestValidVersionOfBatchIsAdopted(t *testing.T) {
	is := is.New(t)
	s := newState()
	entries := []bfstore.Entry{
		version(t, 3, bftraffic.Idempotent, "s"), version(t, 7, bftraffic.Idempotent, "s"), version(t, 8, bftraffic.Idempotent, "gone"),
	}
	s.applyConfiguration(bffollow.Batch{Entries: entries})
	is.Equal(s.Version(), bftraffic.Version(7))
	is.Equal(s.rejected.Load().Version, bftraffic.Version(8))
	is.True(s.Recent(3) == nil) // never adopted
}

// After a restart the node's own row in the store's list restores its target, unless
// the row names a target on another machine. A peer's list must not restore it: it may
// be older than the removal of the row, and a target that has left would get new
// requests.
func TestOwnRowRestoresTarget(t *testing.T) {
	is := is.New(t)
	own := bffleet.Member{
		Inbound: "10.0.0.1:1", Peer: "10.0.0.1:2", Service: "vault", Domain: "nord", Slots: 9, Incarnation: "i-1", Address: "10.0.0.1:3",
	}
	var restored []string
	s := newState()
	s.self = own.Inbound
	s.restoreTarget = func(m bffleet.Member) { restored = append(restored, m.Incarnation) }
	value, err := own.Encode()
	is.NoErr(err)
	s.applyMembers(bffollow.Batch{Full: true, Entries: []bfstore.Entry{row(t, "10.0.0.2:1", 4), {Key: own.Inbound, Value: value, Revision: 5}}, Revision: 5})
	s.ApplyRoster(bfnews.Roster{Revision: 6, Members: []bffleet.Member{own}})
	is.Equal(restored, []string{"i-1"})
	is.True(own.HasTarget())
	own.Address = "10.0.0.2:3"
	is.True(!own.HasTarget())
}
