package bfmesh

import (
	"bilberryflow.org/lib/bfdeploy"
	"bilberryflow.org/lib/bfrollout"
	"bilberryflow.org/platform/bfdialect"
)

// RolloutTerms are the limits of roll-outs.
type RolloutTerms struct {
	Share float64 `json:"share" jsonschema:"minimum=0,maximum=1,description=Share of a service's requests that a version may get before it is found good."`
	Slack float64 `json:"slack" jsonschema:"minimum=0,maximum=1000000,description=Requests beside the share."`
}

func (r *RolloutTerms) terms() bfrollout.Terms {
	if r == nil {
		return bfrollout.Terms{Share: defaultTrialShare}
	}
	return bfrollout.Terms{Share: r.Share, Slack: r.Slack}
}

// defaultTrialShare applies where the settings have no terms of roll-outs.
const defaultTrialShare = 0.1

// newConductor builds what carries out roll-outs.
func (n *node) newConductor() {
	n.conductor = bfdeploy.New(bfdeploy.Config{
		Self: n.common.Peer, Inbound: n.common.Inbound, Book: n.rollouts, Fleet: n.fleet, Calls: n.calls,
		Rows: n.store, Format: bfdialect.RolloutFormat{}, Era: n.store.Era,
		Recipients: func(own bool) []string { return n.news.Recipients(own) },
		Timer:      n.timer, Logger: n.logger, Spawn: n.group.Go,
	})
	if n.settings.FirstStart {
		n.rollouts.SetSynced()
	}
}

// admitsVersion reports whether a request may run on this node's target of a version.
func (n *node) admitsVersion(version string, chosen bool) bool {
	return n.rollouts.Admits(n.common.Service, version, chosen, n.fleet.HasOtherVersions(n.common.Service, version))
}
