package bfquery

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery/bfgrammar"
	"bilberryflow.org/lib/bfquery/bfresult"
)

var forceColumns = []bfresult.Column{
	{Name: "region", Type: bfresult.TypeText},
	{Name: "domain", Type: bfresult.TypeText},
	{Name: "version", Type: bfresult.TypeNumber},
	{Name: "nodes", Type: bfresult.TypeNumber},
}

func (r *run) inForce(ctx context.Context, command bfgrammar.InForce) error {
	census, err := r.backend.Census(ctx, command.Scope)
	if err != nil {
		return err
	}
	table := bfresult.Table{Name: "in-force", Columns: forceColumns, Rows: forceRows(census)}
	if err := r.emit(table); err != nil {
		return err
	}
	return r.message("%s", censusText(census))
}

// forceRows lists each domain with the newest version first.
func forceRows(census Census) []row {
	domains := slices.SortedFunc(slices.Values(census.Domains), func(a, b DomainCensus) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Domain, b.Domain))
	})
	var rows []row
	for _, domain := range domains {
		for _, version := range versionsOf(domain) {
			rows = append(rows, row{
				text(domain.Region), text(domain.Domain), number(version), number(domain.Held[version]),
			})
		}
	}
	return rows
}

func versionsOf(domain DomainCensus) []bfconfig.Version {
	var versions []bfconfig.Version
	for version := range domain.Held {
		versions = append(versions, version)
	}
	slices.SortFunc(versions, func(a, b bfconfig.Version) int { return cmp.Compare(b, a) })
	return versions
}

// tally is a census summed up for one version.
type tally struct {
	// reached counts the nodes that could be asked.
	reached int
	// held counts those with the version or a later one.
	held           int
	unreachable    int
	oldest, newest bfconfig.Version
}

func (c Census) tally(version bfconfig.Version) tally {
	sum := tally{}
	for _, domain := range c.Domains {
		sum.unreachable += domain.Unreachable
		for held, count := range domain.Held {
			if sum.reached == 0 || held < sum.oldest {
				sum.oldest = held
			}
			sum.newest = max(sum.newest, held)
			sum.reached += count
			if held >= version {
				sum.held += count
			}
		}
	}
	sum.unreachable = max(sum.unreachable, c.UnreachableCount, len(c.Unreachable))
	return sum
}

func censusText(census Census) string {
	sum := census.tally(0)
	text := fmt.Sprintf("%d nodes in reach", sum.reached)
	if sum.reached > 0 {
		text += fmt.Sprintf("; oldest version %d, newest %d", sum.oldest, sum.newest)
	}
	return text + gapText(census, sum)
}

// gapText says what the count leaves out, so that no gap reads as agreement.
func gapText(census Census, sum tally) string {
	var text strings.Builder
	if sum.unreachable > 0 {
		fmt.Fprintf(&text, "; %d out of reach", sum.unreachable)
	}
	if len(census.Unreachable) > 0 {
		const mostNamed = 10
		named := census.Unreachable[:min(len(census.Unreachable), mostNamed)]
		text.WriteString(": " + strings.Join(named, ", "))
		if sum.unreachable > len(named) {
			text.WriteString(" …")
		}
	}
	if census.Partial {
		text.WriteString("; this node's list of members is not whole, so there may be more nodes")
	}
	return text.String()
}

// watchInterval is how often a watch looks; convergence is a matter of seconds.
const watchInterval = 500 * time.Millisecond

// watch answers with a line at each step until every node holds the version.
func (r *run) watch(ctx context.Context, command bfgrammar.Watch) error {
	version, err := r.watchedVersion(ctx, command)
	if err != nil {
		return err
	}
	length := command.For
	if length == 0 {
		length = bfgrammar.UsualWatch
	}
	start := r.backend.Now()
	for {
		census, err := r.backend.Census(ctx, bfgrammar.Everywhere{})
		if err != nil {
			return err
		}
		step := watchStep(census, version, r.backend.Now().Sub(start), length)
		if err := r.emit(step.progress); err != nil {
			return err
		}
		if step.outcome != nil {
			return r.emit(*step.outcome)
		}
		if err := r.backend.Wait(ctx, min(watchInterval, step.left)); err != nil {
			return err
		}
	}
}

func (r *run) watchedVersion(ctx context.Context, command bfgrammar.Watch) (bfconfig.Version, error) {
	if command.Version != 0 {
		return command.Version, nil
	}
	newest, err := r.backend.Versions(ctx, 1)
	if err != nil {
		return 0, err
	}
	if len(newest) == 0 {
		return 0, nil
	}
	return newest[0].Version, nil
}

// step is one look of a watch.
type step struct {
	progress bfresult.Progress
	// outcome is nil while the watch goes on.
	outcome *bfresult.Outcome
	left    time.Duration
}

// watchStep decides by a census whether the version is in force everywhere.
//
// A node out of reach may serve callers by an old version, so it counts as one
// that does not hold the version until membership drops it as dead.
func watchStep(census Census, version bfconfig.Version, elapsed, length time.Duration) step {
	sum := census.tally(version)
	s := step{left: length - elapsed}
	s.progress = bfresult.Progress{
		Version: uint64(version), Elapsed: elapsed.Truncate(time.Millisecond), Held: sum.held,
		Nodes: sum.reached + sum.unreachable, Unreachable: sum.unreachable, Oldest: uint64(sum.oldest),
	}
	everywhere := sum.reached > 0 && sum.held == sum.reached && sum.unreachable == 0 && !census.Partial
	switch {
	case everywhere:
		s.outcome = &bfresult.Outcome{
			Status: bfresult.StatusDone, Version: uint64(version),
			Summary: fmt.Sprintf("version %d is in force on all %d nodes", version, sum.held),
		}
	case s.left <= 0:
		s.outcome = &bfresult.Outcome{
			Status: bfresult.StatusUnknown, Version: uint64(version),
			Summary: fmt.Sprintf("version %d is in force on %d of %d nodes after %s%s", version, sum.held,
				s.progress.Nodes, bfresult.FormatDuration(s.progress.Elapsed), gapText(census, sum)),
		}
	}
	return s
}
