package bfbackend

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfcount"
	"bilberryflow.org/lib/bfdirectory"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfquery"
	"bilberryflow.org/lib/bfquery/bfcensus"
	"bilberryflow.org/lib/bfquery/bfsyntax"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfroute"
)

// fleetControl is a Control with members and a census.
type fleetControl struct {
	fakeControl
	order *bfroster.Order
	view  *bfroute.View
	tally bfcount.Tally
}

func (f *fleetControl) View() *bfroute.View    { return f.view }
func (f *fleetControl) Order() *bfroster.Order { return f.order }
func (f *fleetControl) Census(context.Context, time.Duration) (bfcount.Tally, error) {
	return f.tally, nil
}

func member(id, region, domain, peer string) bfroster.Row {
	return bfroster.Row{ID: id, Region: region, Domain: domain, Peer: peer, Incarnation: 1}
}

// viewOf returns a view with one route at a version.
func viewOf(t *testing.T, version int) *bfroute.View {
	is := is.New(t)
	state := bfconfig.Empty()
	objects := []bfconfig.Op{
		bfconfig.Put{Object: bfconfig.ServiceSpec{Name: "docs", Slots: 4}},
		bfconfig.Put{Object: bfconfig.PolicySpec{Name: "lookup", Class: "lookup", Idempotent: true, Deadline: time.Second, RetryPercent: 10, TenantLimit: 3}},
		bfconfig.Put{Object: bfconfig.RouteSpec{Name: "sheets", Prefix: "/sheets", Service: "docs", Policy: "lookup"}},
	}
	for range version {
		next, _, err := state.Propose(bfconfig.NewChange("c", "anna", time.Unix(0, 0), objects))
		is.NoErr(err)
		state = next
	}
	view, err := bfroute.NewView(state)
	is.NoErr(err)
	return view
}

// startPeer serves inForceMethod on loopback and returns its address.
func startPeer(t *testing.T, view *bfroute.View) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	group := bfgroup.New(context.Background())
	calls := bfpeer.NewCalls(InForceMethods(func() *bfroute.View { return view }), bfpeer.NewTraffic(bfmetric.New()), group)
	group.Go("serve", func(ctx context.Context) error { return calls.Serve(ctx, listener) })
	t.Cleanup(func() { calls.CloseAll(); group.Cancel(); _ = group.Wait() })
	return listener.Addr().String()
}

func fleetBackend(t *testing.T) *Backend {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	is.New(t).NoErr(closed.Close())
	group := bfgroup.New(context.Background())
	calls := bfpeer.NewCalls(bfpeer.Methods{}, bfpeer.NewTraffic(bfmetric.New()), group)
	t.Cleanup(func() { calls.CloseAll(); group.Cancel(); _ = group.Wait() })
	return New(Config{Calls: calls, Directory: bfdirectory.New("nord"), Control: &fleetControl{
		order: bfroster.NewOrder([]bfroster.Row{
			member("n1", "vienna", "nord", "127.0.0.1:1"), member("n2", "vienna", "nord", startPeer(t, viewOf(t, 6))),
			member("n3", "vienna", "sued", closed.Addr().String()), member("n4", "hobart", "princes", startPeer(t, nil)),
		}),
		view: viewOf(t, 7),
		tally: bfcount.Tally{
			Versions: []bfcount.VersionCount{{Version: 6, Members: 1}, {Version: 7, Members: 2}},
			Domains:  []bfcount.DomainCount{{Domain: "nord", Members: 2, Oldest: 6}, {Domain: "princes", Members: 1, Oldest: 7}},
			Lacks:    []bfcount.UnreachableCount{{Domain: "sued", Members: 1}},
		},
	}})
}

// A census of a region, domain or node must cover that scope alone: a count over the fleet
// would hide an outdated node among its neighbours, and an empty one would suggest that no node
// is behind.
func TestCensusOfScopes(t *testing.T) {
	nord := bfcensus.Domain{Region: "vienna", Domain: "nord", Nodes: 2, Oldest: 6}
	sued := bfcensus.Domain{Region: "vienna", Domain: "sued", Unreachable: 1}
	princes := bfcensus.Domain{Region: "hobart", Domain: "princes", Nodes: 1, Oldest: 7}
	one := func(d bfcensus.Domain, version bfconfig.Version) bfcensus.Census {
		d.Nodes, d.Oldest = 1, version
		return bfcensus.Census{Domains: []bfcensus.Domain{d}, Versions: map[bfconfig.Version]int{version: 1}}
	}
	b := fleetBackend(t)
	for _, c := range []struct {
		scope bfsyntax.Scope
		want  bfcensus.Census
	}{
		{bfsyntax.Everywhere{}, bfcensus.Census{Domains: []bfcensus.Domain{princes, nord, sued}, Versions: map[bfconfig.Version]int{6: 1, 7: 2}}},
		{bfsyntax.InRegion{Region: "vienna"}, bfcensus.Census{Domains: []bfcensus.Domain{nord, sued}}},
		{bfsyntax.InDomain{Domain: "princes"}, bfcensus.Census{Domains: []bfcensus.Domain{princes}}},
		{bfsyntax.AtNode{Instance: "n1"}, one(nord, 7)},
		{bfsyntax.AtNode{Instance: "n2"}, one(nord, 6)},
		{bfsyntax.AtNode{Instance: "n3"}, bfcensus.Census{Domains: []bfcensus.Domain{sued}, Unreachable: []string{"n3"}}},
		{bfsyntax.AtNode{Instance: "n4"}, one(princes, 0)},
	} {
		t.Run(c.scope.String(), func(t *testing.T) {
			is := is.New(t)
			census, err := b.Census(context.Background(), c.scope)
			is.NoErr(err)
			census.Domains = census.Sorted()
			is.Equal(census, c.want)
		})
	}
}

// A misspelt name must be an error and not a scope without nodes.
func TestCensusOfUnknownScope(t *testing.T) {
	is := is.New(t)
	b := fleetBackend(t)
	for _, scope := range []bfsyntax.Scope{bfsyntax.InRegion{Region: "wien"}, bfsyntax.InDomain{Domain: "vienna"}} {
		_, err := b.Census(context.Background(), scope)
		var none *bfquery.NoMembersError
		is.True(errors.As(err, &none))
	}
	_, err := b.Census(context.Background(), bfsyntax.AtNode{Instance: "n9"})
	var unknown *bfquery.NoInstanceError
	is.True(errors.As(err, &unknown))
}

// An explanation must name the tenant's limit, since that may be what holds back its requests.
func TestExplainNamesPolicyAndTenant(t *testing.T) {
	is := is.New(t)
	explanation, err := fleetBackend(t).Explain(context.Background(), bfquery.ExplainRequest{
		Method: "GET", Path: "/sheets/logos", Tenant: "agency-7", At: time.Unix(0, 0).UTC(),
	})
	is.NoErr(err)
	is.Equal(explanation.Reasons, []string{
		"route sheets has the longest prefix, /sheets, for /sheets/logos",
		"no event is in force for the route at 1970-01-01T00:00:00Z",
		"by policy lookup it may be sent again, for up to 10% of recent successes, within 1s; class lookup, priority 0, at most 0 waiting at a target",
		"tenant agency-7 gets at most 3 slots of the class at one target",
	})
}
