package bfcontrol

import (
	"log/slog"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmember"
	"bilberryflow.org/lib/bfroute"
)

// force decides when a held version comes into force.
type force struct {
	control *Control
	// atLeast is the version below which nothing may come into force, once known.
	atLeast bfconfig.Version
	known   bool
}

func newForce(c *Control) *force { return &force{control: c} }

func (f *force) start(time.Time) { f.control.readHead() }

func (f *force) next() time.Time { return time.Time{} }

func (f *force) tick(time.Time) {}

func (f *force) joined(time.Time) {}

func (f *force) membersChanged(time.Time, *bfmember.Order) {}

func (f *force) headRead(now time.Time, version bfconfig.Version, err error) {
	if err == nil && !f.known {
		f.known, f.atLeast = true, version
		f.held(now, f.control.state.Load())
	}
}

func (f *force) held(now time.Time, state *bfconfig.State) {
	if f.known && state.Version() >= f.atLeast {
		f.control.enforce(now, state)
	}
}

// enforce swaps the view that requests are routed by.
func (c *Control) enforce(now time.Time, state *bfconfig.State) {
	if held := c.view.Load(); held != nil && held.Version() >= state.Version() {
		return
	}
	view, err := bfroute.NewView(state)
	if err != nil {
		c.report(err)
		return
	}
	c.view.Store(view)
	c.inForce.Store(uint64(state.Version()))
	c.spreader.SetInForce(state.Version())
	c.parts.Logger.Emit(bflog.VersionAdopted, slog.Uint64("version", uint64(state.Version())))
}
