package bfbackend

import (
	"context"
	"time"

	"bilberryflow.org/lib/bfcommit"
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfcount"
	"bilberryflow.org/lib/bfdirectory"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfquery"
	"bilberryflow.org/lib/bfquery/bfsyntax"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfroute"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// Control is the node's control plane as commands need it.
type Control interface {
	// Self is the node's own name.
	Self() string
	// State is the newest version held.
	State() *bfconfig.State
	// View is the view in force, nil before the node has one.
	View() *bfroute.View
	// Order is the membership now.
	Order() *bfroster.Order
	// Heard tells the newest version each member was heard to hold, and how long ago.
	Heard(ctx context.Context) (map[uint64]bfconfig.Version, map[uint64]time.Duration, error)
	// Census asks the whole fleet what is in force.
	Census(ctx context.Context, wait time.Duration) (bfcount.Tally, error)
	// Committed tells of a version that this node's commit made.
	Committed(ctx context.Context, delta []byte) error
}

// Parts is what a Backend works with.
type Parts struct {
	Control   Control
	Table     bfstore.Table
	Objects   bfstore.Objects
	Directory *bfdirectory.Directory
	Calls     *bfpeer.Calls
	Timer     *bftimer.Service
	Logger    *bflog.Logger
	// Quarantine holds the requests under which targets ended.
	Quarantine *bfquarantine.Book
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

// Refuses reports why the node can't carry out a command, nil where it can.
func (b *Backend) Refuses(command bfsyntax.Command) error {
	if bfquery.ReadsState(command) && !b.started() {
		return &bfquery.NotStartedError{}
	}
	return nil
}

// started reports whether the node has a version in force.
func (b *Backend) started() bool { return b.parts.Control.View() != nil }

// State is the version that the node holds.
func (b *Backend) State() *bfconfig.State { return b.parts.Control.State() }
