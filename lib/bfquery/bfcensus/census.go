package bfcensus

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"bilberryflow.org/lib/bfconfig"
)

// Census counts the versions in force on a set of nodes.
type Census struct {
	Domains []Domain
	// Versions counts the reachable nodes by the version in force on them. It is
	// nil if only the oldest version of each domain is known.
	Versions map[bfconfig.Version]int
	// Unreachable names nodes that did not respond. The list may be incomplete.
	Unreachable []string
	// Partial is true if the node's member list is known to be incomplete.
	Partial bool
}

// Domain counts the nodes of one failure domain.
type Domain struct {
	Region string
	Domain string
	// Nodes counts the reachable nodes.
	Nodes int
	// Oldest is the oldest version in force on a reachable node.
	Oldest bfconfig.Version
	// Unreachable counts the nodes that did not respond.
	Unreachable int
}

// Sorted returns the domains ordered by region and name.
func (c Census) Sorted() []Domain {
	return slices.SortedFunc(slices.Values(c.Domains), func(a, b Domain) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Domain, b.Domain))
	})
}

// reached counts the nodes that responded.
func (c Census) reached() int {
	sum := 0
	for _, domain := range c.Domains {
		sum += domain.Nodes
	}
	return sum
}

// unreachable counts the nodes that did not respond.
func (c Census) unreachable() int {
	sum := 0
	for _, domain := range c.Domains {
		sum += domain.Unreachable
	}
	return max(sum, len(c.Unreachable))
}

// oldest returns the oldest version in force on a reachable node, or 0 if there is none.
func (c Census) oldest() bfconfig.Version {
	var oldest bfconfig.Version
	found := false
	for _, domain := range c.Domains {
		if domain.Nodes > 0 && (!found || domain.Oldest < oldest) {
			oldest, found = domain.Oldest, true
		}
	}
	return oldest
}

// inForce returns a lower bound on the nodes with the version or a later one in force.
//
// Without counts by version, a domain contributes all its nodes if its oldest
// version is recent enough, and none otherwise.
func (c Census) inForce(version bfconfig.Version) int {
	sum := 0
	if c.Versions != nil {
		for held, count := range c.Versions {
			if held >= version {
				sum += count
			}
		}
		return sum
	}
	for _, domain := range c.Domains {
		if domain.Oldest >= version {
			sum += domain.Nodes
		}
	}
	return sum
}

// String summarizes the census on one line.
func (c Census) String() string {
	text := fmt.Sprintf("%s in reach", nodeCount(c.reached()))
	if c.reached() > 0 {
		text += "; " + c.versions()
	}
	return text + c.missingNodes()
}

// versions describes the versions in force, newest first.
func (c Census) versions() string {
	if c.Versions == nil {
		return fmt.Sprintf("oldest version %d", c.oldest())
	}
	var counts []string
	for _, version := range newestFirst(c.Versions) {
		counts = append(counts, fmt.Sprintf("version %d on %s", version, nodeCount(c.Versions[version])))
	}
	const maxListed = 10
	if len(counts) > maxListed {
		counts = append(counts[:maxListed], fmt.Sprintf("and older ones down to %d", c.oldest()))
	}
	return strings.Join(counts, ", ")
}

func newestFirst(versions map[bfconfig.Version]int) []bfconfig.Version {
	var list []bfconfig.Version
	for version := range versions {
		list = append(list, version)
	}
	slices.SortFunc(list, func(a, b bfconfig.Version) int { return cmp.Compare(b, a) })
	return list
}

func nodeCount(n int) string {
	if n == 1 {
		return "1 node"
	}
	return fmt.Sprintf("%d nodes", n)
}

// missingNodes describes the nodes missing from the count, so that it is not read as complete.
func (c Census) missingNodes() string {
	var text strings.Builder
	unreachable := c.unreachable()
	if unreachable > 0 {
		fmt.Fprintf(&text, "; %d out of reach", unreachable)
	}
	if len(c.Unreachable) > 0 {
		const maxNamed = 10
		named := c.Unreachable[:min(len(c.Unreachable), maxNamed)]
		text.WriteString(": " + strings.Join(named, ", "))
		if unreachable > len(named) {
			text.WriteString(" …")
		}
	}
	if c.Partial {
		text.WriteString("; this node's list of members is not whole, so there may be more nodes")
	}
	return text.String()
}
