package bfnews

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bftimer"
	"bilberryflow.org/lib/bftraffic"
)

// Guards against a node whose target has left missing a version: the others no longer send it
// updates, and until it notices that by a timeout it learns of versions by chance only.
func TestNodeThatLeftTheFleetReadsTheStoreAtOnce(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	all := members("nord", 6)
	fleet := bffleet.New(bffleet.Place{Domain: "nord"})
	state := &memoryState{traffic: bftraffic.NewHolder(nil), fleet: fleet}
	state.ApplyRoster(Roster{Revision: 1, Members: all})
	self := makePlan("nord", fleet.Members()).domain[5]
	var left atomic.Bool
	e := New(Config{
		Self: self.Peer, Place: bffleet.Place{Inbound: self.Inbound, Domain: "nord"}, State: state, Fleet: fleet,
		Calls: bfpeer.NewCalls(bfpeer.Methods{}, bfpeer.NewTraffic(bfmetric.New()), group), Timer: timer,
		Logger: bflog.Discard(), Spawn: group.Go, Withdrawn: left.Load,
	})
	e.received.any.Store(e.uptime())
	e.received.reader.Store(e.uptime())
	is.True(!e.ReadsStore()) // a follower that receives updates
	left.Store(true)
	is.True(e.ReadsStore())
	state.ApplyRoster(Roster{Revision: 2, Members: all[:5]})
	is.True(e.ReadsStore())
	left.Store(false)
	e.received.any.Store(e.uptime())
	is.True(!e.ReadsStore())
}
