package bfcommand

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"bilberryflow.org/lib/bfreplay"
)

// replayVariant is a named variant of the replay's options.
type replayVariant struct {
	name    string
	options bfreplay.Options
}

// replay compares the variants on the same load.
func (a arguments) replay(out io.Writer) error {
	if a.perSecond <= 0 || a.domains < 1 || a.targets < 1 || a.seconds < 1 || a.burst < 0 {
		return fmt.Errorf("rate %v, domains %d, targets %d, seconds %d, burst %v: rate, domains, targets and seconds must be positive, burst must not be negative",
			a.perSecond, a.domains, a.targets, a.seconds, a.burst)
	}
	load := bfreplay.Load{
		Seed: uint64(a.seed), Domains: a.domains, Slots: 9, PerSecond: a.perSecond, Burst: a.burst,
		Running: a.service, Spread: 0.8, Objective: 3 * a.service, Deadline: 15 * a.service,
		Length: time.Duration(a.seconds) * time.Second, Retries: 2,
	}
	for i := range a.targets {
		// Targets of one service differ in speed by more than a factor of two.
		load.Speeds = append(load.Speeds, []float64{0.7, 0.7, 1.6}[i%3])
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "variant\tcallers\tin time\tlate\trefused\tp50\tp99\tattempts\tto other domains")
	for _, variant := range []replayVariant{
		{"fail fast", bfreplay.Options{}},
		{"wait", bfreplay.Options{Wait: true}},
		{"wait, adaptive search", bfreplay.Options{Wait: true, AdaptiveSearch: true}},
	} {
		r := bfreplay.Run(load, variant.options)
		share := func(n int) string { return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(max(r.Callers, 1))) }
		quantile := func(q float64) time.Duration {
			return (time.Duration(r.Times.ValueAtQuantile(q)) * time.Microsecond).Round(time.Millisecond)
		}
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%v\t%v\t%d\t%d\n", variant.name, r.Callers, share(r.InTime), share(r.Late), share(r.Refused),
			quantile(50), quantile(99), r.Attempts, r.CrossDomainAttempts)
	}
	return table.Flush()
}
