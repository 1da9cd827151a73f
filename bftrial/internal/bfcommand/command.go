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

// arguments is the command line.
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
	demo.Description = "Shows the whole path and ends."
	measure := flaggy.NewSubcommand("measure")
	measure.Description = "Measures the control plane as the fleet grows, beside the baseline."
	measure.String(&a.directory, "o", "out", "Directory for control.csv and the plots.")
	measure.String(&a.nodes, "n", "nodes", "Sizes of the fleet, comma between.")
	measure.String(&a.profiles, "p", "profiles", "Profiles, comma between.")
	measure.Duration(&a.idle, "i", "idle", "Time without a change.")
	measure.Int(&a.changes, "c", "changes", "Changes to commit.")
	measure.Int(&a.objects, "j", "objects", "Routes in the configuration.")
	spike := flaggy.NewSubcommand("spike")
	spike.Description = "Measures the request policy at an event's start, beside callers without any."
	spike.String(&a.directory, "o", "out", "Directory for the CSV and the plot.")
	spike.String(&a.shape, "s", "shape", "Shape of the fleet: vienna or hobart.")
	spike.String(&a.fault, "f", "fault", "Fault of one target in the spike: none, lost, slow or lying.")
	spike.Int(&a.seconds, "t", "seconds", "Length of the spike; the run lasts about eight times as long.")
	spike.Duration(&a.service, "w", "service-time", "Mean time of a request at a target.")
	soak := flaggy.NewSubcommand("soak")
	soak.Description = "Injects faults into real processes in an order drawn from a seed, and checks what callers and targets see."
	soak.Int(&a.seed, "e", "seed", "First seed.")
	soak.Int(&a.runs, "r", "runs", "How many seeds, one after another.")
	soak.Int(&a.seconds, "t", "seconds", "How long faults are injected.")
	soak.Int(&a.fleet, "n", "nodes", "Nodes of the fleet.")
	soak.String(&a.only, "o", "only", "Name of the scenario that is played in place of faults that are drawn.")
	replay := flaggy.NewSubcommand("replay")
	replay.Description = "Replays a load through the decisions in simulated time, each way of deciding on the same callers."
	replay.Int(&a.seed, "e", "seed", "Seed of the callers.")
	replay.Int(&a.domains, "d", "domains", "Failure domains.")
	replay.Int(&a.targets, "n", "targets", "Targets in each domain.")
	replay.Float64(&a.perSecond, "q", "per-second", "Requests in a second.")
	replay.Float64(&a.burst, "x", "burst", "How many times as many come in the middle third, 0 for no burst.")
	replay.Int(&a.seconds, "t", "seconds", "How long callers come.")
	replay.Duration(&a.service, "w", "service-time", "Mean time of a request at a target.")
	emulate := flaggy.NewSubcommand("emulate")
	emulate.Description = "Plays a load file on a whole fleet in simulated time: nested calls, faults, the budget of repeats."
	emulate.String(&a.load, "l", "load", "Load file; see bftrial/loads.")
	emulate.String(&a.sweep, "s", "sweep", "Field and values to play it with, as services.0.slots=8,10,12.")
	emulate.Int(&a.runs, "r", "runs", "How many seeds, one after another.")
	emulate.String(&a.csv, "c", "csv", "File for the table, instead of the output.")
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
		fmt.Fprintln(errOut, "bftrial: a subcommand is needed; see --help")
		return exitUsage
	}
	if err != nil {
		fmt.Fprintln(errOut, "bftrial:", err)
		return exitFailed
	}
	return exitDone
}

// soak plays seeds until one breaks a promise.
func (a arguments) soak(out io.Writer) error {
	for seed := a.seed; seed < a.seed+a.runs; seed++ {
		var log bytes.Buffer
		violations, err := bfsoak.Run(bfsoak.Options{
			Binaries: a.binaries, Seed: uint64(seed), Nodes: a.fleet, Callers: 4 * a.fleet,
			Faults: time.Duration(a.seconds) * time.Second, Crashing: true, Only: a.only,
		}, &log)
		if err != nil || len(violations) > 0 {
			fmt.Fprint(out, log.String())
			return errors.Join(err, &soakError{seed, violations})
		}
		fmt.Fprintf(out, "seed %d: every promise held; %s", seed, lastLine(log.String()))
	}
	return nil
}

// soakError reports the promises that a seed broke.
type soakError struct {
	seed       int
	violations []string
}

// Error names the seed and what broke.
func (e *soakError) Error() string {
	return fmt.Sprintf("seed %d: %s", e.seed, strings.Join(e.violations, "\n"))
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1] + "\n"
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
