package bfdeparture

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bilberryflow.org/lib/bffleet"
)

// maxKeepers is the number of other nodes that are told of a node's departures.
const maxKeepers = 3

// Keepers returns the peer addresses of the members that keep the departures of a node's target, the node
// itself excluded. All processes of the node choose the same ones from the same members, and each member
// keeps those of few nodes. Other failure domains come first, each with one member before any has two.
func Keepers(inbound, domain string, members []bffleet.Member) []string {
	candidates := slices.DeleteFunc(slices.Clone(members), func(m bffleet.Member) bool { return m.Inbound == inbound || m.Peer == "" })
	slices.SortFunc(candidates, func(a, b bffleet.Member) int {
		return cmp.Or(cmp.Compare(weight(inbound, a), weight(inbound, b)), cmp.Compare(a.Inbound, b.Inbound))
	})
	preceding := map[string]int{domain: maxKeepers}
	rank := make(map[string]int, len(candidates))
	for _, m := range candidates {
		rank[m.Inbound] = preceding[m.Domain]
		preceding[m.Domain]++
	}
	slices.SortStableFunc(candidates, func(a, b bffleet.Member) int { return cmp.Compare(rank[a.Inbound], rank[b.Inbound]) })
	var peers []string
	for _, m := range candidates[:min(maxKeepers, len(candidates))] {
		peers = append(peers, m.Peer)
	}
	return peers
}

// weight orders the members for a node.
func weight(inbound string, m bffleet.Member) uint64 {
	return xxhash.Sum64String(inbound + " " + m.Inbound)
}
