package bfbackend

import (
	"context"
	"time"

	"bilberryflow.org/lib/bfcommit"
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfcontrol"
	"bilberryflow.org/lib/bfdirectory"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfquery"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// Parts is what a Backend works with.
type Parts struct {
	Control   *bfcontrol.Control
	Table     bfstore.Table
	Objects   bfstore.Objects
	Directory *bfdirectory.Directory
	Calls     *bfpeer.Calls
	Timer     *bftimer.Service
	Logger    *bflog.Logger
	// SnapshotEvery is how many versions lie between two snapshots in the object store.
	SnapshotEvery bfconfig.Version
	// Spawn starts a goroutine of the node's group.
	Spawn func(name string, fn func(ctx context.Context) error)
}

// Backend implements bfquery.Backend on a node.
type Backend struct {
	parts  Parts
	clock  bfcommit.TimerClock
	limits bfcommit.Limits
}

var _ bfquery.Backend = (*Backend)(nil)

// New makes the backend of a node.
func New(parts Parts) *Backend {
	return &Backend{parts: parts, clock: bfcommit.TimerClock{Service: parts.Timer}, limits: bfcommit.DefaultLimits()}
}

// Now is the time by the node's clock.
func (b *Backend) Now() time.Time { return b.parts.Timer.Now() }

// Wait returns after d, or earlier with the context's error.
func (b *Backend) Wait(ctx context.Context, d time.Duration) error {
	return b.clock.WaitUntil(ctx, b.Now().Add(d))
}

// State is the version that the node holds.
func (b *Backend) State() *bfconfig.State { return b.parts.Control.State() }
