package bfcommand

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"bilberryflow.org/bftrial/internal/bfdemo"
	"bilberryflow.org/bftrial/internal/bfmeasure"
	"bilberryflow.org/bftrial/internal/bfsoak"
	"bilberryflow.org/bftrial/internal/bfspike"
	"bilberryflow.org/lib/bfprogram"
)

// Exit codes of bftrial.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// arguments holds the parsed flags of all subcommands.
type arguments struct {
	binaries  string
	directory string
	nodes     string
	profiles  string
	idle      time.Duration
	changes   int
	objects   int
	shape     string
	fault     string
	seconds   int
	service   time.Duration
	seed      int
	runs      int
	only      string
	limits    bool
	keys      bool
	departing bool
	fleet     int
	domains   int
	targets   int
	perSecond float64
	burst     float64
	load      string
	sweep     string
	csv       string
}

// Main runs one subcommand and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	a := arguments{
		binaries: "bin", directory: "docs/figures", nodes: "10,30,100,200", profiles: "convergence,bytes",
		idle: 20 * time.Second, changes: 20, objects: 100,
		shape: "vienna", fault: "none", seconds: 10, seed: 1, runs: 1, fleet: 4, service: 200 * time.Millisecond,
		domains: 4, targets: 1, perSecond: 150, load: "bftrial/loads/shedding.json",
	}
	parser := flaggy.NewParser("bftrial")
	parser.Description = "Runs the demo and the measurements with real processes on loopback."
	parser.Version = bfprogram.Version
	parser.String(&a.binaries, "b", "binaries", "Directory of the built programs.")
	demo := flaggy.NewSubcommand("demo")
	demo.Description = "Runs configuration changes and requests through a small fleet and exits."
	measure := flaggy.NewSubcommand("measure")
	measure.Description = "Measures the control plane at several fleet sizes, next to a polling baseline."
	measure.String(&a.directory, "o", "out", "Directory for control.csv and the plots.")
	measure.String(&a.nodes, "n", "nodes", "Fleet sizes, comma-separated.")
	measure.String(&a.profiles, "p", "profiles", "Profiles, comma-separated.")
	measure.Duration(&a.idle, "i", "idle", "Length of the idle measurement.")
	measure.Int(&a.changes, "c", "changes", "Number of changes to commit.")
	measure.Int(&a.objects, "j", "objects", "Number of routes in the configuration.")
	spike := flaggy.NewSubcommand("spike")
	spike.Description = "Measures the request policy under a load spike, next to callers without any policy."
	spike.String(&a.directory, "o", "out", "Directory for the CSV and the plot.")
	spike.String(&a.shape, "s", "shape", "Shape of the fleet: vienna or hobart.")
	spike.String(&a.fault, "f", "fault", "Fault of one target during the spike: none, lost, slow or lying.")
	spike.Int(&a.seconds, "t", "seconds", "Length of the spike, in seconds; the run lasts about eight times as long.")
	spike.Duration(&a.service, "w", "service-time", "Mean service time of a request at a target.")
	soak := flaggy.NewSubcommand("soak")
	soak.Description = "Injects faults into real processes in a seeded random order and checks the results seen by callers and targets."
	soak.Int(&a.seed, "e", "seed", "First seed.")
	soak.Int(&a.runs, "r", "runs", "Number of consecutive seeds to run.")
	soak.Int(&a.seconds, "t", "seconds", "Length of the fault injection, in seconds.")
	soak.Int(&a.fleet, "n", "nodes", "Number of nodes.")
	soak.Bool(&a.limits, "l", "limits", "Also have targets name limits, and that they leave, in their answers.")
	soak.Bool(&a.keys, "w", "workspaces", "Also have workspaces with API keys and limits, which an operator changes.")
	soak.Bool(&a.departing, "d", "departures", "Also have targets depart and serve on, with heartbeats that arrive late.")
	soak.String(&a.only, "o", "only", "Name of a single scenario to run instead of random faults.")
	replay := flaggy.NewSubcommand("replay")
	replay.Description = "Replays a load through the admission and routing code in simulated time, with the same arrivals for each variant."
	replay.Int(&a.seed, "e", "seed", "Seed of the arrivals.")
	replay.Int(&a.domains, "d", "domains", "Number of failure domains.")
	replay.Int(&a.targets, "n", "targets", "Number of targets in each domain.")
	replay.Float64(&a.perSecond, "q", "per-second", "Requests per second.")
	replay.Float64(&a.burst, "x", "burst", "Factor of the request rate in the middle third, 0 for no burst.")
	replay.Int(&a.seconds, "t", "seconds", "Length of the load, in seconds.")
	replay.Duration(&a.service, "w", "service-time", "Mean service time of a request at a target.")
	emulate := flaggy.NewSubcommand("emulate")
	emulate.Description = "Simulates a load file on a whole fleet: nested calls, faults and the retry budget."
	emulate.String(&a.load, "l", "load", "Load file; see bftrial/loads.")
	emulate.String(&a.sweep, "s", "sweep", "Field and values to vary, such as services.0.slots=8,10,12.")
	emulate.Int(&a.runs, "r", "runs", "Number of consecutive seeds to run.")
	emulate.String(&a.csv, "c", "csv", "CSV file for the table; standard output if empty.")
	parser.AttachSubcommand(emulate, 1)
	parser.AttachSubcommand(demo, 1)
	parser.AttachSubcommand(replay, 1)
	parser.AttachSubcommand(soak, 1)
	parser.AttachSubcommand(spike, 1)
	parser.AttachSubcommand(measure, 1)
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(errOut, "bftrial:", err)
		return exitUsage
	}
	var err error
	switch {
	case demo.Used:
		err = bfdemo.Run(a.binaries, out)
	case emulate.Used:
		err = a.emulate(out, errOut)
	case replay.Used:
		err = a.replay(out)
	case soak.Used:
		err = a.soak(out)
	case measure.Used:
		err = a.measure(out)
	case spike.Used:
		err = bfspike.Run(bfspike.Options{
			Binaries: a.binaries, Shape: a.shape, Fault: a.fault, Out: a.directory,
			Spike: time.Duration(a.seconds) * time.Second, ServiceTime: a.service,
		}, out)
	default:
		fmt.Fprintln(errOut, "bftrial: missing subcommand; see --help")
		return exitUsage
	}
	if err != nil {
		fmt.Fprintln(errOut, "bftrial:", err)
		return exitFailed
	}
	return exitDone
}

