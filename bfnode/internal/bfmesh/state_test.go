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
		logger: bflog.Discard(), traffic: bftraffic.NewHolder(nil), fleet: fleet, self: "self", changed: func() {}, recall: func(bffleet.Member) {},
		presence: bfpresence.New(bfpresence.Config{Logger: bflog.Discard(), Metrics: bfmetric.New()}),
	}
}

func row(t *testing.T, inbound string, revision uint64) bfstore.Entry {
	t.Helper()
	value, err := bffleet.Member{Inbound: inbound, Peer: "10.0.0.9:2", Service: "vault", Domain: "nord", Slots: 9}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return bfstore.Entry{Key: inbound, Value: value, Revision: revision}
}

// A member left and the store dropped its history before this node heard of it.
// The list that it then reads holds no row as new as what it knew; taken for old
// news, it would keep the member for good.
func TestListAfterDroppedHistoryCounts(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.applyMembers(bffollow.Batch{Full: true, Entries: []bfstore.Entry{row(t, "a:1", 4), row(t, "b:1", 9)}, Revision: 9})
	is.Equal(s.fleet.Size(), 2)
	s.applyMembers(bffollow.Batch{Full: true, Entries: []bfstore.Entry{row(t, "a:1", 4)}, Revision: 12})
	is.Equal(s.fleet.Size(), 1)
	is.Equal(s.Revision(), uint64(12))
}

// The store brings a change that a peer's newer list contains already, late. The
// member that it adds has left since.
func TestOldNewsOfMembersIsPassedOver(t *testing.T) {
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

// Another writer puts rows into the members' table, one over a member's own: bytes
// that are none, a row under another's key, one that names no service. None may get a
// caller's request, the one written over included, and the others are used on, whether
// the rows come as changes or in a whole list.
func TestRowsOfAnotherWriterNameNoTarget(t *testing.T) {
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

// version is the operators' row with a configuration of one route to a service; the
// configuration has the service s alone.
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
	return bfstore.Entry{Key: bfdialect.ConfigurationKey, Value: value, Revision: uint64(number)}
}

// A row of the operators' table can't be read, or its configuration does not hold
// together. What is in force stays, whole.
func TestWrongConfigurationLeavesTheOldOne(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.applyConfiguration(bffollow.Batch{Entries: []bfstore.Entry{version(t, 3, bftraffic.Idempotent, "s")}})
	is.Equal(s.Version(), bftraffic.Version(3))
	cut := version(t, 4, bftraffic.Idempotent, "s")
	cut.Value = cut.Value[:len(cut.Value)/2]
	for _, wrong := range []bfstore.Entry{cut, version(t, 4, bftraffic.Kind(99), "s"), version(t, 4, bftraffic.Idempotent, "gone")} {
		s.applyConfiguration(bffollow.Batch{Entries: []bfstore.Entry{wrong}})
		is.Equal(s.Version(), bftraffic.Version(3))
		is.True(s.refused.Load() != nil)
	}
}

// Three versions come at once, the newest of them wrong. The one before it comes
// into force, and the oldest costs nothing.
func TestNewestGoodVersionOfABatch(t *testing.T) {
	is := is.New(t)
	s := newState()
	entries := []bfstore.Entry{
		version(t, 3, bftraffic.Idempotent, "s"), version(t, 7, bftraffic.Idempotent, "s"), version(t, 8, bftraffic.Idempotent, "gone"),
	}
	s.applyConfiguration(bffollow.Batch{Entries: entries})
	is.Equal(s.Version(), bftraffic.Version(7))
	is.Equal(s.refused.Load().Version, bftraffic.Version(8))
	is.True(s.Recent(3) == nil) // never taken
}

// A node that is started again finds its own row in the store's list. The row names the
// target that it had; one that another writer wrote over, with a target on another machine,
// does not. A peer's list may be older than the removal of the row: recalled by it, a
// target that has left would get new work.
func TestOwnRowRecallsTheTarget(t *testing.T) {
	is := is.New(t)
	own := bffleet.Member{
		Inbound: "10.0.0.1:1", Peer: "10.0.0.1:2", Service: "vault", Domain: "nord", Slots: 9, Incarnation: "i-1", Address: "10.0.0.1:3",
	}
	var recalled []string
	s := newState()
	s.self = own.Inbound
	s.recall = func(m bffleet.Member) { recalled = append(recalled, m.Incarnation) }
	value, err := own.Encode()
	is.NoErr(err)
	s.applyMembers(bffollow.Batch{Full: true, Entries: []bfstore.Entry{row(t, "10.0.0.2:1", 4), {Key: own.Inbound, Value: value, Revision: 5}}, Revision: 5})
	s.ApplyRoster(bfnews.Roster{Revision: 6, Members: []bffleet.Member{own}})
	is.Equal(recalled, []string{"i-1"})
	is.True(own.HasTarget())
	own.Address = "10.0.0.2:3"
	is.True(!own.HasTarget())
}
