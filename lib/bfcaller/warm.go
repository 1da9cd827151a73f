package bfcaller

import (
	"context"
	"time"

	"bilberryflow.org/lib/bfchoice"
)

const (
	// WarmUpInterval is the mean time between calls of WarmUp, shorter than the idle
	// timeout of a connection. Callers must add jitter, so that the nodes do not open
	// connections all at once.
	WarmUpInterval = 15 * time.Second
	// warmTargets is the number of targets of a service to which connections are opened.
	//
	// It is small since every node is an entry node: connecting to all targets would
	// give each target's node a connection from every node. Requests open the others on demand.
	warmTargets = 4
)

// WarmUp opens connections to targets of the services whose events start soon.
func (e *Entry) WarmUp(now time.Time) {
	view := e.config.View()
	if view == nil {
		return
	}
	for _, service := range view.Events().WarmUps(now) {
		for _, address := range e.warmAddresses(now, service) {
			e.config.Spawn("warm up", func(ctx context.Context) error {
				ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
				defer cancel()
				// Unreachable targets are detected by requests.
				_ = e.config.Client.Warm(ctx, address)
				return nil
			})
		}
	}
}

// releasePick returns a pick that is not followed by a request. The pick may hold
// the only probe slot of an ejected target.
func releasePick(now time.Time, chooser *bfchoice.Chooser, target *bfchoice.Target) {
	target.Begin()
	chooser.End(now, target, bfchoice.Cancelled)
}

// warmAddresses returns the addresses of targets picked as for requests, so
// targets of the node's own failure domain come first.
func (e *Entry) warmAddresses(now time.Time, service string) []string {
	chooser := e.config.Directory.Chooser(service)
	if chooser == nil {
		return nil
	}
	var picked, addresses []string
	for len(picked) < warmTargets {
		target, found := chooser.Pick(now, picked)
		if !found {
			break
		}
		releasePick(now, chooser, target)
		picked = append(picked, target.ID())
		if member, found := e.config.Directory.Member(target.ID()); found {
			addresses = append(addresses, member.Inbound)
		}
	}
	return addresses
}
