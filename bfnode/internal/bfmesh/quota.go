package bfmesh

import (
	"context"
	"fmt"
	"maps"
	"time"

	"bilberryflow.org/lib/bfboot"
	"bilberryflow.org/lib/bfentry"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfquota"
	"bilberryflow.org/lib/bfquotanet"
	"bilberryflow.org/lib/bfsettings"
)

// minQuotaWindow and maxQuotaWindow bound the window of quotas. Leases and the tokens that entries
// hold last for up to a second, so the sum over all nodes means nothing in a shorter window.
const (
	minQuotaWindow = time.Second
	maxQuotaWindow = 10 * time.Minute
)

// CheckQuotas validates what the schema of the settings can't express. It returns a
// *bfsettings.FieldError.
func (m *MeshSettings) CheckQuotas() error {
	if m == nil || m.Quotas == nil {
		return nil
	}
	if window := m.Quotas.Window.Std(); window < minQuotaWindow || window > maxQuotaWindow {
		return &bfsettings.FieldError{
			Field: "/mesh/quotas/window", Value: fmt.Sprintf("%q", window), Allowed: fmt.Sprintf("from %v to %v", minQuotaWindow, maxQuotaWindow),
		}
	}
	return nil
}

// newQuotas returns what limits the requests of workspaces, nil where the settings have no quotas.
func (n *node) newQuotas() *bfquotanet.Exchange {
	if n.settings.Quotas == nil {
		return nil
	}
	return bfquotanet.New(bfquotanet.Config{
		Self: n.common.Peer, Member: n.common.Inbound,
		Terms: bfquota.Terms{Window: n.settings.Quotas.Window.Std(), Overshoot: n.settings.Quotas.Overshoot, Slack: n.settings.Quotas.Slack},
		// The monotonic clock stops while the machine is suspended: a broker that resumes would then
		// count leases and tokens for longer than they last.
		Clock:   bfboot.Now,
		Calls:   lateCalls{n},
		Members: n.countMembers, Proven: n.current,
		Brokers: func() []string { return bfquotanet.Brokers(n.news.Relays()) },
		Traffic: n.traffic, Timer: n.timer, Metrics: n.metrics, Spawn: n.group.Go,
	})
}

// lateCalls makes the node's calls to peers, which are set up after the entry.
type lateCalls struct{ node *node }

// Call calls a method of the peer at address.
func (l lateCalls) Call(ctx context.Context, address, method string, params, result any) error {
	return l.node.calls.Call(ctx, address, method, params, result)
}

// addQuotaMethods adds the calls that the node serves as a broker of quotas.
func (n *node) addQuotaMethods(methods bfpeer.Methods) {
	if n.quotas != nil {
		maps.Copy(methods, n.quotas.Methods())
	}
}

// runQuotas starts the exchange of quotas.
func (n *node) runQuotas() {
	if n.quotas != nil {
		n.group.Go("quotas", n.quotas.Run)
	}
}

// countMembers returns the number of members and whether this node is one of them.
func (n *node) countMembers() (count int, isMember, known bool) {
	_, isMember = n.fleet.Member(n.common.Inbound)
	count = n.fleet.Size()
	return count, isMember, count > 0
}

// entryQuota returns the quotas for the entry, nil for none.
func (n *node) entryQuota() bfentry.Quota {
	if n.quotas == nil {
		return nil
	}
	return n.quotas
}

// quotaStatus returns what reports the quota of a workspace to operators, nil where none is enforced.
func (n *node) quotaStatus() func(workspace string) bfquota.Status {
	if n.quotas == nil {
		return nil
	}
	return n.quotas.Status
}
