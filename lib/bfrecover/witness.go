package bfrecover

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a node as far as the choice of witnesses needs it.
type Member struct {
	ID     string
	Region string
	Domain string
}

// Witnesses chooses up to n of the members for self, by rendezvous hashing over as many failure domains as possible.
//
// Members of self's region go first, so that regions that lose each other don't
// hold versions back, and self's own failure domain goes last among equals. A
// choice of fewer is a prefix of a choice of more.
func Witnesses(self Member, members []Member, n int) []string {
	chosen := choose(candidates(self, members, true), n)
	if len(chosen) == n {
		return chosen
	}
	return append(chosen, choose(candidates(self, members, false), n-len(chosen))...)
}

// candidates are the members in self's region, or those in the others.
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
	member Member
	score  uint64
	own    int // 1 in self's failure domain
}

func newCandidate(self, m Member) candidate {
	c := candidate{member: m, score: xxhash.Sum64String(self.ID + "\x00" + m.ID)}
	if m.Domain == self.Domain {
		c.own = 1
	}
	return c
}

// choose takes the best of the failure domain that has the fewest so far, n times.
func choose(candidates []candidate, n int) []string {
	used := map[string]int{}
	var chosen []string
	for len(chosen) < n && len(candidates) > 0 {
		best := slices.MinFunc(candidates, func(a, b candidate) int {
			return cmp.Or(
				cmp.Compare(used[a.member.Domain], used[b.member.Domain]),
				cmp.Compare(a.own, b.own),
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

// majority is the smallest number of n that any other majority of n shares a member with.
func majority(n int) int {
	if n == 0 {
		return 0
	}
	return n/2 + 1
}
