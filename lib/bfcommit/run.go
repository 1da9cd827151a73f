package bfcommit

import (
	"context"
	"errors"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// Clock tells the time and waits.
type Clock interface {
	Now() time.Time
	// WaitUntil returns at the time, or with an error once ctx ends.
	WaitUntil(ctx context.Context, until time.Time) error
}

// TimerClock is a Clock that subscribes to the timer service.
type TimerClock struct{ Service *bftimer.Service }

// Now is the service's time.
func (c TimerClock) Now() time.Time { return c.Service.Now() }

// WaitUntil waits for one subscription.
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

// Run carries the attempt out on table until its outcome is known.
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
	var away *bfstore.UnavailableError
	if errors.As(err, &away) {
		failed.RetryAfter = away.RetryAfter
	}
	return failed
}

// commitEvent takes every error that does not say otherwise as an unknown outcome.
func commitEvent(err error) Event {
	var conflict *bfstore.ConflictError
	var away *bfstore.UnavailableError
	switch {
	case err == nil:
		return CommitApplied{}
	case errors.As(err, &conflict):
		return CommitConflicted{}
	case errors.As(err, &away):
		return CommitUnavailable{Reason: err, RetryAfter: away.RetryAfter}
	}
	return CommitUnknown{Reason: err}
}

// Unusable is a snapshot that was passed over, and why.
type Unusable struct {
	Version bfconfig.Version
	Err     error
}

// Load builds the newest version from the platform: the newest usable snapshot and the deltas after it.
//
// A snapshot may be missing, cut short, or hold another version than its name
// says; the one before it, and in the end the empty version 0, leads to the
// same state, only by more deltas.
func Load(ctx context.Context, table bfstore.Table, objects bfstore.Objects, page int) (*bfconfig.State, []Unusable, error) {
	names, err := objects.ListObjects(ctx, snapshotPrefix)
	if err != nil {
		names = nil // with the object store away the deltas alone still lead there
	}
	var unusable []Unusable
	for _, version := range append(PickSnapshot(names), 0) {
		snapshot, err := loadSnapshot(ctx, objects, version)
		if err != nil {
			unusable = append(unusable, Unusable{Version: version, Err: err})
			continue
		}
		state, err := follow(ctx, table, snapshot, page)
		var away *bfstore.UnavailableError
		switch {
		case err == nil:
			return state, unusable, nil
		case errors.As(err, &away):
			return nil, unusable, err // an older snapshot would need the table too
		}
		unusable = append(unusable, Unusable{Version: version, Err: err})
	}
	return nil, unusable, unusable[len(unusable)-1].Err
}

func loadSnapshot(ctx context.Context, objects bfstore.Objects, version bfconfig.Version) (*bfconfig.State, error) {
	if version == 0 {
		return bfconfig.Empty(), nil
	}
	data, err := objects.Object(ctx, SnapshotKey(version))
	if err != nil {
		return nil, err
	}
	return bfconfig.Restore(data, version)
}

// follow applies deltas until the head that was read first is reached.
func follow(ctx context.Context, table bfstore.Table, state *bfconfig.State, page int) (*bfconfig.State, error) {
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
