package bfspike

import (
	"fmt"
	"io"
	"time"

	"bilberryflow.org/bftrial/internal/bffleet"
	"bilberryflow.org/lib/bfheader"
)

// Options of one measurement.
type Options struct {
	Binaries string
	Shape    string
	Fault    string
	// Spike is how long the spike lasts; the other phases follow from it.
	Spike time.Duration
	// ServiceTime is a target's mean time for one request.
	ServiceTime time.Duration
	// Out is the directory of the CSV and the plot.
	Out string
}

// seed is of the arrivals.
const seed = 1

// faultShare is how much of the spike is over when the fault comes.
const faultShare = 0.3

// trial is one measurement: the same arrivals under each policy.
type trial struct {
	options   Options
	shape     shape
	fault     fault
	timetable timetable
	fleet     *bffleet.Fleet
	// instances are the targets' names by service.
	instances [][]string
	// lost says that the fault has ended a target that is not mended yet.
	lost bool
	out  io.Writer
}

// Run measures both policies and writes the report; it ends every process it started.
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
	// The naive callers come second: the queue that they leave behind would be in the way of the others.
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

// serviceSpread is the share by which service times vary.
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

// leadOf is how long before its start a run is prepared; nodes need their configuration.
func leadOf(p policy) time.Duration {
	const short, long = 2 * time.Second, 5 * time.Second
	if _, isNaive := p.(naive); isNaive {
		return short
	}
	return long
}

// run sends the arrivals under one policy.
func (t *trial) run(p policy) (Report, error) {
	// Events start at whole seconds, and the spike with them.
	start := time.Now().Add(leadOf(p)).Truncate(time.Second)
	if err := t.prepare(p, start); err != nil {
		return Report{}, err
	}
	if time.Now().After(start) {
		return Report{}, fmt.Errorf("%s: not prepared within %v", policyName(p), leadOf(p))
	}
	l := newLoad(t.shape, p, start, t.timetable.begin(phases))
	faultAt := t.timetable.begin(spike) + time.Duration(faultShare*float64(t.timetable[spike]))
	l.group.Go("fault", t.at(start.Add(faultAt), t.begin))
	machine := newMachine()
	l.group.Go("machine", machine.watch(start, t.timetable))
	samples, err := l.run(arrivals(seed, t.timetable, t.fullCapacity(), t.shape.services))
	if err != nil {
		return Report{}, err
	}
	runs, err := t.runs(p)
	if err != nil {
		return Report{}, err
	}
	f := figures{shape: t.shape, timetable: t.timetable, capacity: t.capacityOf(faultAt), samples: samples, runs: runs}
	return f.report(policyName(p), machine.busy()), nil
}

// fullCapacity is how many requests a second all slots serve.
func (t *trial) fullCapacity() float64 {
	return float64(t.shape.targets()*t.shape.slots) / t.options.ServiceTime.Seconds()
}

func (t *trial) capacityOf(faultAt time.Duration) capacity {
	full := t.fullCapacity()
	return capacity{faultAt: faultAt, before: full, after: full * (1 - t.fault.loss()/float64(t.shape.targets()))}
}

func (t *trial) prepare(p policy, start time.Time) error {
	if err := t.mend(); err != nil {
		return err
	}
	if _, isNaive := p.(naive); isNaive {
		return t.eachTarget(map[string]any{"queueAll": true})
	}
	spikeStart := start.Add(t.timetable.begin(spike))
	configuration := t.shape.configuration(spikeStart, spikeStart.Add(t.timetable[spike]))
	for _, command := range []string{configuration, "confirm spike"} {
		said, err := t.fleet.RunCommand(t.fleet.Nodes()[0], command)
		if err != nil {
			return err
		}
		if said.Code != 0 {
			return fmt.Errorf("bfctl %q: %s", command, said.Output)
		}
	}
	if err := t.fleet.AwaitVersion(1, startLimit); err != nil {
		return err
	}
	return t.awaitServing(p, start)
}

// awaitServing waits until every node finds targets of every service.
func (t *trial) awaitServing(p policy, until time.Time) error {
	for _, node := range p.(mesh).nodes {
		for service := range t.shape.services {
			for {
				response, err := t.fleetClient().Get("http://" + node + t.shape.path(service, read) + "?work=0")
				if err == nil {
					response.Body.Close()
					if response.Header.Get(bfheader.Outcome) == bfheader.OutcomeDone {
						break
					}
				}
				if time.Now().After(until) {
					return fmt.Errorf("node at %s serves no %s: %w", node, t.shape.services[service].name, err)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	return nil
}

func (t *trial) eachTarget(behaviour map[string]any) error {
	for _, names := range t.instances {
		for _, name := range names {
			if err := t.fleet.SetBehaviour(t.fleet.Target(name), behaviour); err != nil {
				return err
			}
		}
	}
	return nil
}
