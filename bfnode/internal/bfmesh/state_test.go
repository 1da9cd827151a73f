package bfmesh

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bffollow"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfnews"
	"bilberryflow.org/lib/bfpresence"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftraffic"
)

func newState() *state {
	fleet := bffleet.New(bffleet.Place{Inbound: "self", Domain: "nord"})
	return &state{
		logger: bflog.Discard(), traffic: bftraffic.NewHolder(nil), fleet: fleet, self: "self", changed: func() {},
		presence: bfpresence.New(bfpresence.Parts{Logger: bflog.Discard(), Metrics: bfmetric.New()}),
	}
}

func row(t *testing.T, inbound string, revision uint64) bfstore.Entry {
	t.Helper()
	value, err := bffleet.Member{Inbound: inbound, Service: "vault"}.Encode()
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
	s.applyMembers(bffollow.Batch{Whole: true, Entries: []bfstore.Entry{row(t, "a", 4), row(t, "b", 9)}, Revision: 9})
	is.Equal(s.fleet.Size(), 2)
	s.applyMembers(bffollow.Batch{Whole: true, Entries: []bfstore.Entry{row(t, "a", 4)}, Revision: 12})
	is.Equal(s.fleet.Size(), 1)
	is.Equal(s.Revision(), uint64(12))
}

// The store brings a change that a peer's newer list contains already, late. The
// member that it adds has left since.
func TestOldNewsOfMembersIsPassedOver(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.TakeRoster(bfnews.Roster{Revision: 20, Members: []bffleet.Member{{Inbound: "a", Service: "vault"}}})
	s.applyMembers(bffollow.Batch{Entries: []bfstore.Entry{row(t, "b", 15)}, Revision: 15})
	is.Equal(s.fleet.Size(), 1)
	s.TakeRoster(bfnews.Roster{Revision: 19, Members: nil})
	is.Equal(s.fleet.Size(), 1)
	s.applyMembers(bffollow.Batch{Entries: []bfstore.Entry{row(t, "c", 21), {Key: "a", Revision: 22, Removed: true}}, Revision: 22})
	is.Equal(s.fleet.Members()[0].Inbound, "c")
}

// A row of the operators' table can't be read, or its configuration does not hold
// together. What is in force stays, whole.
func TestWrongConfigurationLeavesTheOldOne(t *testing.T) {
	is := is.New(t)
	s := newState()
	config := func(text string) bffollow.Batch {
		return bffollow.Batch{Entries: []bfstore.Entry{{Key: "config", Value: []byte(text)}}}
	}
	s.applyConfiguration(config(`{"version":3,"services":[{"name":"s"}],"routes":[{"name":"r","host":"h","prefix":"/","route_type":"idempotent","timeout_s":1,"service":"s","max_attempts":1}]}`))
	is.Equal(s.Version(), bftraffic.Version(3))
	for _, text := range []string{`{"version":4,`, `{"version":4,"routes":[{"name":"r","route_type":"often"}]}`,
		`{"version":4,"routes":[{"name":"r","host":"h","prefix":"/","route_type":"idempotent","timeout_s":1,"service":"gone","max_attempts":1}]}`} {
		s.applyConfiguration(config(text))
		is.Equal(s.Version(), bftraffic.Version(3))
	}
}

// Three versions come at once, the newest of them wrong. The one before it comes
// into force, and the oldest costs nothing.
func TestNewestGoodVersionOfABatch(t *testing.T) {
	is := is.New(t)
	s := newState()
	version := func(number int, service string) bfstore.Entry {
		const form = `{"version":%d,"services":[{"name":"s"}],"routes":[{"name":"r","host":"h","prefix":"/","route_type":"idempotent","timeout_s":1,"service":%q,"max_attempts":1}]}`
		return bfstore.Entry{Key: "config", Value: fmt.Appendf(nil, form, number, service), Revision: uint64(number)}
	}
	s.applyConfiguration(bffollow.Batch{Entries: []bfstore.Entry{version(3, "s"), version(7, "s"), version(8, "gone")}})
	is.Equal(s.Version(), bftraffic.Version(7))
	is.Equal(s.refused.Load().Version, bftraffic.Version(8))
	is.True(s.Recent(3) == nil) // never taken
}
