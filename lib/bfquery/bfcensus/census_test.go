package bfcensus

import (
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfgolden"
	"bilberryflow.org/lib/bfquery/bfresult"
)

// TestMain fixes rapid's seed, so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func domainCensus(versions map[bfconfig.Version]int, oldest bfconfig.Version, unreachable ...string) Census {
	domain := Domain{Region: "vienna", Domain: "wien-nord", Oldest: oldest, Unreachable: len(unreachable)}
	for _, count := range versions {
		domain.Nodes += count
	}
	return Census{Domains: []Domain{domain}, Versions: versions, Unreachable: unreachable}
}

// A watch must not report success while a node is unreachable or outdated, or
// while the member list is incomplete or empty.
func TestWatchRequiresCompleteCensus(t *testing.T) {
	is := is.New(t)
	all := map[bfconfig.Version]int{7: 2, 8: 1}
	partial := domainCensus(all, 7)
	partial.Partial = true
	counted := domainCensus(all, 7)
	counted.Domains = append(counted.Domains, Domain{Domain: "wien-sued", Unreachable: 1})
	older := domainCensus(map[bfconfig.Version]int{6: 1, 7: 2}, 6)
	for _, census := range []Census{domainCensus(all, 7, "portal-core-2"), partial, counted, {}, older} {
		is.True(Watch(census, 7, 0, 1).Outcome == nil)
		is.Equal(Watch(census, 7, 1, 1).Outcome.Status, bfresult.StatusUnknown)
	}
	is.Equal(Watch(domainCensus(all, 7), 7, 0, 1).Outcome.Status, bfresult.StatusDone)
}

// On random fleets, inForce is exact with counts by version and never too high
// without them, and a watch ends only when every node has the version.
func TestCountsAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := rapid.SliceOfN(rapid.SliceOfN(rapid.Uint64Range(1, 4), 1, 4), 1, 3).Draw(t, "fleet")
		version := rapid.Uint64Range(1, 5).Draw(t, "version")
		census, total, want := Census{Versions: map[bfconfig.Version]int{}}, 0, 0
		for _, nodes := range fleet {
			domain := Domain{Nodes: len(nodes), Oldest: bfconfig.Version(nodes[0])}
			for _, held := range nodes {
				domain.Oldest = min(domain.Oldest, bfconfig.Version(held))
				census.Versions[bfconfig.Version(held)]++
				total++
				if held >= version {
					want++
				}
			}
			census.Domains = append(census.Domains, domain)
		}
		if got := census.inForce(bfconfig.Version(version)); got != want {
			t.Fatalf("%d instead of %d", got, want)
		}
		done := Watch(census, bfconfig.Version(version), 0, 1).Outcome != nil
		census.Versions = nil
		if got := census.inForce(bfconfig.Version(version)); got > want {
			t.Fatalf("%d of %d claimed", got, want)
		}
		if done != (want == total) || done != (Watch(census, bfconfig.Version(version), 0, 1).Outcome != nil) {
			t.Fatalf("done is %v with %d of %d", done, want, total)
		}
	})
}

func TestStringGolden(t *testing.T) {
	many := map[bfconfig.Version]int{}
	for version := range bfconfig.Version(12) {
		many[version+1] = 1
	}
	partial := domainCensus(map[bfconfig.Version]int{7: 1}, 7)
	partial.Partial = true
	var text string
	for _, census := range []Census{
		{}, domainCensus(map[bfconfig.Version]int{4: 2, 3: 1}, 3, "portal-core-2"), domainCensus(many, 1), partial,
		{Domains: []Domain{{Nodes: 2, Oldest: 5, Unreachable: 3}}},
	} {
		text += census.String() + "\n"
	}
	bfgolden.Check(t, "testdata/string.golden", text)
}
