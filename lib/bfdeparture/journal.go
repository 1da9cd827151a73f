package bfdeparture

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bflifecycle"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// Config holds the dependencies of a Journal.
type Config struct {
	Table string
	// Key identifies the node; it stays the same over its restarts.
	Key  string
	Rows bfstore.TableStore
	// Era returns the era of the store, 0 while it is unknown.
	Era func() uint64
	// FirstStart is set if no earlier process of the node exists, so that there is no row to read.
	FirstStart bool
	// Loaded is called with the departures that earlier processes recorded; complete is not set if
	// some may have been lost with the store.
	Loaded func(departures []bflifecycle.Departure, complete bool)
	// Network is asked if the store can't be reached, and told of new departures; nil for none.
	Network *Network
	// Advised is called with departures that other nodes know of; there may be more.
	Advised func(departures []bflifecycle.Departure)
	Timer   *bftimer.Service
	Logger  *bflog.Logger
	Metrics *bfmetric.Registry
}

// Journal keeps one row equal to the departures that a node knows. It is safe for concurrent use.
type Journal struct {
	config Config
	writes *bfmetric.Counter
	wake   chan struct{}
	// consulted is set once the row was read or other nodes were asked.
	consulted atomic.Bool

	mu sync.Mutex
	// recorded are the departures of this process; changes counts how often they changed, and written
	// how many of these changes the row holds.
	recorded         []bflifecycle.Departure
	changes, written int
	// earlier are the departures that earlier processes were told of.
	earlier []bflifecycle.Departure
	// progress is closed and replaced whenever written grows.
	progress chan struct{}

	// What follows is used by Run alone.

	// rowKnown is set while revision and value match the row.
	rowKnown bool
	revision bfstore.Revision
	value    []byte
	// era is the era of the store in which the row is known to be complete, 0 if there is none.
	era uint64
	// patience bounds a call of the store before other nodes are asked. It doubles with each failed step.
	patience time.Duration
	// told is the number of changes that other nodes were told of.
	told int
}

// New returns the journal of a node; Run starts it.
func New(config Config) *Journal {
	return &Journal{
		config: config, rowKnown: config.FirstStart, wake: make(chan struct{}, 1), progress: make(chan struct{}), patience: minPatience,
		writes: config.Metrics.Counter("store_writes_" + config.Table),
	}
}

// Record sets the departures of this process, oldest first.
func (j *Journal) Record(departures []bflifecycle.Departure) {
	j.mu.Lock()
	j.recorded = departures
	j.changes++
	j.mu.Unlock()
	j.notify()
}

func (j *Journal) notify() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// NotRecordedError reports departures that the store does not hold yet. They are written as soon as it
// accepts them.
type NotRecordedError struct{ Reason error }

// Error gives the reason.
func (e *NotRecordedError) Error() string {
	return fmt.Sprintf("departure is not recorded yet: %v", e.Reason)
}

// Unwrap is the reason.
func (e *NotRecordedError) Unwrap() error { return e.Reason }

// Await waits until the store holds what was recorded before the call. Its error is a *NotRecordedError
// once ctx ends.
func (j *Journal) Await(ctx context.Context) error {
	j.mu.Lock()
	wanted := j.changes
	j.mu.Unlock()
	for {
		j.mu.Lock()
		written, progress := j.written, j.progress
		j.mu.Unlock()
		if written >= wanted {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return &NotRecordedError{ctx.Err()}
		}
	}
}

// Consulted reports whether the row was read or other nodes were asked: what they know was passed on.
func (j *Journal) Consulted() bool { return j.config.Network == nil || j.consulted.Load() }

// InSync reports whether the store holds everything that was recorded.
func (j *Journal) InSync() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.written == j.changes
}

const (
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff    = 150 * time.Millisecond
	maxBackoff    = time.Second
	backoffJitter = 0.3
	// eraInterval is how often the era of the store is checked.
	eraInterval = time.Second
)

