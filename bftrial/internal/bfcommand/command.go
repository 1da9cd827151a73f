package bfcommand

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"bilberryflow.org/bftrial/internal/bfdemo"
	"bilberryflow.org/bftrial/internal/bfmeasure"
	"bilberryflow.org/lib/bfprogram"
)

// Exit codes of bftrial.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// arguments is the command line.
type arguments struct {
	binaries  string
	directory string
	nodes     string
	profiles  string
	idle      time.Duration
	changes   int
	objects   int
}

// Main runs one subcommand and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	a := arguments{
		binaries: "bin", directory: "docs/figures", nodes: "10,30,100,200", profiles: "convergence,bytes",
		idle: 20 * time.Second, changes: 20, objects: 100,
	}
	parser := flaggy.NewParser("bftrial")
	parser.Description = "Runs the demo and the measurements with real processes on loopback."
	parser.Version = bfprogram.Version
	parser.String(&a.binaries, "b", "binaries", "Directory of the built programs.")
	demo := flaggy.NewSubcommand("demo")
	demo.Description = "Shows the whole path and ends."
	measure := flaggy.NewSubcommand("measure")
	measure.Description = "Measures the control plane as the fleet grows, beside the baseline."
	measure.String(&a.directory, "o", "out", "Directory for control.csv and the plots.")
	measure.String(&a.nodes, "n", "nodes", "Sizes of the fleet, comma between.")
	measure.String(&a.profiles, "p", "profiles", "Profiles, comma between.")
	measure.Duration(&a.idle, "i", "idle", "Time without a change.")
	measure.Int(&a.changes, "c", "changes", "Changes to commit.")
	measure.Int(&a.objects, "j", "objects", "Routes in the configuration.")
	parser.AttachSubcommand(demo, 1)
	parser.AttachSubcommand(measure, 1)
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(errOut, "bftrial:", err)
		return exitUsage
	}
	var err error
	switch {
	case demo.Used:
		err = bfdemo.Run(a.binaries, out)
	case measure.Used:
		err = a.measure(out)
	default:
		fmt.Fprintln(errOut, "bftrial: a subcommand is needed; see --help")
		return exitUsage
	}
	if err != nil {
		fmt.Fprintln(errOut, "bftrial:", err)
		return exitFailed
	}
	return exitDone
}

// measure measures each size under each profile, one fleet after another.
func (a arguments) measure(out io.Writer) error {
	if err := os.MkdirAll(a.directory, 0o755); err != nil {
		return err
	}
	var rows []bfmeasure.Row
	for _, text := range strings.Split(a.nodes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return fmt.Errorf("nodes %q: a number above 0 is needed", text)
		}
		for _, profile := range strings.Split(a.profiles, ",") {
			row, err := bfmeasure.Run(bfmeasure.Options{
				Binaries: a.binaries, Nodes: n, Profile: profile,
				Idle: a.idle, Changes: a.changes, Objects: a.objects,
			}, out)
			if err != nil {
				return fmt.Errorf("%d nodes, profile %s: %w", n, profile, err)
			}
			rows = append(rows, row)
			// What is measured is kept, whatever happens to the next fleet.
			if err := bfmeasure.Report(a.directory, rows); err != nil {
				return err
			}
		}
	}
	return bfmeasure.WriteCSV(out, rows)
}
