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

// sweepError reports a sweep that is malformed or doesn't fit the load file.
type sweepError struct{ Sweep, Reason string }

// Error returns the sweep, the reason and the expected form.
func (e *sweepError) Error() string {
	return fmt.Sprintf("sweep %q: %s; the expected form is services.0.slots=8,10,12", e.Sweep, e.Reason)
}

// emulate simulates a load file once for each value of the swept field and each seed.
func (a arguments) emulate(out, progress io.Writer) error {
	data, err := os.ReadFile(a.load)
	if err != nil {
		return err
	}
	field, values, err := parseSweep(a.sweep)
	if err != nil {
		return err
	}
	rows := [][]string{bfemulator.CSVHeader}
	for _, value := range values {
		for seedOffset := range a.runs {
			load, err := a.readLoad(data, field, value, seedOffset)
			if err != nil {
				return err
			}
			fmt.Fprintf(progress, "simulating %s%s, seed %d\n", a.load, sweepLabel(field, value), load.Seed)
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

func sweepLabel(field, value string) string {
	if field == "" {
		return ""
	}
	return " with " + field + "=" + value
}

// parseSweep splits a sweep into its field and values. An empty sweep gives an empty field with one empty value.
func parseSweep(sweep string) (field string, values []string, err error) {
	if sweep == "" {
		return "", []string{""}, nil
	}
	field, list, found := strings.Cut(sweep, "=")
	if !found || field == "" || list == "" {
		return "", nil, &sweepError{sweep, "missing field or values"}
	}
	return field, strings.Split(list, ","), nil
}

// readLoad decodes the load with one field replaced and the seed advanced by an offset.
func (a arguments) readLoad(data []byte, field, value string, seedOffset int) (bfemulator.Load, error) {
	if field != "" {
		changed, err := setField(data, field, value)
		if err != nil {
			return bfemulator.Load{}, &sweepError{a.sweep, err.Error()}
		}
		data = changed
	}
	load, err := bfemulator.Read(data)
	load.Seed += uint64(seedOffset)
	return load, err
}

// noFieldError reports a path element that doesn't exist in the load file.
type noFieldError struct{ Element string }

// Error names the path element.
func (e *noFieldError) Error() string {
	return fmt.Sprintf("path element %q does not exist in the load", e.Element)
}

// setField sets the field of a JSON document at a dot-separated path. A value that isn't
// valid JSON is set as a string.
func setField(data []byte, path, value string) ([]byte, error) {
	var document any
	if err := json.Unmarshal(data, &document); err != nil {
		return nil, err
	}
	var decoded any
	if json.Unmarshal([]byte(value), &decoded) != nil {
		decoded = value
	}
	if err := setElement(document, strings.Split(path, "."), decoded); err != nil {
		return nil, err
	}
	return json.Marshal(document)
}

func setElement(node any, path []string, value any) error {
	element, last := path[0], len(path) == 1
	switch node := node.(type) {
	case map[string]any:
		// Fields omitted from the file may be set; the schema rejects unknown fields later.
		if last {
			node[element] = value
			return nil
		}
		return setElement(node[element], path[1:], value)
	case []any:
		index, err := strconv.Atoi(element)
		if err != nil || index < 0 || index >= len(node) {
			return &noFieldError{element}
		}
		if last {
			node[index] = value
			return nil
		}
		return setElement(node[index], path[1:], value)
	}
	return &noFieldError{element}
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
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
