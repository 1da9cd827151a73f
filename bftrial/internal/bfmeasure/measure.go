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

// Options of one measurement.
type Options struct {
	Binaries string
	Nodes    int
	Profile  string
	// Idle is how long the fleet is watched without a change.
	Idle time.Duration
	// Changes is how many changes are committed, one after another.
	Changes int
	// Objects is how many routes the configuration has before.
	Objects int
}

// Shape of the measured fleet: domains over regions.
const (
	domains = 6
	regions = 2
)

// Row is one fleet's figures.
type Row struct {
	Nodes   int
	Profile string
	// Converge are convergence times of the changes, from the confirm's answer to the last node.
	ConvergeP50, ConvergeP99, ConvergeMax time.Duration
	// IdleBytes is control bytes sent by a node a second without a change, by purpose.
	IdleBytes    float64
	IdleMembers  float64
	IdleRepair   float64
	IdleWitness  float64
	MaxIdleBytes float64
	// ChangeBytes is version bytes received by a node for a change, and DeltaBytes the change's own size.
	ChangeBytes, WitnessBytes, DeltaBytes float64
	// TableReads is reads of the fleet a second without a change.
	TableReads float64
	// CPU is the share of one core a node uses without a change.
	CPU float64
	// Memory is a node's resident bytes, on average.
	Memory float64
	// Rejoin is how long half of a domain, killed and started at once, takes to be in force again.
	Rejoin time.Duration
	// Baseline's figures from the same run.
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

// Run measures one fleet.
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
	for _, part := range []func() error{r.start, r.configure, r.idle, r.change, r.rejoin} {
		if err := part(); err != nil {
			return Row{}, err
		}
	}
	return r.row, nil
}

const (
	startLimit = 2 * time.Minute
	// seedCount is how many nodes the others' settings name as seeds.
	seedCount = 3
)

func (r *run) start() error {
	if err := r.fleet.StartPlatform(bffleet.PlatformSettings{}); err != nil {
		return err
	}
	// Each process is measured at what one core gives it: the fleet shares the machine.
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
	fmt.Fprintf(r.out, "%d nodes know each other %v after the last one started\n", r.options.Nodes, time.Since(started).Round(time.Millisecond))
	return err
}

// configure commits a configuration of the wanted size.
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

// sample is every node's counters at one moment.
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

// grown is how much a counter grew on average a node, and at most.
func (s sample) grown(before sample, names ...string) (mean, most float64) {
	for i := range s.metrics {
		sum := 0.0
		for _, name := range names {
			sum += bffleet.MetricValue(s.metrics[i], name) - bffleet.MetricValue(before.metrics[i], name)
		}
		mean += sum / float64(len(s.metrics))
		most = max(most, sum)
	}
	return mean, most
}

var purposes = []string{"membership", "versions", "repair", "snapshots", "witness", "operators", "requests"}

func sentBy(purposes ...string) []string {
	var names []string
	for _, p := range purposes {
		names = append(names, "control_sent_bytes_"+p)
	}
	return names
}

func (r *run) idle() error {
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
	mean, most := after.grown(before, sentBy(purposes...)...)
	r.row.IdleBytes, r.row.MaxIdleBytes = mean/seconds, most/seconds
	members, _ := after.grown(before, sentBy("membership")...)
	repair, _ := after.grown(before, sentBy("repair")...)
	witness, _ := after.grown(before, sentBy("witness")...)
	r.row.IdleMembers, r.row.IdleRepair, r.row.IdleWitness = members/seconds, repair/seconds, witness/seconds
	r.row.TableReads = (after.reads - before.reads) / seconds
	for i := range after.usage {
		r.row.CPU += (after.usage[i].cpu - before.usage[i].cpu).Seconds() / seconds / float64(len(after.usage))
		r.row.Memory += float64(after.usage[i].memory) / float64(len(after.usage))
	}
	return nil
}

func (r *run) change() error {
	base := startBaseline(r.fleet.PlatformURL(), r.options.Nodes)
	baseStart, readsBefore := time.Now(), base.metrics.Counter("table_reads").Value()
	before, err := r.sample()
	if err != nil {
		return err
	}
	var converge, baseConverge []time.Duration
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
		converge = append(converge, longest(answered, times))
		time.Sleep(2 * baselineInterval)
		baseConverge = append(baseConverge, longest(answered, base.times(r.version)))
	}
	after, err := r.sample()
	if err != nil {
		return err
	}
	if err := r.takeChange(before, after, converge); err != nil {
		return err
	}
	seconds := time.Since(baseStart).Seconds()
	r.row.BaseConvergeMax = slices.Max(baseConverge)
	r.row.BaseBytes = float64(base.bytes.Load()) / seconds / float64(r.options.Nodes)
	r.row.BaseReads = float64(base.metrics.Counter("table_reads").Value()-readsBefore) / seconds
	r.row.BaseFailed = base.failed.Load()
	return base.stop()
}

func (r *run) takeChange(before, after sample, converge []time.Duration) error {
	slices.Sort(converge)
	r.row.ConvergeP50 = converge[len(converge)/2]
	r.row.ConvergeP99 = converge[len(converge)*99/100]
	r.row.ConvergeMax = converge[len(converge)-1]
	changes := float64(r.options.Changes)
	received, _ := after.grown(before, "control_received_bytes_versions")
	witness, _ := after.grown(before, sentBy("witness")...)
	r.row.ChangeBytes = received / changes
	r.row.WitnessBytes = witness/changes - r.row.IdleWitness*after.at.Sub(before.at).Seconds()/changes
	var err error
	r.row.DeltaBytes, err = r.deltaBytes()
	return err
}

// deltaBytes is the mean encoded size of the measured changes, as the table has them.
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

// longest is how long after start the last time is, 0 where all came before.
func longest(start time.Time, times []time.Time) time.Duration {
	var most time.Duration
	for _, t := range times {
		most = max(most, t.Sub(start))
	}
	return most
}

// rejoin kills half of a domain at once and starts it again at once.
func (r *run) rejoin() error {
	var herd []*bffleet.Node
	for i, node := range r.fleet.Nodes() {
		if i%domains == 1 && (i/domains)%2 == 0 {
			herd = append(herd, node)
		}
	}
	for _, node := range herd {
		if err := node.Kill(); err != nil {
			return err
		}
	}
	start := time.Now()
	for _, node := range herd {
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
	r.row.Rejoin = longest(start, times)
	return nil
}
