package bfspike

import (
	"fmt"
	"io"
	"time"

	"bilberryflow.org/bftrial/internal/bffleet"
	"bilberryflow.org/lib/bfheader"
)

// Options configures one measurement.
type Options struct {
	Binaries string
	Shape    string
	Fault    string
	// Spike is the length of the spike; the other phases scale with it.
	Spike time.Duration
	// ServiceTime is the targets' mean service time.
	ServiceTime time.Duration
	// Out is the directory of the CSV files and the plot.
	Out string
}

// seed is the random seed of the arrivals.
const seed = 1

// faultShare is the fraction of the spike before the fault is injected.
const faultShare = 0.3

// trial is one measurement: a run with the same arrivals for each policy.
type trial struct {
	options   Options
	shape     shape
	fault     fault
	timetable timetable
	fleet     *bffleet.Fleet
	// instances are the targets' names by service.
	instances [][]string
	// lost is set while the fault's target is killed and not restarted.
	lost bool
	out  io.Writer
}

// Run measures both policies and writes the report. It stops all processes that it started.
func Run(options Options, out io.Writer) (err error) {
	t := &trial{options: options, out: out, timetable: newTimetable(options.Spike)}
	if t.shape, err = findShape(options.Shape); err != nil {
		return err
	}
	if t.fault, err = findFault(options.Fault); err != nil {
		return err
	}
	if t.fleet, err = bffleet.New(options.Binaries); err != nil {
		return err
	}
	defer func() {
		if closeErr := t.fleet.Close(); err == nil {
			err = closeErr
		}
	}()
	if err := t.startFleet(); err != nil {
		return err
	}
	return t.measure()
}

func (t *trial) measure() error {
	// The naive policy runs last, since the queues that it leaves would distort other runs.
	policies := []policy{mesh{t.callerAddresses()}, naive{t.targetAddresses()}}
	var reports []Report
	for _, p := range policies {
		report, err := t.run(p)
		if err != nil {
			return err
		}
		reports = append(reports, report)
	}
	return t.write(reports)
}

const startLimit = 20 * time.Second

func (t *trial) startFleet() error {
	if err := t.fleet.StartPlatform(bffleet.PlatformSettings{}); err != nil {
		return err
	}
	t.fleet.AddEnvironment("GOMAXPROCS=2")
	n := 0
	for _, service := range t.shape.services {
		var names []string
		for i := range service.targets {
			name := fmt.Sprintf("%s-%d", service.name, i+1)
			domain := t.shape.domains[n%len(t.shape.domains)]
			if err := t.startInstance(name, service.name, domain); err != nil {
				return err
			}
			names = append(names, name)
			n++
		}
		t.instances = append(t.instances, names)
	}
	if err := t.fleet.AwaitNodes(); err != nil {
		return err
	}
	return t.fleet.AwaitMembers(startLimit)
}

func (t *trial) startInstance(name, service, domain string) error {
	settings := bffleet.NodeSettings{Instance: name, Region: t.shape.name, FailureDomain: domain, Service: service}
	if nodes := t.fleet.Nodes(); len(nodes) > 0 {
		settings.Seeds = []string{nodes[0].Settings().Listen.Peer}
	}
	node, err := t.fleet.StartNode(settings)
	if err != nil {
		return err
	}
	_, err = t.fleet.StartTarget(node, bffleet.TargetSettings{
		Slots: t.shape.slots, ServiceTime: t.options.ServiceTime.String(), Spread: serviceSpread, LogRuns: true,
	})
	return err
}

// serviceSpread is the relative variation of service times.
const serviceSpread = 0.2

func (t *trial) callerAddresses() []string {
	var list []string
	for _, node := range t.fleet.Nodes() {
		list = append(list, node.Settings().Listen.Caller)
	}
	return list
}

func (t *trial) targetAddresses() [][]string {
	var list [][]string
	for _, names := range t.instances {
		var addresses []string
		for _, name := range names {
			addresses = append(addresses, t.fleet.Target(name).Address())
		}
		list = append(list, addresses)
	}
	return list
}

