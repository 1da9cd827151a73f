package bfdemo

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"bilberryflow.org/bftrial/internal/bffleet"
	"bilberryflow.org/lib/bfheader"
)

// instance is one slot of the demo's fleet.
type instance struct{ name, domain, service string }

var instances = []instance{
	{"wien-nord-1", "wien-nord", "portal-core"},
	{"wien-sued-1", "wien-sued", "portal-core"},
	{"wien-west-1", "wien-west", "asset-vault"},
}

const configuration = `stage opening {
  create service portal-core slots 12;
  create service asset-vault slots 12;
  create policy lookup class lookup idempotent deadline 2s priority 1 queue 50 retry 10%;
  create policy approve class approval deadline 5s priority 5 queue 100 durablekeys;
  create route assets prefix "/assets" methods GET,HEAD service asset-vault policy lookup;
  create route approvals prefix "/approvals" methods POST service portal-core policy approve
}`

const convergeLimit = 10 * time.Second

// Demo is one run.
type Demo struct {
	fleet *bffleet.Fleet
	out   io.Writer
	step  int
}

// Run starts the processes, shows each step on out and ends every process.
func Run(binaries string, out io.Writer) (err error) {
	fleet, err := bffleet.New(binaries)
	if err != nil {
		return err
	}
	d := &Demo{fleet: fleet, out: out}
	defer func() {
		if err != nil {
			fleet.WriteLogs(out)
		}
		if closeErr := fleet.Close(); err == nil {
			err = closeErr
		}
	}()
	for _, part := range []func() error{d.start, d.configure, d.look, d.approve, d.stop} {
		if err := part(); err != nil {
			return err
		}
	}
	d.say("done: every process was stopped, nothing is left behind")
	return nil
}

func (d *Demo) say(format string, values ...any) {
	d.step++
	fmt.Fprintf(d.out, "%2d. %s\n", d.step, fmt.Sprintf(format, values...))
}

func (d *Demo) show(text string) {
	for line := range strings.Lines(strings.TrimRight(text, "\n")) {
		fmt.Fprintf(d.out, "      %s", line)
	}
	fmt.Fprintln(d.out)
}

func (d *Demo) start() error {
	if err := d.fleet.StartPlatform(bffleet.PlatformSettings{}); err != nil {
		return err
	}
	d.say("the platform's stand-in runs at %s", d.fleet.PlatformURL())
	for _, i := range instances {
		node, err := d.fleet.StartNode(bffleet.NodeSettings{
			Instance: i.name, Region: "vienna", FailureDomain: i.domain, Service: i.service,
		})
		if err != nil {
			return err
		}
		if _, err := d.fleet.StartTarget(node, bffleet.TargetSettings{Slots: 12, ServiceTime: "5ms"}); err != nil {
			return err
		}
	}
	d.say("three nodes run, each with a target beside it; they find each other through the platform's table")
	if err := d.fleet.AwaitNodes(); err != nil {
		return err
	}
	return d.fleet.AwaitMembers(convergeLimit)
}

func (d *Demo) configure() error {
	first := d.fleet.Nodes()[0]
	for _, command := range []string{configuration, "diff opening", "confirm opening"} {
		if err := d.command(first, command); err != nil {
			return err
		}
	}
	if err := d.fleet.AwaitVersion(1, convergeLimit); err != nil {
		return err
	}
	d.say("version 1 is in force on every node")
	last := d.fleet.Nodes()[len(instances)-1]
	for _, command := range []string{"show routes", "in force everywhere"} {
		if err := d.command(last, command); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) command(node *bffleet.Node, command string) error {
	said, err := d.fleet.RunCommand(node, command)
	if err != nil {
		return err
	}
	d.say("an operator asks %s: bfctl '%s'", node.Name(), command)
	d.show(said.Output)
	if said.Code != 0 {
		return fmt.Errorf("bfctl exited with %d", said.Code)
	}
	return nil
}

// reply is what a caller was told.
type reply struct {
	status  string
	outcome string
	body    string
}

// request sends a caller's request until a target has been found for it.
func (d *Demo) request(node *bffleet.Node, method, path, key string) (reply, error) {
	deadline := time.Now().Add(convergeLimit)
	for {
		told, err := d.send(node, method, path, key)
		if err != nil || told.outcome != bfheader.OutcomeNotRun || time.Now().After(deadline) {
			return told, err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (d *Demo) send(node *bffleet.Node, method, path, key string) (reply, error) {
	request, err := http.NewRequest(method, "http://"+node.Settings().Listen.Caller+path, nil)
	if err != nil {
		return reply{}, err
	}
	request.Header.Set(bfheader.Tenant, "agency-7")
	if key != "" {
		request.Header.Set(bfheader.IdempotencyKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{response.Status, response.Header.Get(bfheader.Outcome), string(body)}, err
}

func (d *Demo) exchange(node *bffleet.Node, method, path, key string) error {
	told, err := d.request(node, method, path, key)
	if err != nil {
		return err
	}
	d.say("a caller asks %s: %s %s", node.Name(), method, path)
	d.show(fmt.Sprintf("%s, outcome %s\n%s", told.status, told.outcome, told.body))
	if told.outcome != bfheader.OutcomeDone {
		return fmt.Errorf("%s %s was not answered by its target", method, path)
	}
	return nil
}

// look sends a look-up in at a node whose own target is of another service.
func (d *Demo) look() error {
	return d.exchange(d.fleet.Nodes()[0], http.MethodGet, "/assets/logo-rules", "")
}

// approve sends an approval with one key through two nodes; it must run once.
func (d *Demo) approve() error {
	const key = "approval-4711"
	for _, node := range d.fleet.Nodes()[1:] {
		if err := d.exchange(node, http.MethodPost, "/approvals/4711", key); err != nil {
			return err
		}
	}
	runs := 0
	for _, i := range instances {
		ledger, err := d.fleet.Ledger(d.fleet.Target(i.name))
		if err != nil {
			return err
		}
		for _, run := range ledger {
			if run.Key == key {
				runs += run.Started
			}
		}
	}
	if runs != 1 {
		return fmt.Errorf("the approval ran %d times", runs)
	}
	d.say("the same approval was sent through two nodes with one key; the targets' ledgers show it ran once")
	return nil
}

const stopLimit = 10 * time.Second

func (d *Demo) stop() error {
	for _, i := range instances {
		if code, err := d.fleet.Target(i.name).Stop(stopLimit); err != nil || code != 0 {
			return fmt.Errorf("target %s stopped with code %d: %w", i.name, code, err)
		}
		if code, err := d.fleet.Node(i.name).Stop(stopLimit); err != nil || code != 0 {
			return fmt.Errorf("node %s stopped with code %d: %w", i.name, code, err)
		}
	}
	d.say("targets and nodes stopped gracefully on %v", syscall.SIGTERM)
	return nil
}
