package bfcommand

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"bilberryflow.org/lib/bfemulator"
)

// sweepError reports a sweep that can't be made of a load.
type sweepError struct{ Sweep, Reason string }

// Error names the sweep and the reason.
func (e *sweepError) Error() string {
	return fmt.Sprintf("sweep %q: %s; it has the form services.0.slots=8,10,12", e.Sweep, e.Reason)
}

// emulate plays a load file, once for each value of the swept field and each seed.
func (a arguments) emulate(out, progress io.Writer) error {
	data, err := os.ReadFile(a.load)
	if err != nil {
		return err
	}
	field, values, err := sweepOf(a.sweep)
	if err != nil {
		return err
	}
	rows := [][]string{bfemulator.CSVHeader}
	for _, value := range values {
		for seed := range a.runs {
			load, err := a.loadWith(data, field, value, seed)
			if err != nil {
				return err
			}
			fmt.Fprintf(progress, "playing %s%s, seed %d\n", a.load, with(field, value), load.Seed)
			report := bfemulator.Simulate(load)
			rows = append(rows, report.Rows(field, value)...)
			if len(values)*a.runs == 1 {
				report.WriteServices(progress)
			}
		}
	}
	if a.csv != "" {
		return writeCSV(a.csv, rows)
	}
	return writeTable(out, rows)
}

func with(field, value string) string {
	if field == "" {
		return ""
	}
	return " with " + field + "=" + value
}

// sweepOf takes a sweep apart; none is one value of no field.
func sweepOf(sweep string) (field string, values []string, err error) {
	if sweep == "" {
		return "", []string{""}, nil
	}
	field, list, found := strings.Cut(sweep, "=")
	if !found || field == "" || list == "" {
		return "", nil, &sweepError{sweep, "a field and its values are needed"}
	}
	return field, strings.Split(list, ","), nil
}

// loadWith reads the load with one field set, and its seed counted on.
func (a arguments) loadWith(data []byte, field, value string, seed int) (bfemulator.Load, error) {
	if field != "" {
		changed, err := setField(data, field, value)
		if err != nil {
			return bfemulator.Load{}, &sweepError{a.sweep, err.Error()}
		}
		data = changed
	}
	load, err := bfemulator.Read(data)
	load.Seed += uint64(seed)
	return load, err
}

// noFieldError reports a step of a path that leads nowhere.
type noFieldError struct{ Step string }

// Error names the step.
func (e *noFieldError) Error() string { return fmt.Sprintf("the load has no %q there", e.Step) }

// setField sets a field of a JSON document, by its path with dots between. A value that is
// no JSON of its own is a text.
func setField(data []byte, path, value string) ([]byte, error) {
	var document any
	if err := json.Unmarshal(data, &document); err != nil {
		return nil, err
	}
	var to any
	if json.Unmarshal([]byte(value), &to) != nil {
		to = value
	}
	if err := set(document, strings.Split(path, "."), to); err != nil {
		return nil, err
	}
	return json.Marshal(document)
}

func set(in any, steps []string, to any) error {
	step, last := steps[0], len(steps) == 1
	switch in := in.(type) {
	case map[string]any:
		// A field that the file leaves out may be set; the schema says if there is none.
		if last {
			in[step] = to
			return nil
		}
		return set(in[step], steps[1:], to)
	case []any:
		at, err := strconv.Atoi(step)
		if err != nil || at < 0 || at >= len(in) {
			return &noFieldError{step}
		}
		if last {
			in[at] = to
			return nil
		}
		return set(in[at], steps[1:], to)
	}
	return &noFieldError{step}
}

func writeTable(out io.Writer, rows [][]string) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}

func writeCSV(path string, rows [][]string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	err = csv.NewWriter(file).WriteAll(rows)
	if closed := file.Close(); err == nil {
		err = closed
	}
	return err
}
