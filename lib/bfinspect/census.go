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
	// askTimeout is how long one node has to answer; it takes milliseconds.
	askTimeout = 2 * time.Second
	// askAtOnce is how many nodes are asked at once; each takes a connection.
	askAtOnce = 64
	// mostUnreachable bounds the nodes that are named.
	mostUnreachable = 20
)

// answer is what one member said.
type answer struct {
	member  bffleet.Member
	version bftraffic.Version
	reached bool
}

// Census asks every member in the scope for the version in force there.
func (b *Backend) Census(ctx context.Context, scope bfsyntax.Scope) (bfcensus.Census, error) {
	members, err := b.membersIn(scope)
	if err != nil {
		return bfcensus.Census{}, err
	}
	census := b.count(b.askAll(ctx, members))
	census.Partial = b.parts.Traffic.Current() == nil
	return census, ctx.Err()
}

// Nodes asks every member for the version in force there.
func (b *Backend) Nodes(ctx context.Context) ([]bfquery.Node, error) {
	var list []bfquery.Node
	for _, a := range b.askAll(ctx, b.parts.Fleet.Members()) {
		list = append(list, bfquery.Node{
			Instance: a.member.Name(), Region: b.parts.Region, Domain: a.member.Domain,
			Version: bfconfig.Version(a.version), Reachable: a.reached,
		})
	}
	return list, ctx.Err()
}

func (b *Backend) askAll(ctx context.Context, members []bffleet.Member) []answer {
	answers := make([]answer, len(members))
	var asked errgroup.Group
	asked.SetLimit(askAtOnce)
	for i, member := range members {
		asked.Go(func() error {
			answers[i] = b.ask(ctx, member)
			return nil
		})
	}
	_ = asked.Wait() // no question fails the others
	return answers
}

func (b *Backend) ask(ctx context.Context, member bffleet.Member) answer {
	if member.Inbound == b.parts.Self {
		return answer{member, b.parts.Traffic.Version(), true}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	version, err := b.parts.Ask(ctx, member.Peer)
	return answer{member, version, err == nil}
}

// membersIn lists the members of a scope.
func (b *Backend) membersIn(scope bfsyntax.Scope) ([]bffleet.Member, error) {
	all := b.parts.Fleet.Members()
	switch s := scope.(type) {
	case bfsyntax.AtNode:
		at := slices.IndexFunc(all, func(m bffleet.Member) bool { return m.Name() == s.Instance || m.Inbound == s.Instance })
		if at < 0 {
			return nil, &bfquery.NoInstanceError{Instance: s.Instance}
		}
		return all[at : at+1], nil
	case bfsyntax.InDomain:
		all = slices.DeleteFunc(all, func(m bffleet.Member) bool { return m.Domain != s.Domain })
	case bfsyntax.InRegion:
		if s.Region != b.parts.Region {
			all = nil
		}
	case bfsyntax.Everywhere:
	}
	if len(all) == 0 {
		return nil, &bfquery.NoMembersError{Scope: scope}
	}
	return all, nil
}

func (b *Backend) count(answers []answer) bfcensus.Census {
	domains := map[string]*bfcensus.Domain{}
	census := bfcensus.Census{Versions: map[bfconfig.Version]int{}}
	for _, a := range answers {
		domain := domains[a.member.Domain]
		if domain == nil {
			domain = &bfcensus.Domain{Region: b.parts.Region, Domain: a.member.Domain}
			domains[a.member.Domain] = domain
		}
		version := bfconfig.Version(a.version)
		if !a.reached {
			domain.Unreachable++
			census.Unreachable = append(census.Unreachable, a.member.Name())
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
	census.Unreachable = census.Unreachable[:min(len(census.Unreachable), mostUnreachable)]
	return census
}

// URLError reports a request to be explained that names no host.
type URLError struct{ URL string }

// Error shows the form.
func (e *URLError) Error() string {
	return "explain needs the host and the path, as in: explain GET //portal.example/sheets/logo; found " + e.URL
}

// WrongCommand marks the command as wrong: sent again it is refused again.
func (e *URLError) WrongCommand() {}

// splitURL parts //HOST/PATH.
func splitURL(url string) (host, path string, err error) {
	rest, begins := strings.CutPrefix(url, "//")
	host, path, _ = strings.Cut(rest, "/")
	if !begins || host == "" {
		return "", "", &URLError{URL: url}
	}
	path, _, _ = strings.Cut(path, "?")
	return host, "/" + path, nil
}
