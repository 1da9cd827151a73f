package bfmeasure

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"bilberryflow.org/bftrial/internal/bffleet"
	"bilberryflow.org/lib/bfcommit"
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bftable"
)

// Options configures one measurement.
type Options struct {
	Binaries string
	Nodes    int
	Profile  string
	// Idle is the length of the measurement without changes.
	Idle time.Duration
	// Changes is the number of changes committed one after another.
	Changes int
	// Objects is the number of routes in the initial configuration.
	Objects int
}

// Number of failure domains and regions of the measured fleet.
const (
	domains = 6
	regions = 2
)

// Row holds the figures of one fleet.
type Row struct {
	Nodes   int
	Profile string
	// Converge are percentiles of the changes' convergence times, from the confirm's response to the last node.
	ConvergeP50, ConvergeP99, ConvergeMax time.Duration
	// IdleBytes is the control traffic sent by a node while idle, in bytes per second: the mean in
	// total and by purpose, and the maximum over nodes.
	IdleBytes    float64
	IdleMembers  float64
	IdleRepair   float64
	IdleWitness  float64
	MaxIdleBytes float64
	// ChangeBytes is the version traffic received by a node per change, WitnessBytes the witness
	// traffic sent beyond the idle rate, and DeltaBytes the encoded size of a change.
	ChangeBytes, WitnessBytes, DeltaBytes float64
	// TableReads is the fleet's table reads per second while idle.
	TableReads float64
	// CPU is the mean fraction of one core that a node uses while idle.
	CPU float64
	// Memory is the mean resident memory of a node, in bytes.
	Memory float64
	// Rejoin is the time until half of a failure domain, killed and restarted at once, has the
	// newest version in force again.
	Rejoin time.Duration
	// Figures of the baseline in the same run.
	BaseConvergeMax time.Duration
	BaseBytes       float64
	BaseReads       float64
	BaseFailed      int64
}

// run is one fleet being measured.
type run struct {
	options  Options
	fleet    *bffleet.Fleet
	operator *operator
	out      io.Writer
	row      Row
	version  bfconfig.Version
}

// Run measures one fleet and stops all processes that it started.
func Run(options Options, out io.Writer) (row Row, err error) {
	fleet, err := bffleet.New(options.Binaries)
	if err != nil {
		return Row{}, err
	}
	r := &run{options: options, fleet: fleet, out: out, row: Row{Nodes: options.Nodes, Profile: options.Profile}}
	defer func() {
		if closeErr := fleet.Close(); err == nil {
			err = closeErr
		}
	}()
	for _, step := range []func() error{r.start, r.configure, r.measureIdle, r.measureChanges, r.measureRejoin} {
		if err := step(); err != nil {
			return Row{}, err
		}
	}
	return r.row, nil
}

const (
	startLimit = 2 * time.Minute
	// seedCount is the number of nodes that serve as seeds for the others.
	seedCount = 3
)

func (r *run) start() error {
	if err := r.fleet.StartPlatform(bffleet.PlatformSettings{}); err != nil {
		return err
	}
	// Limits the threads of each process, as the whole fleet shares one machine.
	r.fleet.AddEnvironment("GOMAXPROCS=2")
	var seeds []string
	for i := range r.options.Nodes {
		domain := i % domains
		node, err := r.fleet.StartNode(bffleet.NodeSettings{
			Instance: fmt.Sprintf("n%04d", i), Region: fmt.Sprintf("r%d", domain%regions),
			FailureDomain: fmt.Sprintf("d%d", domain), Profile: r.options.Profile, Seeds: seeds,
		})
		if err != nil {
			return err
		}
		if len(seeds) < seedCount {
			seeds = append(seeds, node.Settings().Listen.Peer)
		}
	}
	if err := r.fleet.AwaitNodes(); err != nil {
		return err
	}
	r.operator = newOperator(r.fleet.Nodes()[0])
	started := time.Now()
	err := r.fleet.AwaitMembers(startLimit)
	fmt.Fprintf(r.out, "%d nodes have complete member lists %v after the last start\n", r.options.Nodes, time.Since(started).Round(time.Millisecond))
	return err
}

