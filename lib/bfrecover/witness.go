package bfrecover

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member holds the properties of a node that the choice of witnesses depends on.
type Member struct {
	ID     string
	Region string
	Domain string
}

// Witnesses returns the IDs of up to n witnesses for self, chosen by rendezvous
// hashing and spread over as many failure domains as possible.
//
// Members of self's region come first, so that a partition between regions doesn't
// delay versions, and self's own failure domain comes last among equals. The
// choice for a smaller n is a prefix of that for a larger one.
func Witnesses(self Member, members []Member, n int) []string {
	chosen := choose(candidates(self, members, true), n)
	if len(chosen) == n {
		return chosen
	}
	return append(chosen, choose(candidates(self, members, false), n-len(chosen))...)
}

// candidates lists the members in self's region if near, else those in other regions.
func candidates(self Member, members []Member, near bool) []candidate {
	var list []candidate
	for _, m := range members {
		if m.ID != self.ID && (m.Region == self.Region) == near {
			list = append(list, newCandidate(self, m))
		}
	}
	return list
}

type candidate struct {
	member    Member
	score     uint64
	ownDomain int // 1 in self's failure domain
}

func newCandidate(self, m Member) candidate {
	c := candidate{member: m, score: xxhash.Sum64String(self.ID + "\x00" + m.ID)}
	if m.Domain == self.Domain {
		c.ownDomain = 1
	}
	return c
}

// choose picks n candidates, each the best one of the failure domain with the fewest picked so far.
func choose(candidates []candidate, n int) []string {
	used := map[string]int{}
	var chosen []string
	for len(chosen) < n && len(candidates) > 0 {
		best := slices.MinFunc(candidates, func(a, b candidate) int {
			return cmp.Or(
				cmp.Compare(used[a.member.Domain], used[b.member.Domain]),
				cmp.Compare(a.ownDomain, b.ownDomain),
				cmp.Compare(b.score, a.score),
				cmp.Compare(a.member.ID, b.member.ID),
			)
		})
		chosen = append(chosen, best.member.ID)
		used[best.member.Domain]++
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.member.ID == best.member.ID })
	}
	return chosen
}

// majority returns the size of the smallest majority of n members, 0 for n = 0.
func majority(n int) int {
	if n == 0 {
		return 0
	}
	return n/2 + 1
}
