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

// fault is what goes wrong at one target in the spike.
type fault string

const (
	faultNone fault = "none"
	// faultLost ends a target and its node at once, as a lost machine would.
	faultLost fault = "lost"
	// faultSlow makes a target slowFactor times slower.
	faultSlow fault = "slow"
	// faultLying has a target shed everything while its health endpoint says that it is well.
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

// loss is how much of one target's capacity the fault takes.
func (f fault) loss() float64 {
	switch f {
	case faultLost, faultLying:
		return 1
	case faultSlow:
		return 1 - 1.0/slowFactor
	case faultNone:
	}
	return 0
}

func (t *trial) victim() *bffleet.Target { return t.fleet.Target(t.instances[0][0]) }

// at runs fn at a moment.
func (t *trial) at(moment time.Time, fn func() error) func(context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(moment)):
			return fn()
		}
	}
}

func (t *trial) begin() error {
	switch t.fault {
	case faultLost:
		t.lost = true
		if err := t.victim().Kill(); err != nil {
			return err
		}
		return t.fleet.Node(t.instances[0][0]).Kill()
	case faultSlow:
		slow := t.options.ServiceTime.Seconds() * 1000 * slowFactor
		return t.fleet.SetBehaviour(t.victim(), map[string]any{"serviceTimeMs": slow})
	case faultLying:
		return t.fleet.SetBehaviour(t.victim(), map[string]any{"shed": true, "sayHealth": "healthy"})
	case faultNone:
	}
	return nil
}

// mend undoes the fault for the next policy; a lost node is of no use to callers who know only targets.
func (t *trial) mend() error {
	if t.lost {
		t.lost = false
		return t.fleet.RestartTarget(t.victim(), t.victim().Name())
	}
	usual := t.options.ServiceTime.Seconds() * 1000
	return t.fleet.SetBehaviour(t.victim(), map[string]any{"serviceTimeMs": usual, "shed": false, "sayHealth": ""})
}

// runs counts how often the targets began to run each arrival of a policy, by
// their logs, which outlive a target that was killed.
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

func (t *trial) fleetClient() *http.Client { return &http.Client{Timeout: readDeadline + grace} }