// configure commits the initial configuration with Options.Objects routes.
func (r *run) configure() error {
	var text strings.Builder
	text.WriteString("create service core slots 12; create policy look class look idempotent deadline 2s queue 50; ")
	text.WriteString("create policy other class look idempotent deadline 3s queue 50")
	for i := range r.options.Objects {
		fmt.Fprintf(&text, "; create route r%d prefix \"/r/%d\" service core policy look", i, i)
	}
	if _, err := r.operator.commit("base", text.String()); err != nil {
		return err
	}
	r.version = 1
	return r.fleet.AwaitVersion(1, startLimit)
}

// sample holds the counters of all nodes at one time.
type sample struct {
	at      time.Time
	metrics []map[string]any
	usage   []usage
	reads   float64
}

func (r *run) sample() (sample, error) {
	s := sample{at: time.Now()}
	for _, node := range r.fleet.Nodes() {
		metrics, err := r.fleet.Metrics(node)
		if err != nil {
			return sample{}, err
		}
		used, err := usageOf(node.ID())
		if err != nil {
			return sample{}, err
		}
		s.metrics, s.usage = append(s.metrics, metrics), append(s.usage, used)
	}
	platform, err := r.fleet.PlatformMetrics()
	s.reads = bffleet.MetricValue(platform, "reads")
	return s, err
}

// increaseSince returns the increase of the sum of counters since before: the mean and the maximum over nodes.
func (s sample) increaseSince(before sample, names ...string) (mean, maximum float64) {
	for i := range s.metrics {
		sum := 0.0
		for _, name := range names {
			sum += bffleet.MetricValue(s.metrics[i], name) - bffleet.MetricValue(before.metrics[i], name)
		}
		mean += sum / float64(len(s.metrics))
		maximum = max(maximum, sum)
	}
	return mean, maximum
}

var purposes = []string{"membership", "versions", "repair", "snapshots", "witness", "operators", "requests"}

func sentBytesMetrics(purposes ...string) []string {
	var names []string
	for _, p := range purposes {
		names = append(names, "control_sent_bytes_"+p)
	}
	return names
}

func (r *run) measureIdle() error {
	const settle = 10 * time.Second
	time.Sleep(settle)
	before, err := r.sample()
	if err != nil {
		return err
	}
	time.Sleep(r.options.Idle)
	after, err := r.sample()
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	mean, maximum := after.increaseSince(before, sentBytesMetrics(purposes...)...)
	r.row.IdleBytes, r.row.MaxIdleBytes = mean/seconds, maximum/seconds
	members, _ := after.increaseSince(before, sentBytesMetrics("membership")...)
	repair, _ := after.increaseSince(before, sentBytesMetrics("repair")...)
	witness, _ := after.increaseSince(before, sentBytesMetrics("witness")...)
	r.row.IdleMembers, r.row.IdleRepair, r.row.IdleWitness = members/seconds, repair/seconds, witness/seconds
	r.row.TableReads = (after.reads - before.reads) / seconds
	for i := range after.usage {
		r.row.CPU += (after.usage[i].cpu - before.usage[i].cpu).Seconds() / seconds / float64(len(after.usage))
		r.row.Memory += float64(after.usage[i].memory) / float64(len(after.usage))
	}
	return nil
}

