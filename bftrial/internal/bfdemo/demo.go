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

// instance is the name of a node with its target, their failure domain and service.
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

// Demo is one run of the demo.
type Demo struct {
	fleet *bffleet.Fleet
	out   io.Writer
	step  int
}

// Run starts the processes, prints each step to out and stops all processes.
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
	for _, step := range []func() error{d.start, d.configure, d.lookUp, d.approve, d.stop} {
		if err := step(); err != nil {
			return err
		}
	}
	d.printStep("done: all nodes and targets have exited")
	return nil
}

func (d *Demo) printStep(format string, values ...any) {
	d.step++
	fmt.Fprintf(d.out, "%2d. %s\n", d.step, fmt.Sprintf(format, values...))
}

func (d *Demo) printOutput(text string) {
	for line := range strings.Lines(strings.TrimRight(text, "\n")) {
		fmt.Fprintf(d.out, "      %s", line)
	}
	fmt.Fprintln(d.out)
}

func (d *Demo) start() error {
	if err := d.fleet.StartPlatform(bffleet.PlatformSettings{}); err != nil {
		return err
	}
	d.printStep("the stand-in platform listens at %s", d.fleet.PlatformURL())
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
	d.printStep("three nodes are running, each with a target; they discover each other through the platform's table")
	if err := d.fleet.AwaitNodes(); err != nil {
		return err
	}
	return d.fleet.AwaitMembers(convergeLimit)
}

func (d *Demo) configure() error {
	first := d.fleet.Nodes()[0]
	for _, command := range []string{configuration, "diff opening", "confirm opening"} {
		if err := d.runCommand(first, command); err != nil {
			return err
		}
	}
	if err := d.fleet.AwaitVersion(1, convergeLimit); err != nil {
		return err
	}
	d.printStep("version 1 is in force on every node")
	last := d.fleet.Nodes()[len(instances)-1]
	for _, command := range []string{"show routes", "in force everywhere"} {
		if err := d.runCommand(last, command); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) runCommand(node *bffleet.Node, command string) error {
	result, err := d.fleet.RunCommand(node, command)
	if err != nil {
		return err
	}
	d.printStep("an operator runs a command on %s: bfctl '%s'", node.Name(), command)
	d.printOutput(result.Output)
	if result.Code != 0 {
		return fmt.Errorf("bfctl exited with code %d", result.Code)
	}
	return nil
}

// reply is the response that a caller received.
type reply struct {
	status  string
	outcome string
	body    string
}

// sendUntilRun sends a caller's request, and retries for up to convergeLimit while it is refused as not run.
func (d *Demo) sendUntilRun(node *bffleet.Node, method, path, key string) (reply, error) {
	deadline := time.Now().Add(convergeLimit)
	for {
		response, err := d.send(node, method, path, key)
		if err != nil || response.outcome != bfheader.OutcomeNotRun || time.Now().After(deadline) {
			return response, err
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
	response, err := d.sendUntilRun(node, method, path, key)
	if err != nil {
		return err
	}
	d.printStep("a caller sends to %s: %s %s", node.Name(), method, path)
	d.printOutput(fmt.Sprintf("%s, outcome %s\n%s", response.status, response.outcome, response.body))
	if response.outcome != bfheader.OutcomeDone {
		return fmt.Errorf("%s %s was not served by a target", method, path)
	}
	return nil
}

// lookUp sends a look-up to a node whose own target has another service.
func (d *Demo) lookUp() error {
	return d.exchange(d.fleet.Nodes()[0], http.MethodGet, "/assets/logo-rules", "")
}

// approve sends an approval with the same idempotency key through two nodes; it must run once.
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
		return fmt.Errorf("the approval ran %d times, want 1", runs)
	}
	d.printStep("the same approval was sent through two nodes with one idempotency key; the targets' ledgers show that it ran once")
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
	d.printStep("targets and nodes stopped gracefully on %v", syscall.SIGTERM)
	return nil
}