// preparationTime returns the preparation time before a run. Mesh runs need more, to distribute the configuration.
func preparationTime(p policy) time.Duration {
	const short, long = 2 * time.Second, 5 * time.Second
	if _, isNaive := p.(naive); isNaive {
		return short
	}
	return long
}

// run sends the arrivals under one policy and evaluates the result.
func (t *trial) run(p policy) (Report, error) {
	// Events start at whole seconds, so the spike must as well.
	start := time.Now().Add(preparationTime(p)).Truncate(time.Second)
	if err := t.prepare(p, start); err != nil {
		return Report{}, err
	}
	if time.Now().After(start) {
		return Report{}, fmt.Errorf("%s: not prepared within %v", policyName(p), preparationTime(p))
	}
	l := newLoad(t.shape, p, start, t.timetable.begin(phases))
	faultAt := t.timetable.begin(spike) + time.Duration(faultShare*float64(t.timetable[spike]))
	l.group.Go("fault", t.runAt(start.Add(faultAt), t.injectFault))
	monitor := newCPUMonitor()
	l.group.Go("machine", monitor.watch(start, t.timetable))
	samples, err := l.run(arrivals(seed, t.timetable, t.fullCapacity(), t.shape.services))
	if err != nil {
		return Report{}, err
	}
	runs, err := t.runs(p)
	if err != nil {
		return Report{}, err
	}
	f := figures{shape: t.shape, timetable: t.timetable, capacity: t.capacityOf(faultAt), samples: samples, runs: runs}
	return f.report(policyName(p), monitor.utilization()), nil
}

// fullCapacity returns the request rate that all slots can serve, per second.
func (t *trial) fullCapacity() float64 {
	return float64(t.shape.targets()*t.shape.slots) / t.options.ServiceTime.Seconds()
}

func (t *trial) capacityOf(faultAt time.Duration) capacity {
	full := t.fullCapacity()
	return capacity{faultAt: faultAt, before: full, after: full * (1 - t.fault.capacityLoss()/float64(t.shape.targets()))}
}

func (t *trial) prepare(p policy, start time.Time) error {
	if err := t.revertFault(); err != nil {
		return err
	}
	if _, isNaive := p.(naive); isNaive {
		return t.setBehaviours(map[string]any{"queueAll": true})
	}
	spikeStart := start.Add(t.timetable.begin(spike))
	configuration := t.shape.configuration(spikeStart, spikeStart.Add(t.timetable[spike]))
	for _, command := range []string{configuration, "confirm spike"} {
		result, err := t.fleet.RunCommand(t.fleet.Nodes()[0], command)
		if err != nil {
			return err
		}
		if result.Code != 0 {
			return fmt.Errorf("bfctl %q: %s", command, result.Output)
		}
	}
	if err := t.fleet.AwaitVersion(1, startLimit); err != nil {
		return err
	}
	return t.awaitServing(p, start)
}

// awaitServing waits until requests to every service succeed through every node.
func (t *trial) awaitServing(p policy, until time.Time) error {
	for _, node := range p.(mesh).nodes {
		for service := range t.shape.services {
			for {
				response, err := t.httpClient().Get("http://" + node + t.shape.path(service, read) + "?work=0")
				if err == nil {
					response.Body.Close()
					if response.Header.Get(bfheader.Outcome) == bfheader.OutcomeDone {
						break
					}
				}
				if time.Now().After(until) {
					return fmt.Errorf("node at %s does not serve %s: %w", node, t.shape.services[service].name, err)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	return nil
}

func (t *trial) setBehaviours(behaviour map[string]any) error {
	for _, names := range t.instances {
		for _, name := range names {
			if err := t.fleet.SetBehaviour(t.fleet.Target(name), behaviour); err != nil {
				return err
			}
		}
	}
	return nil
}
