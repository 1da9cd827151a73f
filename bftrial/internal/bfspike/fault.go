package bfspike

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"bilberryflow.org/bftrial/internal/bffleet"
)

// fault is the fault injected into one target during the spike.
type fault string

const (
	faultNone fault = "none"
	// faultLost kills a target and its node, like the loss of their machine.
	faultLost fault = "lost"
	// faultSlow makes a target slowFactor times slower.
	faultSlow fault = "slow"
	// faultLying makes a target shed all requests while its health endpoint reports healthy.
	faultLying fault = "lying"
)

const slowFactor = 5

func findFault(name string) (fault, error) {
	switch f := fault(name); f {
	case faultNone, faultLost, faultSlow, faultLying:
		return f, nil
	}
	return "", &ShapeError{"fault", name, "none, lost, slow, lying"}
}

// capacityLoss returns the fraction of one target's capacity that the fault removes.
func (f fault) capacityLoss() float64 {
	switch f {
	case faultLost, faultLying:
		return 1
	case faultSlow:
		return 1 - 1.0/slowFactor
	case faultNone:
	}
	return 0
}

func (t *trial) faultyTarget() *bffleet.Target { return t.fleet.Target(t.instances[0][0]) }

// runAt returns a function that runs fn at a given time unless its context is done before.
func (t *trial) runAt(when time.Time, fn func() error) func(context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(when)):
			return fn()
		}
	}
}

func (t *trial) injectFault() error {
	switch t.fault {
	case faultLost:
		t.lost = true
		if err := t.faultyTarget().Kill(); err != nil {
			return err
		}
		return t.fleet.Node(t.instances[0][0]).Kill()
	case faultSlow:
		slow := t.options.ServiceTime.Seconds() * 1000 * slowFactor
		return t.fleet.SetBehaviour(t.faultyTarget(), map[string]any{"serviceTimeMs": slow})
	case faultLying:
		return t.fleet.SetBehaviour(t.faultyTarget(), map[string]any{"shed": true, "sayHealth": "healthy"})
	case faultNone:
	}
	return nil
}

// revertFault reverts the fault before the next policy. A lost node isn't restarted, since the
// naive callers that follow use only targets.
func (t *trial) revertFault() error {
	if t.lost {
		t.lost = false
		return t.fleet.RestartTarget(t.faultyTarget(), t.faultyTarget().Name())
	}
	usual := t.options.ServiceTime.Seconds() * 1000
	return t.fleet.SetBehaviour(t.faultyTarget(), map[string]any{"serviceTimeMs": usual, "shed": false, "sayHealth": ""})
}

// runs counts the started runs of each of a policy's arrivals in the targets' logs,
// which survive a killed target.
func (t *trial) runs(p policy) (map[string]int, error) {
	counts := map[string]int{}
	prefix := mark(p, arrival{})[:1]
	for _, names := range t.instances {
		for _, name := range names {
			lines := bufio.NewScanner(strings.NewReader(t.fleet.Target(name).Log()))
			for lines.Scan() {
				var line struct {
					Event int    `json:"event"`
					Mark  string `json:"mark"`
				}
				const runStarted = 4007
				if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == runStarted && strings.HasPrefix(line.Mark, prefix) {
					counts[line.Mark]++
				}
			}
			if err := lines.Err(); err != nil {
				return nil, err
			}
		}
	}
	return counts, nil
}

func (t *trial) httpClient() *http.Client { return &http.Client{Timeout: readDeadline + lateGrace} }
