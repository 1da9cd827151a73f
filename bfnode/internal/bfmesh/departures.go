package bfmesh

import (
	"log/slog"

	"bilberryflow.org/lib/bfdeparture"
	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bflog"
)

// departuresTable is the store's table with the departures that each node was told of.
const departuresTable = "departures"

// newDepartures builds the record of this node's departures and returns the keeper of other nodes' ones.
func (n *node) newDepartures() *bfdeparture.Keeper {
	n.departures = bfdeparture.New(bfdeparture.Config{
		Table: departuresTable, Key: n.common.Inbound, Rows: n.store, Era: n.store.Era, FirstStart: n.settings.FirstStart,
		Loaded: n.host.LearnDepartures, Advised: n.host.AddDepartures, Network: &bfdeparture.Network{
			Calls: n.calls, Spawn: n.group.Go,
			MembersKnown: func() bool { return n.state.Revision() > 0 },
			Keepers: func() []string {
				return bfdeparture.Keepers(n.common.Inbound, n.common.FailureDomain, n.fleet.Members())
			},
		},
		Timer: n.timer, Logger: n.logger, Metrics: n.metrics,
	})
	return bfdeparture.NewKeeper(departuresTable, n.store, n.timer)
}

// healthPath returns the path at which the target answers whether it accepts requests, "" while the
// configuration is not known, or other nodes may know that the target has left.
func (n *node) healthPath() string {
	if traffic := n.traffic.Current(); traffic != nil && n.departures.Consulted() {
		return traffic.HealthPath(n.common.Service)
	}
	return ""
}

// logVerification logs what the target answered when it was asked whether it accepts requests.
func (n *node) logVerification(v bfhost.Verification) {
	n.logger.Emit(bflog.TargetVerified, slog.String("incarnation", v.Incarnation), slog.Bool("accepting", v.Accepting), slog.Int("status", v.Status))
}
