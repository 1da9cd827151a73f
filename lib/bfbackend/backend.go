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

// Control is the part of the node's control plane that operator commands use.
type Control interface {
	// Self returns the node's own name.
	Self() string
	// State returns the newest version held.
	State() *bfconfig.State
	// View returns the view in force, nil before the node has one.
	View() *bfroute.View
	// Order returns the current view of the members.
	Order() *bfroster.Order
	// KnownVersions returns, by the hash of each member, the newest version that it is known to
	// hold and the age of that information.
	KnownVersions(ctx context.Context) (map[uint64]bfconfig.Version, map[uint64]time.Duration, error)
	// Census counts the versions in force on the whole fleet.
	Census(ctx context.Context, wait time.Duration) (bfcount.Tally, error)
	// PublishDelta sends the delta of a version that this node committed to the fleet.
	PublishDelta(ctx context.Context, delta []byte) error
}

// Config holds the dependencies of a Backend.
type Config struct {
	Control   Control
	Table     bfstore.Table
	Objects   bfstore.ObjectStore
	Directory *bfdirectory.Directory
	Calls     *bfpeer.Calls
	Timer     *bftimer.Service
	Logger    *bflog.Logger
	// Quarantine holds the requests under which targets crashed.
	Quarantine *bfquarantine.Book
	// SnapshotEvery is the number of versions between two snapshots in the object store.
	SnapshotEvery bfconfig.Version
	// Spawn starts a goroutine in the node's group.
	Spawn func(name string, fn func(ctx context.Context) error)
}

// Backend implements bfquery.Backend on a node.
type Backend struct {
	config Config
	clock  bfcommit.TimerClock
	limits bfcommit.Limits
}

var _ bfquery.Backend = (*Backend)(nil)

// New returns the backend of a node.
func New(config Config) *Backend {
	return &Backend{config: config, clock: bfcommit.TimerClock{Service: config.Timer}, limits: bfcommit.DefaultLimits()}
}

// Now returns the time of the node's clock.
func (b *Backend) Now() time.Time { return b.config.Timer.Now() }

// Wait returns after d, or earlier with the context's error.
func (b *Backend) Wait(ctx context.Context, d time.Duration) error {
	return b.clock.WaitUntil(ctx, b.Now().Add(d))
}

// CheckCommand returns why the node cannot run a command, nil if it can.
func (b *Backend) CheckCommand(command bfsyntax.Command) error {
	if bfquery.ReadsState(command) && !b.started() {
		return &bfquery.NotStartedError{}
	}
	return nil
}

// started reports whether the node has a version in force.
func (b *Backend) started() bool { return b.config.Control.View() != nil }

// State returns the newest version that the node holds.
func (b *Backend) State() *bfconfig.State { return b.config.Control.State() }
