package bfprobe

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bftimer"
)

// Config holds the dependencies of a Prober.
type Config struct {
	Fleet  *bffleet.Fleet
	Client *bfexchange.Client
	Timer  *bftimer.Service
	Logger *bflog.Logger
	// Spawn starts a goroutine in the node's group.
	Spawn func(name string, fn func(ctx context.Context) error)
	// OnMemberLost is called for a member to whose node no connection could be opened for RemoveAfter.
	OnMemberLost func(bffleet.Member)
}

// Prober probes nodes. It is safe for concurrent use.
type Prober struct {
	config Config
	checks silenceChecks
	// excluding is held while it is decided whether a silent node is excluded, as each exclusion counts
	// for the next.
	excluding sync.Mutex
}

// New returns a prober without probes in progress.
func New(config Config) *Prober { return &Prober{config: config} }

const (
	// minProbeInterval and maxProbeInterval bound the interval between probes of a node that
	// refuses connections or answers nothing; the interval doubles. A node that recovers is used again
	// within about maxProbeInterval.
	minProbeInterval = 150 * time.Millisecond
	maxProbeInterval = time.Second
	// RemoveAfter is how long no connection to a node can be opened before it may be removed from
	// the fleet: longer than a restart or a typical partition. A node that accepts connections and
	// answers nothing is not removed: it may be suspended or short of processor time.
	RemoveAfter = 6 * time.Second
	// maxLostShare is the share of the fleet that may be unreachable for a removal: above
	// it, this node is presumably the one that is partitioned.
	maxLostShare = 1.0 / 3
)

// Start takes a target whose node refused a connection, or answered nothing, out of selection
// and probes the node until it answers.
func (p *Prober) Start(target *bffleet.Target) {
	if !target.StartProbing() {
		return
	}
	p.config.Spawn("probe node", func(ctx context.Context) error {
		p.probe(ctx, target)
		return nil
	})
}

// probe probes the target's node until it answers or the target leaves the fleet.
func (p *Prober) probe(ctx context.Context, target *bffleet.Target) {
	unreachableSince := p.config.Timer.Now()
	pause := minProbeInterval
	reported := false
	for p.config.Fleet.Contains(target) {
		if p.config.Timer.Wait(ctx, p.config.Timer.Jittered(pause, probeJitter)()) != nil {
			return
		}
		err := p.probeOnce(ctx, target)
		if err == nil {
			target.StopProbing()
			p.config.Logger.Emit(bflog.NodeReachable, slog.String("node", target.Member().Inbound))
			return
		}
		pause = min(2*pause, maxProbeInterval)
		var notSent *bfexchange.NotSentError
		if !errors.As(err, &notSent) {
			unreachableSince = p.config.Timer.Now()
		}
		lost := float64(p.config.Fleet.Lost()) / float64(max(p.config.Fleet.Size(), 1))
		if !reported && p.config.Timer.Now().Sub(unreachableSince) > RemoveAfter && lost <= maxLostShare {
			reported = true
			p.config.OnMemberLost(target.Member())
		}
	}
}

// probeJitter spreads the probes that many nodes send to the same one.
const probeJitter = 0.5
