package bfprobe

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bflog"
)

const (
	// SilentAfter is how long a request may be unanswered, without any response of its node, until the node is
	// probed. The kernel of a suspended node accepts connections, so that only an answer shows that
	// the node runs.
	SilentAfter = 400 * time.Millisecond
	// probeTimeout bounds a probe: a node answers it without its target, so only a node that is
	// suspended, unreachable or out of processor time for as long takes longer.
	probeTimeout = 400 * time.Millisecond
)

// silenceChecks holds the targets whose nodes are being checked, so that at most one probe of a node is in
// progress. The zero value is ready for use.
type silenceChecks struct{ byTarget sync.Map }

// begin reports whether no check of the target was in progress; end must follow if so.
func (s *silenceChecks) begin(target *bffleet.Target) bool {
	_, found := s.byTarget.LoadOrStore(target, struct{}{})
	return !found
}

func (s *silenceChecks) end(target *bffleet.Target) { s.byTarget.Delete(target) }

// silentDivisor bounds the targets of a service that are excluded when another one is silent: to one in
// silentDivisor, rounded up. If more are silent, this node is presumably the one that is partitioned or
// short of processor time, and the targets left would be overloaded by the load of the others.
const silentDivisor = 3

// mayExclude reports whether one more target may be excluded because its node is silent, if excluded of
// the service's targets are already. The only target of a service never is.
func mayExclude(excluded, targets int) bool {
	return targets > 1 && excluded*silentDivisor < targets
}

// excludeSilent excludes the target and starts to probe its node, unless too many targets of its
// service are excluded already. It reports whether it did.
func (p *Prober) excludeSilent(target *bffleet.Target) bool {
	p.excluding.Lock()
	defer p.excluding.Unlock()
	if target.IsProbed() || !mayExclude(p.config.Fleet.Probed(target.Member().Service)) {
		return false
	}
	p.Start(target)
	return true
}

// Watch checks the target's node if a request that is sent now stays unanswered for SilentAfter. stop must
// be called once the request is answered. The request itself is left to its deadline: a node that is
// short of processor time may be slow to answer a probe while its target works on the request.
func (p *Prober) Watch(target *bffleet.Target) (stop func()) {
	sent := p.config.Timer.Now()
	return p.config.Timer.After(SilentAfter, func(time.Time) { p.CheckSilence(target, sent) }).Stop
}

// CheckSilence probes the target's node unless it has responded since a request was sent, and excludes the
// target if the node neither answers the probe nor anything else meanwhile. It doesn't if so many nodes
// are silent that the fault is presumably on this side.
func (p *Prober) CheckSilence(target *bffleet.Target, sent time.Time) {
	if target.RespondedSince(sent) || target.IsProbed() || !p.checks.begin(target) {
		return
	}
	p.config.Spawn("probe silent node", func(ctx context.Context) error {
		defer p.checks.end(target)
		began := p.config.Timer.Now()
		silent := p.probeOnce(ctx, target) != nil && ctx.Err() == nil && !target.RespondedSince(began)
		if silent && p.excludeSilent(target) {
			p.config.Logger.Emit(bflog.NodeSilent, slog.String("node", target.Member().Inbound))
		}
		return nil
	})
}

// probeOnce sends the target's node a probe over a new connection: kept ones may have lost their
// other end without a sign.
func (p *Prober) probeOnce(ctx context.Context, target *bffleet.Target) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	probe := &bfexchange.Request{
		Method: "GET", Target: "/", Host: target.Member().Inbound, Header: map[string][]string{bfheader.Probe: {bfheader.ProbeMark}},
	}
	err := p.config.Client.Probe(ctx, target.Member().Inbound, probe)
	if err == nil {
		target.RecordResponse(p.config.Timer.Now())
	}
	return err
}
