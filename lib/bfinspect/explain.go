package bfinspect

import (
	"fmt"

	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfquery"
	"bilberryflow.org/lib/bftraffic"
)

// candidates returns the targets of a service in the order in which a request would be sent to them now.
func (b *Backend) candidates(route *bftraffic.Route, service string) []bfquery.Candidate {
	var list []bfquery.Candidate
	for _, r := range b.config.Fleet.Rank(b.config.Demand(route, service), b.Now()) {
		list = append(list, bfquery.Candidate{Target: targetOf(r.TargetStatus), Eligible: r.IsEligible(), Why: whyRanked(r)})
	}
	return list
}

// whyRanked describes what a target is chosen by.
func whyRanked(r bffleet.Ranked) string {
	if r.Leaving {
		return "it has said that it leaves"
	}
	if !r.IsEligible() {
		return r.Reason()
	}
	place := "same failure domain"
	if r.OtherDomain {
		place = "other failure domain"
	}
	room := "room"
	if r.Load > 1 {
		room = "full"
	}
	return fmt.Sprintf("cost %.2f: %s, %.0f %% of its slots with this request, %.2f times the usual run time, %s; %s",
		r.Cost, room, 100*r.Load, r.RunTime, place, r.Reason())
}

// workspaceReasons describes how requests of a workspace are treated at this node now.
func (b *Backend) workspaceReasons(traffic *bftraffic.Snapshot, route *bftraffic.Route, name string) []string {
	workspace := traffic.Workspace(name)
	if workspace == nil {
		return []string{fmt.Sprintf("version %d has no workspace %s", traffic.Version(), name)}
	}
	var list []string
	if rank, ok := workspace.Rank(); ok {
		list = append(list, fmt.Sprintf("its rank is %d, that of workspace %s", rank, name))
	}
	if f := b.config.Freshness; f != nil && !f.HonoursKeys() && !route.Public() {
		list = append(list, "it would be refused with 503: this node can't prove that its configuration is recent")
	}
	return append(list, b.quotaReasons(workspace)...)
}

func (b *Backend) quotaReasons(workspace *bftraffic.Workspace) []string {
	if b.config.Quota == nil || workspace.Rate() == 0 {
		return []string{"no quota applies"}
	}
	limit := fmt.Sprintf("quota of %d requests a second and a burst of %d over all nodes", workspace.Rate(), workspace.Burst())
	status := b.config.Quota(workspace.Name())
	switch {
	case status.DeniedFor > 0:
		return []string{fmt.Sprintf("it would be refused with 429: %s, used up for %v", limit, status.DeniedFor)}
	case status.Tokens == 0:
		return []string{limit + ", of which this node would ask a broker for tokens"}
	}
	return []string{fmt.Sprintf("%s, of which this node holds %d tokens", limit, status.Tokens)}
}