// soak runs consecutive seeds until one reports a violation.
func (a arguments) soak(out io.Writer) error {
	for seed := a.seed; seed < a.seed+a.runs; seed++ {
		var log bytes.Buffer
		violations, err := bfsoak.Run(bfsoak.Options{
			Binaries: a.binaries, Seed: uint64(seed), Nodes: a.fleet, Callers: 4 * a.fleet,
			Faults: time.Duration(a.seconds) * time.Second, Crashing: true, Limits: a.limits, Workspaces: a.keys, Departures: a.departing, Only: a.only,
		}, &log)
		if err != nil || len(violations) > 0 {
			fmt.Fprint(out, log.String())
			return errors.Join(err, &soakError{seed, violations})
		}
		fmt.Fprintf(out, "seed %d: no violations; %s", seed, lastLine(log.String()))
	}
	return nil
}

// soakError reports the violations found with a seed.
type soakError struct {
	seed       int
	violations []string
}

// Error lists the seed and its violations.
func (e *soakError) Error() string {
	return fmt.Sprintf("seed %d: %s", e.seed, strings.Join(e.violations, "\n"))
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1] + "\n"
}

// measure measures each fleet size with each profile, one fleet after another.
func (a arguments) measure(out io.Writer) error {
	if err := os.MkdirAll(a.directory, 0o755); err != nil {
		return err
	}
	var rows []bfmeasure.Row
	for _, text := range strings.Split(a.nodes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return fmt.Errorf("invalid number of nodes %q: must be a positive integer", text)
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
			// Written after each fleet, so that a later failure loses no results.
			if err := bfmeasure.Report(a.directory, rows); err != nil {
				return err
			}
		}
	}
	return bfmeasure.WriteCSV(out, rows)
}
