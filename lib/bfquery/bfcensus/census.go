package bfcensus

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"bilberryflow.org/lib/bfconfig"
)

// Census counts the versions in force over a part of the fleet.
type Census struct {
	Domains []Domain
	// Versions counts the nodes in reach by the version in force on them. It is
	// nil where only the oldest version of each domain is known.
	Versions map[bfconfig.Version]int
	// Unreachable names nodes that could not be asked; there may be more than
	// are named.
	Unreachable []string
	// Partial is true if the node knows that its membership is not whole.
	Partial bool
}

// Domain counts the nodes of one failure domain.
type Domain struct {
	Region string
	Domain string
	// Nodes counts those in reach.
	Nodes int
	// Oldest is the oldest version in force on one of them.
	Oldest bfconfig.Version
	// Unreachable counts the others.
	Unreachable int
}

// Sorted lists the domains by region and name.
func (c Census) Sorted() []Domain {
	return slices.SortedFunc(slices.Values(c.Domains), func(a, b Domain) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Domain, b.Domain))
	})
}

// reached counts the nodes that answered.
func (c Census) reached() int {
	sum := 0
	for _, domain := range c.Domains {
		sum += domain.Nodes
	}
	return sum
}

// unreachable counts the nodes that did not answer.
func (c Census) unreachable() int {
	sum := 0
	for _, domain := range c.Domains {
		sum += domain.Unreachable
	}
	return max(sum, len(c.Unreachable))
}

// oldest is the oldest version on a node in reach.
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

// inForce counts the nodes that are known to have the version or a later one in force.
//
// Where the counts by version are missing, a domain counts whole once its oldest
// node has the version and not at all before: too few may be said to have a
// version, never too many.
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

// String sums the census up in a line.
func (c Census) String() string {
	text := fmt.Sprintf("%s in reach", nodes(c.reached()))
	if c.reached() > 0 {
		text += "; " + c.versions()
	}
	return text + c.gap()
}

// versions tells the versions in force, the newest first.
func (c Census) versions() string {
	if c.Versions == nil {
		return fmt.Sprintf("oldest version %d", c.oldest())
	}
	var counts []string
	for _, version := range descending(c.Versions) {
		counts = append(counts, fmt.Sprintf("version %d on %s", version, nodes(c.Versions[version])))
	}
	const most = 10
	if len(counts) > most {
		counts = append(counts[:most], fmt.Sprintf("and older ones down to %d", c.oldest()))
	}
	return strings.Join(counts, ", ")
}

func descending(versions map[bfconfig.Version]int) []bfconfig.Version {
	var list []bfconfig.Version
	for version := range versions {
		list = append(list, version)
	}
	slices.SortFunc(list, func(a, b bfconfig.Version) int { return cmp.Compare(b, a) })
	return list
}

func nodes(n int) string {
	if n == 1 {
		return "1 node"
	}
	return fmt.Sprintf("%d nodes", n)
}

// gap says what the count leaves out, so that no gap reads as agreement.
func (c Census) gap() string {
	var text strings.Builder
	unreachable := c.unreachable()
	if unreachable > 0 {
		fmt.Fprintf(&text, "; %d out of reach", unreachable)
	}
	if len(c.Unreachable) > 0 {
		const mostNamed = 10
		named := c.Unreachable[:min(len(c.Unreachable), mostNamed)]
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
