package bfcaller

import (
	"context"
	"time"

	"bilberryflow.org/lib/bfchoice"
)

const (
	// WarmUpInterval is the mean time between calls of WarmUp, shorter than an
	// idle connection's life. Each node's calls must be jittered: all nodes at
	// one moment would be the storm that the warm-up is there to prevent.
	WarmUpInterval = 15 * time.Second
	// warmTargets is to how many targets of a service connections are opened.
	//
	// Every node is an entry. Were each to connect to every target, a target's
	// node would hold a connection from each of the fleet; a few targets each
	// take the callers that come in the first moments, and load opens the rest.
	warmTargets = 4
)

// WarmUp opens connections for the services of events that start soon.
func (e *Entry) WarmUp(now time.Time) {
	view := e.parts.View()
	if view == nil {
		return
	}
	for _, service := range view.Events().WarmUps(now) {
		for _, address := range e.warmAddresses(now, service) {
			e.parts.Spawn("warm up", func(ctx context.Context) error {
				ctx, cancel := context.WithTimeout(ctx, askTimeout)
				defer cancel()
				// A target that can't be reached is found out by requests.
				_ = e.parts.Client.Warm(ctx, address)
				return nil
			})
		}
	}
}

// unpick gives back a pick that no request follows: it may have been the one
// probe of a target that was set aside.
func unpick(now time.Time, chooser *bfchoice.Chooser, target *bfchoice.Target) {
	target.Begin()
	chooser.End(now, target, bfchoice.Cancelled)
}

// warmAddresses are of the targets that requests would go to now: they are
// picked as for requests, so those of the own failure domain come first.
func (e *Entry) warmAddresses(now time.Time, service string) []string {
	chooser := e.parts.Directory.Chooser(service)
	if chooser == nil {
		return nil
	}
	var picked, addresses []string
	for len(picked) < warmTargets {
		target, found := chooser.Pick(now, picked)
		if !found {
			break
		}
		unpick(now, chooser, target)
		picked = append(picked, target.ID())
		if member, found := e.parts.Directory.Member(target.ID()); found {
			addresses = append(addresses, member.Inbound)
		}
	}
	return addresses
}
