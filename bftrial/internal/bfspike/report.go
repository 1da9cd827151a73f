package bfspike

import (
	"encoding/csv"
	"errors"
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

func formatShare(f float64) string { return strconv.FormatFloat(f, 'f', 3, 64) }

func formatMillis(d time.Duration) string { return strconv.FormatFloat(d.Seconds()*1000, 'f', 2, 64) }

var header = []string{
	"policy", "phase", "class", "offered", "served", "served_on_return", "late", "refused", "unknown", "failed", "dropped",
	"return_after_run", "goodput_of_capacity", "served_p50_ms", "served_p99_ms", "served_p999_ms",
	"told_p50_ms", "told_p99_ms", "machine_busy",
}

func (r Report) csvFields(row Row) []string {
	n := strconv.Itoa
	return []string{
		r.policy, row.phase.String(), row.class, n(row.offered), n(row.byOutcome[served]), n(row.servedOnRetry), n(row.byOutcome[late]),
		n(row.byOutcome[refused]), n(row.byOutcome[unknown]), n(row.byOutcome[failed]), n(row.byOutcome[dropped]),
		n(row.retryAfterEnd), formatShare(row.goodput), formatMillis(row.served.p50), formatMillis(row.served.p99), formatMillis(row.served.p999),
		formatMillis(row.refused.p50), formatMillis(row.refused.p99), formatShare(r.busy[row.phase]),
	}
}

// write writes the CSV files and the plot, and prints the table and a summary.
func (t *trial) write(reports []Report) error {
	if err := os.MkdirAll(t.options.Out, 0o755); err != nil {
		return err
	}
	name := filepath.Join(t.options.Out, fmt.Sprintf("spike-%s-%s", t.shape.name, t.fault))
	figures := table(reports)
	if err := csv.NewWriter(t.out).WriteAll(figures); err != nil {
		return err
	}
	if err := writeCSV(name+".csv", figures); err != nil {
		return err
	}
	if err := writeCSV(name+"-seconds.csv", timelineTable(reports)); err != nil {
		return err
	}
	for _, r := range reports {
		r.summary(t.out)
	}
	writeVerdicts(t.out, reports[0])
	return savePlot(name+".png", fmt.Sprintf("%s, fault %s: served in time", t.shape.name, t.fault), reports)
}

func writeCSV(path string, lines [][]string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(csv.NewWriter(file).WriteAll(lines), file.Close())
}

// table returns a header and one line for each class in each phase of each policy.
func table(reports []Report) [][]string {
	lines := [][]string{header}
	for _, r := range reports {
		for _, row := range r.rows {
			lines = append(lines, r.csvFields(row))
		}
	}
	return lines
}

// timelineTable returns a header and one line for each second of each policy's run.
func timelineTable(reports []Report) [][]string {
	lines := [][]string{{"policy", "second", "came_first", "served_of_those", "came_again", "goodput_read", "goodput_write", "served_p99_ms"}}
	n := strconv.Itoa
	for _, r := range reports {
		for _, p := range r.timeline {
			lines = append(lines, []string{
				r.policy, n(int(p.at / timelineStep)), n(p.first), n(p.firstServed), n(p.retries), formatShare(p.share[read]), formatShare(p.share[write]), formatMillis(p.p99),
			})
		}
	}
	return lines
}

func (r Report) summary(w io.Writer) {
	fmt.Fprintf(w, "\n%s: load generator lag p50 %s p99 %s ms; added latency before the spike: p50 %s p99 %s p99.9 %s ms\n",
		r.policy, formatMillis(r.lag.p50), formatMillis(r.lag.p99), formatMillis(r.addedLatency.p50), formatMillis(r.addedLatency.p99), formatMillis(r.addedLatency.p999))
	fmt.Fprintf(w, "  runs %d, wasted %d (%.1f %%), writes run more than once %d\n",
		r.runs, r.wasted, 100*float64(r.wasted)/float64(max(1, r.runs)), r.repeated)
	fmt.Fprintf(w, "  look-ups served in the spike: Jain's index over tenants %.3f, the flooding tenant's share %.3f\n", r.fairness, r.floodFraction)
	fmt.Fprintf(w, "  recovery after the spike: goodput %s, goodput and p99 %s\n", formatRecovery(r.goodputRecovery), formatRecovery(r.latencyRecovery))
}

func formatRecovery(d time.Duration) string {
	if d < 0 {
		return "not within the run"
	}
	return d.String()
}

// Objectives of the request policy.
const (
	goodputObjective      = 0.95
	addedLatencyObjective = 1100 * time.Microsecond
)

func verdict(met bool) string {
	if met {
		return "met"
	}
	return "not met"
}

// writeVerdicts prints whether the figures meet the objectives.
func writeVerdicts(w io.Writer, r Report) {
	var all, low, high Row
	for i, row := range r.rows {
		if row.phase == spike && row.class == "all" {
			all, low, high = row, r.rows[i+1], r.rows[i+2]
		}
	}
	servedFraction := func(row Row) float64 { return float64(row.byOutcome[served]) / float64(max(1, row.offered)) }
	fmt.Fprintf(w, "\ngoodput in the spike %.3f of capacity, objective %.2f: %s\n", all.goodput, goodputObjective, verdict(all.goodput >= goodputObjective))
	fmt.Fprintf(w, "no class starved, goodput %.3f and %.3f: %s\n", low.goodput, high.goodput, verdict(low.goodput > 0 && high.goodput > 0))
	fmt.Fprintf(w, "higher class prioritized, served %.3f of %s and %.3f of %s: %s\n",
		servedFraction(high), high.class, servedFraction(low), low.class, verdict(servedFraction(high) >= servedFraction(low)))
	fmt.Fprintf(w, "added p99 at half of saturation %s ms, objective %s ms: %s\n", formatMillis(r.addedLatency.p99), formatMillis(addedLatencyObjective), verdict(r.addedLatency.p99 < addedLatencyObjective))
}

func savePlot(path, title string, reports []Report) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", "share of the slots' capacity"
	// The range above 1 is for the legend.
	p.Y.Min, p.Y.Max = 0, 1.5
	p.Legend.Top = true
	colors := []color.Color{color.RGBA{B: 200, A: 255}, color.RGBA{R: 200, A: 255}}
	for i, r := range reports {
		all, writes := make(plotter.XYs, len(r.timeline)), make(plotter.XYs, len(r.timeline))
		for j, point := range r.timeline {
			x := point.at.Seconds() + timelineStep.Seconds()/2
			all[j] = plotter.XY{X: x, Y: point.share[read] + point.share[write]}
			writes[j] = plotter.XY{X: x, Y: point.share[write]}
		}
		for j, points := range []plotter.XYs{all, writes} {
			line, err := plotter.NewLine(points)
			if err != nil {
				return fmt.Errorf("plot %s: %w", path, err)
			}
			line.Color = colors[i]
			if j > 0 {
				line.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
			}
			p.Add(line)
			p.Legend.Add(r.policy+[]string{", all", ", high class"}[j], line)
		}
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, path)
}