// Run reads the row, and writes it whenever it lacks a departure, until ctx ends. It logs errors and
// returns nil.
func (j *Journal) Run(ctx context.Context) error {
	check := j.config.Timer.Every(func() time.Duration { return eraInterval }, func(time.Time) { j.notify() })
	defer check.Stop()
	if !j.Consulted() && !j.config.FirstStart {
		j.config.Network.Spawn("consult other nodes", j.consult)
	}
	backoff := minBackoff
	for {
		err := j.step(ctx)
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil:
			backoff, j.patience = minBackoff, minPatience
			select {
			case <-j.wake:
			case <-ctx.Done():
				return nil
			}
			continue
		case backoff == minBackoff:
			j.config.Logger.Emit(bflog.DeparturesUnrecorded, bflog.Err(err))
		}
		if j.config.Timer.Wait(ctx, j.config.Timer.Jittered(backoff, backoffJitter)()) != nil {
			return nil
		}
		backoff, j.patience = min(2*backoff, maxBackoff), min(2*j.patience, maxPatience)
	}
}

// step reads the row if it isn't known, and writes it if it lacks a departure or is of an earlier era.
func (j *Journal) step(ctx context.Context) error {
	if err := j.tellKeepers(); err != nil {
		return err
	}
	if !j.rowKnown {
		if err := j.read(ctx); err != nil {
			return err
		}
	}
	j.mu.Lock()
	changes, departures, pending := j.changes, merge(j.earlier, j.recorded), j.written < j.changes
	j.mu.Unlock()
	era := j.config.Era()
	if !pending && (j.era == 0 || j.era == era) {
		j.era = era
		return nil
	}
	value, err := encode(departures, era)
	if err != nil {
		return err
	}
	if !bytes.Equal(value, j.value) {
		if err := j.write(ctx, value); err != nil {
			return err
		}
	}
	j.era = era
	j.mu.Lock()
	defer j.mu.Unlock()
	j.written = changes
	close(j.progress)
	j.progress = make(chan struct{})
	return nil
}

// firstEra is the era of a store that was never restored from a copy.
const firstEra = 1

// read reads the row and passes on what earlier processes recorded.
func (j *Journal) read(ctx context.Context) error {
	entry, err := j.get(ctx)
	if err != nil {
		return err
	}
	var departures []bflifecycle.Departure
	var written uint64
	j.rowKnown, j.revision, j.value = true, 0, nil
	if !entry.Removed {
		j.revision, j.value = entry.Revision, entry.Value
		if departures, written, err = decode(entry.Value); err != nil {
			// The next write replaces what another writer has stored.
			j.config.Logger.Emit(bflog.RowRefused, slog.String("member", j.config.Key), bflog.Err(err))
		}
	}
	// A store that was restored may lack rows that nobody has written again.
	era := entry.Revision.Era()
	complete := era <= firstEra || written == era
	if complete {
		j.era = era
	}
	j.mu.Lock()
	j.earlier = merge(j.earlier, departures)
	departures = j.earlier
	j.mu.Unlock()
	j.config.Logger.Emit(bflog.DeparturesLoaded, slog.Int("departures", len(departures)), slog.Bool("complete", complete))
	j.config.Loaded(departures, complete)
	j.consulted.Store(true)
	return nil
}

// write writes the row.
func (j *Journal) write(ctx context.Context, value []byte) error {
	revision, err := j.put(ctx, bfstore.RowWrite{Key: j.config.Key, Value: value, Revision: j.revision})
	var conflict *bfstore.ConflictError
	var unknown *bfstore.UnknownError
	if errors.As(err, &conflict) || errors.As(err, &unknown) {
		// An earlier write whose answer was lost, or an earlier process, has changed the row.
		j.rowKnown = false
	}
	if err != nil {
		return err
	}
	j.revision, j.value = revision, value
	j.config.Logger.Emit(bflog.DepartureRecorded, slog.String("revision", revision.String()))
	return nil
}
