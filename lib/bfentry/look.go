package bfentry

import (
	"context"
	"log/slog"
	"time"

	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bflog"
)

const (
	// firstLook and lastLook bound the pause between two looks for a node that
	// takes no connections; it doubles. One that returns is used within about the latter.
	firstLook = 150 * time.Millisecond
	lastLook  = time.Second
	// goneAfter is how long a node must have been looked for in vain until its row
	// may go: longer than a restart, or than most partitions, takes.
	goneAfter = 6 * time.Second
	// mostLost is the part of the fleet that may be out of reach for that: where
	// more is, this node itself is the one that is cut off.
	mostLost = 1.0 / 3
)

// lookFor has no requests sent to a target whose node took no connection, until
// it takes one.
func (h *Handler) lookFor(target *bffleet.Target) {
	if !target.LookFor() {
		return
	}
	h.parts.Spawn("look for a node", func(ctx context.Context) error {
		h.look(ctx, target)
		return nil
	})
}

func (h *Handler) look(ctx context.Context, target *bffleet.Target) {
	began := h.parts.Timer.Now()
	pause := firstLook
	told := false
	for h.parts.Fleet.Holds(target) {
		if h.parts.Timer.Wait(ctx, h.parts.Timer.Jittered(pause, lookShare)()) != nil {
			return
		}
		if h.parts.Client.Preconnect(ctx, target.Member().Inbound) == nil {
			target.Found()
			h.parts.Logger.Emit(bflog.NodeFound, slog.String("node", target.Member().Inbound))
			return
		}
		pause = min(2*pause, lastLook)
		lost := float64(h.parts.Fleet.Lost()) / float64(max(h.parts.Fleet.Size(), 1))
		if !told && h.parts.Timer.Now().Sub(began) > goneAfter && lost <= mostLost {
			told = true
			h.parts.Gone(target.Member())
		}
	}
}

// lookShare spreads the looks of many nodes for the same one.
const lookShare = 0.5
