package bfinspect

import (
	"context"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfquery"
	"bilberryflow.org/lib/bfquery/bfcensus"
	"bilberryflow.org/lib/bfquery/bfsyntax"
	"bilberryflow.org/lib/bftraffic"
)

const (
	// queryTimeout is the time limit of a query to one node; a response takes milliseconds.
	queryTimeout = 2 * time.Second
	// maxConcurrentQueries limits the open connections; each query uses one.
	maxConcurrentQueries = 64
	// maxUnreachableNames is the maximum length of bfcensus.Census.Unreachable.
	maxUnreachableNames = 20
)

// response is the result of the query to one member.
type response struct {
	member    bffleet.Member
	version   bftraffic.Version
	reachable bool
}

// Census queries every member in the scope for the version in force on it.
func (b *Backend) Census(ctx context.Context, scope bfsyntax.Scope) (bfcensus.Census, error) {
	members, err := b.membersIn(scope)
	if err != nil {
		return bfcensus.Census{}, err
	}
	census := b.count(b.queryAll(ctx, members))
	census.Partial = b.config.Traffic.Current() == nil
	return census, ctx.Err()
}

// Nodes queries every member for the version in force on it.
func (b *Backend) Nodes(ctx context.Context) ([]bfquery.Node, error) {
	var list []bfquery.Node
	for _, r := range b.queryAll(ctx, b.config.Fleet.Members()) {
		list = append(list, bfquery.Node{
			Instance: r.member.Name(), Region: b.config.Region, Domain: r.member.Domain,
			Version: bfconfig.Version(r.version), Reachable: r.reachable,
		})
	}
	return list, ctx.Err()
}

func (b *Backend) queryAll(ctx context.Context, members []bffleet.Member) []response {
	responses := make([]response, len(members))
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for i, member := range members {
		group.Go(func() error {
			responses[i] = b.query(ctx, member)
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
	return responses
}

func (b *Backend) query(ctx context.Context, member bffleet.Member) response {
	if member.Inbound == b.config.Self {
		return response{member, b.config.Traffic.Version(), true}
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	version, err := b.config.QueryVersion(ctx, member.Peer)
	return response{member, version, err == nil}
}

// membersIn lists the members of a scope.
func (b *Backend) membersIn(scope bfsyntax.Scope) ([]bffleet.Member, error) {
	all := b.config.Fleet.Members()
	switch s := scope.(type) {
	case bfsyntax.AtNode:
		index := slices.IndexFunc(all, func(m bffleet.Member) bool { return m.Name() == s.Instance || m.Inbound == s.Instance })
		if index < 0 {
			return nil, &bfquery.NoInstanceError{Instance: s.Instance}
		}
		return all[index : index+1], nil
	case bfsyntax.InDomain:
		all = slices.DeleteFunc(all, func(m bffleet.Member) bool { return m.Domain != s.Domain })
	case bfsyntax.InRegion:
		if s.Region != b.config.Region {
			all = nil
		}
	case bfsyntax.Everywhere:
	}
	if len(all) == 0 {
		return nil, &bfquery.NoMembersError{Scope: scope}
	}
	return all, nil
}

func (b *Backend) count(responses []response) bfcensus.Census {
	domains := map[string]*bfcensus.Domain{}
	census := bfcensus.Census{Versions: map[bfconfig.Version]int{}}
	for _, r := range responses {
		domain := domains[r.member.Domain]
		if domain == nil {
			domain = &bfcensus.Domain{Region: b.config.Region, Domain: r.member.Domain}
			domains[r.member.Domain] = domain
		}
		version := bfconfig.Version(r.version)
		if !r.reachable {
			domain.Unreachable++
			census.Unreachable = append(census.Unreachable, r.member.Name())
			continue
		}
		if domain.Nodes == 0 || version < domain.Oldest {
			domain.Oldest = version
		}
		domain.Nodes++
		census.Versions[version]++
	}
	for _, domain := range domains {
		census.Domains = append(census.Domains, *domain)
	}
	slices.Sort(census.Unreachable)
	census.Unreachable = census.Unreachable[:min(len(census.Unreachable), maxUnreachableNames)]
	return census
}

// URLError reports an explain command without a host.
type URLError struct{ URL string }

// Error shows the expected form.
func (e *URLError) Error() string {
	return "explain needs the host and the path, as in: explain GET //portal.example/sheets/logo; found " + e.URL
}

// InvalidCommand marks the error as permanent: a retry can't succeed.
func (e *URLError) InvalidCommand() {}

// splitURL splits //HOST/PATH and drops the query.
func splitURL(url string) (host, path string, err error) {
	rest, hasPrefix := strings.CutPrefix(url, "//")
	host, path, _ = strings.Cut(rest, "/")
	if !hasPrefix || host == "" {
		return "", "", &URLError{URL: url}
	}
	path, _, _ = strings.Cut(path, "?")
	return host, "/" + path, nil
}
