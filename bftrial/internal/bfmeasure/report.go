package bfmeasure

import (
	"encoding/csv"
	"errors"
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// column is one column of the CSV file.
type column struct {
	name  string
	value func(Row) string
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'f', 2, 64) }

var columns = []column{
	{"nodes", func(r Row) string { return strconv.Itoa(r.Nodes) }},
	{"profile", func(r Row) string { return r.Profile }},
	{"converge_p50_ms", func(r Row) string { return formatNumber(r.ConvergeP50.Seconds() * 1000) }},
	{"converge_p99_ms", func(r Row) string { return formatNumber(r.ConvergeP99.Seconds() * 1000) }},
	{"converge_max_ms", func(r Row) string { return formatNumber(r.ConvergeMax.Seconds() * 1000) }},
	{"idle_bytes_per_s", func(r Row) string { return formatNumber(r.IdleBytes) }},
	{"idle_members_per_s", func(r Row) string { return formatNumber(r.IdleMembers) }},
	{"idle_repair_per_s", func(r Row) string { return formatNumber(r.IdleRepair) }},
	{"idle_witness_per_s", func(r Row) string { return formatNumber(r.IdleWitness) }},
	{"idle_max_bytes_per_s", func(r Row) string { return formatNumber(r.MaxIdleBytes) }},
	{"change_bytes_received", func(r Row) string { return formatNumber(r.ChangeBytes) }},
	{"change_bytes_witness", func(r Row) string { return formatNumber(r.WitnessBytes) }},
	{"delta_bytes", func(r Row) string { return formatNumber(r.DeltaBytes) }},
	{"table_reads_per_s", func(r Row) string { return formatNumber(r.TableReads) }},
	{"cpu_percent_of_core", func(r Row) string { return formatNumber(r.CPU * 100) }},
	{"memory_mb", func(r Row) string { return formatNumber(r.Memory / (1 << 20)) }},
	{"rejoin_ms", func(r Row) string { return formatNumber(r.Rejoin.Seconds() * 1000) }},
	{"baseline_converge_max_ms", func(r Row) string { return formatNumber(r.BaseConvergeMax.Seconds() * 1000) }},
	{"baseline_bytes_per_s", func(r Row) string { return formatNumber(r.BaseBytes) }},
	{"baseline_reads_per_s", func(r Row) string { return formatNumber(r.BaseReads) }},
	{"baseline_failed_polls", func(r Row) string { return strconv.FormatInt(r.BaseFailed, 10) }},
}

// WriteCSV writes a header and the rows as CSV.
func WriteCSV(w io.Writer, rows []Row) error {
	out := csv.NewWriter(w)
	var header []string
	for _, c := range columns {
		header = append(header, c.name)
	}
	if err := out.Write(header); err != nil {
		return err
	}
	for _, row := range rows {
		var fields []string
		for _, c := range columns {
			fields = append(fields, c.value(row))
		}
		if err := out.Write(fields); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

// Report writes the rows as control.csv and as plots to a directory.
func Report(directory string, rows []Row) error {
	if err := writeCSVFile(filepath.Join(directory, "control.csv"), rows); err != nil {
		return err
	}
	err := savePlot(filepath.Join(directory, "convergence.png"), "Convergence time, last node", "ms", rows,
		func(r Row) float64 { return r.ConvergeMax.Seconds() * 1000 },
		func(r Row) float64 { return r.BaseConvergeMax.Seconds() * 1000 })
	if err != nil {
		return err
	}
	return savePlot(filepath.Join(directory, "bytes.png"), "Control bytes sent by a node, idle", "B/s", rows,
		func(r Row) float64 { return r.IdleBytes }, func(r Row) float64 { return r.BaseBytes })
}

func writeCSVFile(path string, rows []Row) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(WriteCSV(file, rows), file.Close())
}

// savePlot plots one figure over the fleet size, for each profile and its baseline.
func savePlot(path, title, unit string, rows []Row, measured, baseline func(Row) float64) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "nodes", unit
	p.Legend.Top, p.Legend.Left = true, true
	series := map[string]plotter.XYs{}
	var names []string
	add := func(name string, row Row, y float64) {
		if _, found := series[name]; !found {
			names = append(names, name)
		}
		series[name] = append(series[name], plotter.XY{X: float64(row.Nodes), Y: y})
	}
	for _, row := range rows {
		add(row.Profile, row, measured(row))
		add("baseline beside "+row.Profile, row, baseline(row))
	}
	colors := []color.Color{color.RGBA{B: 200, A: 255}, color.RGBA{R: 200, A: 255}, color.RGBA{G: 140, A: 255}, color.Gray{Y: 120}}
	for i, name := range names {
		line, points, err := plotter.NewLinePoints(series[name])
		if err != nil {
			return fmt.Errorf("plot %s: %w", path, err)
		}
		line.Color, points.Color, points.Shape = colors[i%len(colors)], colors[i%len(colors)], draw.CircleGlyph{}
		p.Add(line, points)
		p.Legend.Add(name, line, points)
	}
	// Leaves space for the legend above the highest line.
	const headroom = 1.3
	p.Y.Min, p.Y.Max = 0, p.Y.Max*headroom
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, path)
}
