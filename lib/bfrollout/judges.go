package bfrollout

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Node is a node of the fleet.
type Node struct{ Inbound, Peer, Domain string }

// maxJudges is the number of nodes to which entries send their counts. Each of them can judge
// alone; the others are there for its loss.
const maxJudges = 3

// Ranked returns the nodes in an order that depends on the roll-out and is the same on all nodes
// with the same members (rendezvous hashing). What only one node needs to do, the first does, and
// each later one a while after it.
func Ranked(order Order, nodes []Node) []Node {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b Node) int {
		return cmp.Or(cmp.Compare(weight(order, a), weight(order, b)), cmp.Compare(a.Inbound, b.Inbound))
	})
	return ranked
}

func weight(order Order, n Node) uint64 {
	h := fnv.New64a()
	// Write never fails.
	_, _ = h.Write([]byte(order.Service + "\x00" + order.Version + "\x00" + n.Inbound))
	return h.Sum64()
}

// Judges returns the nodes that compare the versions: the first ranked ones, in different failure
// domains where there are as many.
func Judges(order Order, nodes []Node) (judges []Node) {
	var rest []Node
	domains := map[string]bool{}
	for _, n := range Ranked(order, nodes) {
		if domains[n.Domain] {
			rest = append(rest, n)
			continue
		}
		domains[n.Domain] = true
		judges = append(judges, n)
	}
	judges = append(judges, rest...)
	return judges[:min(len(judges), maxJudges)]
}
