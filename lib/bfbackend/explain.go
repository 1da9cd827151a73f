package bfbackend

import (
	"context"
	"fmt"
	"time"

	"bilberryflow.org/lib/bfchoice"
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery"
	"bilberryflow.org/lib/bfquery/bfresult"
	"bilberryflow.org/lib/bfroute"
)

// Explain returns how a request would be routed and under which policy.
func (b *Backend) Explain(_ context.Context, request bfquery.ExplainRequest) (bfquery.Explanation, error) {
	view := b.config.Control.View()
	if view == nil {
		return bfquery.Explanation{}, &bfquery.NotStartedError{}
	}
	explanation := bfquery.Explanation{Version: view.Version()}
	path, err := bfroute.CleanPath(request.Path)
	if err != nil {
		explanation.Reasons = append(explanation.Reasons, err.Error())
		return explanation, nil
	}
	match, err := view.Match(request.Method, path)
	if err != nil {
		explanation.Reasons = append(explanation.Reasons, err.Error())
		return explanation, nil
	}
	decision, _ := view.Events().InForce(match.Route().Name, request.At)
	explanation.Route, explanation.Service = match.Route().Name, match.Service().Name
	explanation.Policy, explanation.Event = decision.Policy().Name, decision.Event()
	explanation.Reasons = append(routeReasons(match, request, explanation), policyReasons(decision.Policy(), request.Tenant)...)
	explanation.Candidates = b.candidates(match.Service().Name)
	return explanation, nil
}

func routeReasons(match bfroute.Match, request bfquery.ExplainRequest, e bfquery.Explanation) []string {
	list := []string{fmt.Sprintf("route %s has the longest prefix, %s, for %s", e.Route, match.Route().Prefix, request.Path)}
	if e.Event != "" {
		return append(list, fmt.Sprintf("event %s is in force at %s and puts the route under policy %s", e.Event, request.At.Format(time.RFC3339), e.Policy))
	}
	return append(list, fmt.Sprintf("no event is in force for the route at %s", request.At.Format(time.RFC3339)))
}

// policyReasons describes the policy's effect on the request.
func policyReasons(policy bfconfig.PolicySpec, tenant string) []string {
	retries := "runs at most once"
	switch {
	case policy.Idempotent && policy.RetryPercent == 0:
		retries = "is idempotent, but not sent again with retry 0%"
	case policy.Idempotent:
		retries = fmt.Sprintf("may be sent again, for up to %d%% of recent successes", policy.RetryPercent)
	}
	list := []string{fmt.Sprintf("by policy %s it %s, within %s; class %s, priority %d, at most %d waiting at a target",
		policy.Name, retries, bfresult.FormatDuration(policy.Deadline), policy.Class, policy.Priority, policy.Queue)}
	switch {
	case tenant == "":
	case policy.TenantLimit == 0:
		list = append(list, fmt.Sprintf("policy %s sets no limit for tenant %s", policy.Name, tenant))
	default:
		list = append(list, fmt.Sprintf("tenant %s gets at most %d slots of the class at one target", tenant, policy.TenantLimit))
	}
	return list
}

func (b *Backend) candidates(service string) []bfquery.Candidate {
	order := b.config.Control.Order()
	var list []bfquery.Candidate
	for _, member := range b.config.Directory.Targets(service) {
		rank, found := order.Rank(member.ID)
		if !found {
			continue
		}
		candidate := bfquery.Candidate{Target: b.target(order.At(rank).Row())}
		candidate.Eligible = member.State == bfchoice.Ready || member.State == bfchoice.Cold
		candidate.Why = "announces itself and takes work"
		if !candidate.Eligible {
			candidate.Why = "is " + candidate.Target.State
		}
		list = append(list, candidate)
	}
	return list
}
