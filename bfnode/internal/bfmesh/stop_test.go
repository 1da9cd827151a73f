package bfmesh

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfsettings"
	"bilberryflow.org/lib/bfstore"
)

// A node is stopped to be started again, and its target goes on. The store is slow:
// if the node took its row out and put it back, its target would get no work from
// others for seconds after the node's return. They find the node by its connections
// instead. Once the target itself leaves, the row has to go.
func TestPlannedStopKeepsTheRow(t *testing.T) {
	is := is.New(t)
	common := Node{Instance: "portal-1", Service: "portal", FailureDomain: "nord", Inbound: "127.0.0.1:1", PlatformAddress: "127.0.0.1:2"}
	n := newNode(common, Mesh{Grace: bfsettings.Duration(6 * time.Second), LinkMbps: 1000}, bflog.Discard())
	n.group.Go("timer", n.timer.Run)
	t.Cleanup(n.group.Cancel)
	n.host.HandleHeartbeat(bfhost.Heartbeat{Incarnation: "a", Sequence: 1, Service: "portal", Address: "127.0.0.1:3", Slots: 9, State: bfhost.Ready})
	row, err := bffleet.Member{
		Inbound: common.Inbound, Service: "portal", Domain: "nord", Slots: 9, LinkMbps: 1000, Instance: "portal-1",
		Incarnation: "a", Address: "127.0.0.1:3",
	}.Encode()
	is.NoErr(err)
	n.presence.Observe(bfstore.Entry{Key: common.Inbound, Value: row, Revision: 7})
	is.True(n.presence.InSync())

	began := time.Now()
	n.drain(context.Background())
	is.True(time.Since(began) < 3*time.Second) // it did not wait for the store
	is.True(n.host.Leaving())
	is.True(n.presence.InSync()) // the row is as it should be

	n.host.HandleDeparture(bfhost.Departure{Incarnation: "a"})
	is.True(!n.presence.InSync()) // the row has to go
}
