package bfdeparture

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"bilberryflow.org/lib/bflifecycle"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfstore"
)

const (
	// minPatience and maxPatience bound the time of a call of the store. A silent store must leave other
	// nodes the time to write the row before the target repeats its report; a slow one takes half a second.
	minPatience = 600 * time.Millisecond
	maxPatience = 2 * time.Second
	// consultDelay is longer than the store takes, consultInterval the time between two looks for members.
	consultDelay    = 100 * time.Millisecond
	consultInterval = 50 * time.Millisecond
)

// get reads the row, through another node if the store doesn't answer this one.
func (j *Journal) get(ctx context.Context) (bfstore.Entry, error) {
	if j.config.Network == nil {
		return j.config.Rows.Get(ctx, j.config.Table, j.config.Key)
	}
	own, cancel := context.WithTimeout(ctx, j.patience)
	defer cancel()
	entry, err := j.config.Rows.Get(own, j.config.Table, j.config.Key)
	if err == nil {
		return entry, nil
	}
	advice := j.config.Network.read(ctx, j.config.Key, true)
	j.advise(advice.kept)
	if advice.row == nil {
		return bfstore.Entry{}, err
	}
	return *advice.row, nil
}

// put writes the row, through another node if the store doesn't answer this one. The condition keeps a write
// whose answer was lost from being made twice.
func (j *Journal) put(ctx context.Context, write bfstore.RowWrite) (bfstore.Revision, error) {
	j.writes.Add(1)
	if j.config.Network == nil {
		return j.config.Rows.Write(ctx, j.config.Table, write)
	}
	own, cancel := context.WithTimeout(ctx, j.patience)
	defer cancel()
	revision, err := j.config.Rows.Write(own, j.config.Table, write)
	var conflict *bfstore.ConflictError
	if err == nil || errors.As(err, &conflict) || ctx.Err() != nil {
		return revision, err
	}
	revision, relayErr := j.config.Network.write(ctx, write)
	if relayErr != nil {
		// An unknown outcome of either write is one of both.
		return 0, errors.Join(err, relayErr)
	}
	return revision, nil
}

// tellKeepers tells other nodes of departures that they were not told of.
func (j *Journal) tellKeepers() error {
	j.mu.Lock()
	changes, departures := j.changes, merge(j.earlier, j.recorded)
	j.mu.Unlock()
	if j.config.Network == nil || j.told == changes {
		return nil
	}
	value, err := encode(departures, 0)
	if err != nil {
		return err
	}
	j.told = changes
	j.config.Network.tell(j.config.Key, value)
	return nil
}

// consult asks other nodes for departures that they keep, unless the row is read meanwhile.
func (j *Journal) consult(ctx context.Context) error {
	for pause := consultDelay; j.config.Timer.Wait(ctx, pause) == nil && !j.consulted.Load(); pause = consultInterval {
		if !j.config.Network.MembersKnown() {
			continue
		}
		advice := j.config.Network.read(ctx, j.config.Key, false)
		j.advise(advice.kept)
		j.consulted.Store(true)
		j.config.Logger.Emit(bflog.DeparturesAdvised, slog.Int("nodes", advice.asked), slog.Int("departures", len(advice.kept)))
	}
	return nil
}

// advise passes on departures that other nodes kept. The store may lack them, so that they count as not yet
// written: a report of one of them must not be acknowledged before.
func (j *Journal) advise(kept []bflifecycle.Departure) {
	if len(kept) == 0 {
		return
	}
	j.mu.Lock()
	j.earlier = merge(j.earlier, kept)
	j.changes++
	j.mu.Unlock()
	j.config.Advised(kept)
	j.notify()
}
