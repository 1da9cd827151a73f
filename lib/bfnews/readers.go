package bfnews

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"bilberryflow.org/lib/bffleet"
)

const (
	// smallDomain is the number of members of a failure domain up to which each
	// of them reads the store itself: there are no others to tell. With two readers for
	// each four of 16 instances a calm day had half of the 530 calls.
	smallDomain = 2
	// readersPerDomain is how many members of a larger one do; the others hear from
	// them. With two, the loss of one is not noticed by anybody else.
	readersPerDomain = 2
	// tellInterval is how often a reader tells its domain what it holds, and
	// readerSilence how long a member waits for that before it reads itself. Twice
	// lost or late is chance, three times is not; a version is due within two seconds.
	tellInterval  = 400 * time.Millisecond
	readerSilence = 1200 * time.Millisecond
	// firstMeeting is how long a node that found no member in the store waits until it
	// looks again. At the first start of a fleet all write their rows within about a
	// second and a half of each other; followed from the start, the table cost each
	// node a call for every few rows, a third of all calls of a day of 89 nodes.
	firstMeeting = 2 * time.Second
)

// readers chooses who of a domain's members reads the store for the others: the
// ones with the fastest links, by a hash among equals, so that all members choose
// the same without asking each other.
func readers(domain string, members []bffleet.Member) []string {
	var own []bffleet.Member
	for _, m := range members {
		if m.Domain == domain {
			own = append(own, m)
		}
	}
	if len(own) <= smallDomain {
		return nil
	}
	slices.SortFunc(own, func(a, b bffleet.Member) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(hash(a.Inbound), hash(b.Inbound)))
	})
	var chosen []string
	for _, m := range own[:readersPerDomain] {
		chosen = append(chosen, m.Inbound)
	}
	return chosen
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // never fails
	return h.Sum64()
}
