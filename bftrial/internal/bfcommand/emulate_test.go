package bfcommand

import (
	"bytes"
	"encoding/csv"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const loads = "../../loads"

// A sweep simulates the load for each value and each seed, and labels its rows with both.
func TestSweepOfALoad(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "table.csv")
	var out, progress bytes.Buffer
	code := Main([]string{"emulate", "--load", filepath.Join(loads, "crash.json"), "--sweep", "faults.1.share=0.1,0.4", "--runs", "2", "--csv", path}, &out, &progress)
	is.Equal(code, exitDone) // progress
	is.Equal(strings.Count(progress.String(), "simulating"), 4)
	data, err := os.ReadFile(path)
	is.NoErr(err)
	rows, err := csv.NewReader(bytes.NewReader(data)).ReadAll()
	is.NoErr(err)
	is.Equal(len(rows), 1+4*2) // two classes have callers
	is.Equal(rows[1][:4], []string{"faults.1.share", "0.1", "1", "look-up"})
	is.Equal(rows[8][:4], []string{"faults.1.share", "0.4", "2", "approval"})
}

// An invalid sweep or load file is reported as an error, and nothing is simulated.
func TestWrongSweeps(t *testing.T) {
	is := is.New(t)
	for sweep, reason := range map[string]string{
		"services.0.slots":       "missing field or values",
		"services.9.slots=1":     `path element "9" does not exist`,
		"services.0.slots=ten":   "/services/0/slots",
		"services.0.slot=10":     "additional properties 'slot'",
		"length.x=1":             `path element "x" does not exist`,
		"classes.0.service=none": `"none" is none of the services`,
	} {
		var out, errOut bytes.Buffer
		code := Main([]string{"emulate", "--load", filepath.Join(loads, "crash.json"), "--sweep", sweep}, &out, &errOut)
		is.Equal(code, exitFailed)
		is.True(strings.Contains(errOut.String(), reason)) // sweep
		is.Equal(out.String(), "")
	}
	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"emulate", "--load", "nowhere.json"}, &out, &errOut), exitFailed)
}