func (r *run) measureChanges() error {
	polling := startBaseline(r.fleet.PlatformURL(), r.options.Nodes)
	pollingStart, readsBefore := time.Now(), polling.metrics.Counter("table_reads").Value()
	before, err := r.sample()
	if err != nil {
		return err
	}
	var converge, pollingConverge []time.Duration
	for i := range r.options.Changes {
		policy := []string{"other", "look"}[i%2]
		answered, err := r.operator.commit(fmt.Sprintf("c%d", i), fmt.Sprintf("change route r0 policy %s", policy))
		if err != nil {
			return err
		}
		r.version++
		if err := r.fleet.AwaitVersion(int(r.version), startLimit); err != nil {
			return err
		}
		times, err := r.inForceTimes()
		if err != nil {
			return err
		}
		converge = append(converge, timeToLatest(answered, times))
		time.Sleep(2 * baselineInterval)
		pollingConverge = append(pollingConverge, timeToLatest(answered, polling.timesReached(r.version)))
	}
	after, err := r.sample()
	if err != nil {
		return err
	}
	if err := r.recordChanges(before, after, converge); err != nil {
		return err
	}
	seconds := time.Since(pollingStart).Seconds()
	r.row.BaseConvergeMax = slices.Max(pollingConverge)
	r.row.BaseBytes = float64(polling.bytes.Load()) / seconds / float64(r.options.Nodes)
	r.row.BaseReads = float64(polling.metrics.Counter("table_reads").Value()-readsBefore) / seconds
	r.row.BaseFailed = polling.failed.Load()
	return polling.stop()
}

func (r *run) recordChanges(before, after sample, converge []time.Duration) error {
	slices.Sort(converge)
	r.row.ConvergeP50 = converge[len(converge)/2]
	r.row.ConvergeP99 = converge[len(converge)*99/100]
	r.row.ConvergeMax = converge[len(converge)-1]
	changes := float64(r.options.Changes)
	received, _ := after.increaseSince(before, "control_received_bytes_versions")
	witness, _ := after.increaseSince(before, sentBytesMetrics("witness")...)
	r.row.ChangeBytes = received / changes
	r.row.WitnessBytes = witness/changes - r.row.IdleWitness*after.at.Sub(before.at).Seconds()/changes
	var err error
	r.row.DeltaBytes, err = r.deltaBytes()
	return err
}

// deltaBytes returns the mean encoded size of the measured changes in the table.
func (r *run) deltaBytes() (float64, error) {
	const timeout = 5 * time.Second
	table := bftable.New(r.fleet.PlatformURL(), timeout, bfmetric.New())
	defer table.Close()
	from, to := bfcommit.VersionRange(2, r.version)
	rows, err := table.Range(context.Background(), from, to, r.options.Changes)
	if err != nil || len(rows) == 0 {
		return 0, err
	}
	size := 0
	for _, row := range rows {
		size += len(row.Value)
	}
	return float64(size) / float64(len(rows)), nil
}

func (r *run) inForceTimes() ([]time.Time, error) {
	var times []time.Time
	for _, node := range r.fleet.Nodes() {
		metrics, err := r.fleet.Metrics(node)
		if err != nil {
			return nil, err
		}
		times = append(times, time.UnixMicro(int64(bffleet.MetricValue(metrics, "config_in_force_since_us"))))
	}
	return times, nil
}

// timeToLatest returns the duration from start to the latest time, or 0 if all are earlier.
func timeToLatest(start time.Time, times []time.Time) time.Duration {
	var longest time.Duration
	for _, t := range times {
		longest = max(longest, t.Sub(start))
	}
	return longest
}

// measureRejoin kills and restarts half of a failure domain at once, and measures the time to the newest version.
func (r *run) measureRejoin() error {
	var group []*bffleet.Node
	for i, node := range r.fleet.Nodes() {
		if i%domains == 1 && (i/domains)%2 == 0 {
			group = append(group, node)
		}
	}
	for _, node := range group {
		if err := node.Kill(); err != nil {
			return err
		}
	}
	start := time.Now()
	for _, node := range group {
		if err := r.fleet.RestartNode(node); err != nil {
			return err
		}
	}
	if err := r.fleet.AwaitNodes(); err != nil {
		return err
	}
	if err := r.fleet.AwaitVersion(int(r.version), startLimit); err != nil {
		return err
	}
	times, err := r.inForceTimes()
	if err != nil {
		return err
	}
	r.row.Rejoin = timeToLatest(start, times)
	return nil
}
