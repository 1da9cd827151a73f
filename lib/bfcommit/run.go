package bfcommit

import (
	"context"
	"errors"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// Clock provides the time and waits.
type Clock interface {
	Now() time.Time
	// WaitUntil returns nil at the given time, or an error when ctx is done.
	WaitUntil(ctx context.Context, until time.Time) error
}

// TimerClock is a Clock that uses the timer service.
type TimerClock struct{ Service *bftimer.Service }

// Now returns the service's time.
func (c TimerClock) Now() time.Time { return c.Service.Now() }

// WaitUntil waits for one timer of the service; it returns ctx.Err() when ctx is done.
func (c TimerClock) WaitUntil(ctx context.Context, until time.Time) error {
	due := make(chan struct{})
	sub := c.Service.After(until.Sub(c.Service.Now()), func(time.Time) { close(due) })
	defer sub.Stop()
	select {
	case <-due:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run runs the attempt on table until it ends, and returns the outcome.
func Run(ctx context.Context, table bfstore.Table, attempt *Attempt, clock Clock) Outcome {
	var event Event = Begin{}
	for {
		action := attempt.Next(clock.Now(), event)
		switch action := action.(type) {
		case Done:
			return action.Outcome
		case Read:
			rows, err := table.Get(ctx, action.Keys...)
			event = readEvent(ctx, rows, err)
		case ReadRange:
			rows, err := table.Range(ctx, action.From, action.To, action.Limit)
			event = readEvent(ctx, rows, err)
		case Commit:
			event = commitEvent(table.Commit(ctx, action.Transaction))
		case Wait:
			event = Waited{}
			if err := clock.WaitUntil(ctx, action.Until); err != nil {
				event = Canceled{Reason: err}
			}
		}
	}
}

func readEvent(ctx context.Context, rows []bfstore.Row, err error) Event {
	if err == nil {
		return RowsRead{Rows: rows}
	}
	if ctx.Err() != nil {
		return Canceled{Reason: err}
	}
	failed := ReadFailed{Reason: err}
	var unavailable *bfstore.UnavailableError
	if errors.As(err, &unavailable) {
		failed.RetryAfter = unavailable.RetryAfter
	}
	return failed
}

// commitEvent converts the result of a commit to an event. An error that doesn't prove
// that nothing was written becomes CommitUnknown.
func commitEvent(err error) Event {
	var conflict *bfstore.ConflictError
	var unavailable *bfstore.UnavailableError
	switch {
	case err == nil:
		return CommitApplied{}
	case errors.As(err, &conflict):
		return CommitConflicted{}
	case errors.As(err, &unavailable):
		return CommitUnavailable{Reason: err, RetryAfter: unavailable.RetryAfter}
	}
	return CommitUnknown{Reason: err}
}

// SkippedSnapshot is a snapshot that Load could not use, with the error.
type SkippedSnapshot struct {
	Version bfconfig.Version
	Err     error
}

// Load builds the newest version from the newest usable snapshot and the deltas after it.
//
// A snapshot may be missing, truncated, or of another version than its name says.
// Load then falls back to the one before it, and finally to the empty version 0;
// this results in the same state from more deltas. It returns the snapshots it
// skipped.
func Load(ctx context.Context, table bfstore.Table, objects bfstore.ObjectStore, page int) (*bfconfig.State, []SkippedSnapshot, error) {
	names, err := objects.ListObjects(ctx, snapshotPrefix)
	if err != nil {
		names = nil // without the object store, the deltas alone are enough
	}
	var skipped []SkippedSnapshot
	for _, version := range append(SnapshotVersions(names), 0) {
		snapshot, err := loadSnapshot(ctx, objects, version)
		if err != nil {
			skipped = append(skipped, SkippedSnapshot{Version: version, Err: err})
			continue
		}
		state, err := catchUpToHead(ctx, table, snapshot, page)
		var unavailable *bfstore.UnavailableError
		switch {
		case err == nil:
			return state, skipped, nil
		case errors.As(err, &unavailable):
			return nil, skipped, err // an older snapshot would need the table too
		}
		skipped = append(skipped, SkippedSnapshot{Version: version, Err: err})
	}
	return nil, skipped, skipped[len(skipped)-1].Err
}

func loadSnapshot(ctx context.Context, objects bfstore.ObjectStore, version bfconfig.Version) (*bfconfig.State, error) {
	if version == 0 {
		return bfconfig.Empty(), nil
	}
	data, err := objects.Object(ctx, SnapshotKey(version))
	if err != nil {
		return nil, err
	}
	return bfconfig.Restore(data, version)
}

// catchUpToHead reads the head once and applies deltas up to it. It returns a
// HeadError if the result has another digest than the head.
func catchUpToHead(ctx context.Context, table bfstore.Table, state *bfconfig.State, page int) (*bfconfig.State, error) {
	rows, err := table.Get(ctx, HeadKey)
	if err != nil {
		return nil, err
	}
	head, err := DecodeHead(rows[0])
	if err != nil {
		return nil, err
	}
	for state.Version() < head.Version {
		from, to := VersionRange(state.Version()+1, head.Version)
		rows, err := table.Range(ctx, from, to, page)
		if err != nil {
			return nil, err
		}
		if state, err = applyRows(state, rows); err != nil {
			return nil, err
		}
	}
	if held := (Head{Version: state.Version(), Digest: state.Digest()}); held != head {
		return nil, &HeadError{Held: held, Table: head}
	}
	return state, nil
}
