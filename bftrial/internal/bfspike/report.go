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

func share(f float64) string { return strconv.FormatFloat(f, 'f', 3, 64) }

func ms(d time.Duration) string { return strconv.FormatFloat(d.Seconds()*1000, 'f', 2, 64) }

var header = []string{
	"policy", "phase", "class", "offered", "served", "served_on_return", "late", "refused", "unknown", "failed", "dropped",
	"return_after_run", "goodput_of_capacity", "served_p50_ms", "served_p99_ms", "served_p999_ms",
	"told_p50_ms", "told_p99_ms", "machine_busy",
}

func (r Report) fields(row Row) []string {
	n := strconv.Itoa
	return []string{
		r.policy, row.phase.String(), row.class, n(row.offered), n(row.ends[served]), n(row.servedAgain), n(row.ends[late]),
		n(row.ends[refused]), n(row.ends[unknown]), n(row.ends[failed]), n(row.ends[dropped]),
		n(row.noReturn), share(row.goodput), ms(row.served.p50), ms(row.served.p99), ms(row.served.p999),
		ms(row.told.p50), ms(row.told.p99), share(r.busy[row.phase]),
	}
}

// write writes the CSV and the plot, and a summary to the terminal.
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
	judge(t.out, reports[0])
	return draw(name+".png", fmt.Sprintf("%s, fault %s: served in time", t.shape.name, t.fault), reports)
}

func writeCSV(path string, lines [][]string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(csv.NewWriter(file).WriteAll(lines), file.Close())
}

// table has a line for each class in each phase of each policy.
func table(reports []Report) [][]string {
	lines := [][]string{header}
	for _, r := range reports {
		for _, row := range r.rows {
			lines = append(lines, r.fields(row))
		}
	}
	return lines
}

// timelineTable has a line for each second of each policy.
func timelineTable(reports []Report) [][]string {
	lines := [][]string{{"policy", "second", "came_first", "served_of_those", "came_again", "goodput_read", "goodput_write", "served_p99_ms"}}
	n := strconv.Itoa
	for _, r := range reports {
		for _, p := range r.timeline {
			lines = append(lines, []string{
				r.policy, n(int(p.at / bin)), n(p.first), n(p.firstServed), n(p.comers), share(p.share[read]), share(p.share[write]), ms(p.p99),
			})
		}
	}
	return lines
}

func (r Report) summary(w io.Writer) {
	fmt.Fprintf(w, "\n%s: load maker late p50 %s p99 %s ms; beyond the target's own time, before: p50 %s p99 %s p99.9 %s ms\n",
		r.policy, ms(r.lag.p50), ms(r.lag.p99), ms(r.added.p50), ms(r.added.p99), ms(r.added.p999))
	fmt.Fprintf(w, "  runs %d, wasted %d (%.1f %%), writes run more than once %d\n",
		r.runs, r.wasted, 100*float64(r.wasted)/float64(max(1, r.runs)), r.repeated)
	fmt.Fprintf(w, "  look-ups served in the spike: Jain's index over tenants %.3f, the flooding tenant's share %.3f\n", r.fairness, r.flood)
	fmt.Fprintf(w, "  after the spike goodput is back in %s, with p99 in %s\n", recovered(r.goodputBack), recovered(r.latencyBack))
}

func recovered(d time.Duration) string {
	if d < 0 {
		return "not in the run"
	}
	return d.String()
}

// Aims of the request policy.
const (
	goodputAim = 0.95
	addedAim   = 1100 * time.Microsecond
)

func verdict(holds bool) string {
	if holds {
		return "holds"
	}
	return "does not hold"
}

// judge compares the figures with the aims.
func judge(w io.Writer, r Report) {
	var all, low, high Row
	for i, row := range r.rows {
		if row.phase == spike && row.class == "all" {
			all, low, high = row, r.rows[i+1], r.rows[i+2]
		}
	}
	part := func(row Row) float64 { return float64(row.ends[served]) / float64(max(1, row.offered)) }
	fmt.Fprintf(w, "\ngoodput in the spike %.3f of capacity, aim %.2f: %s\n", all.goodput, goodputAim, verdict(all.goodput >= goodputAim))
	fmt.Fprintf(w, "no class starved, goodput %.3f and %.3f: %s\n", low.goodput, high.goodput, verdict(low.goodput > 0 && high.goodput > 0))
	fmt.Fprintf(w, "higher class first, served %.3f of %s and %.3f of %s: %s\n",
		part(high), high.class, part(low), low.class, verdict(part(high) >= part(low)))
	fmt.Fprintf(w, "p99 added at half of saturation %s ms, aim %s: %s\n", ms(r.added.p99), ms(addedAim), verdict(r.added.p99 < addedAim))
}

func draw(path, title string, reports []Report) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", "share of the slots' capacity"
	// The legend has the part above.
	p.Y.Min, p.Y.Max = 0, 1.5
	p.Legend.Top = true
	colors := []color.Color{color.RGBA{B: 200, A: 255}, color.RGBA{R: 200, A: 255}}
	for i, r := range reports {
		all, writes := make(plotter.XYs, len(r.timeline)), make(plotter.XYs, len(r.timeline))
		for j, point := range r.timeline {
			x := point.at.Seconds() + bin.Seconds()/2
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
