package bfera

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfstore"
)

// Store is a bfstore.TableStore whose results all belong to the newest known era. It is safe for
// concurrent use.
type Store struct {
	rows   bfstore.TableStore
	logger *bflog.Logger
	era    atomic.Uint64
}

// New returns a Store that makes its calls to rows, whose revisions have the era of the answer.
func New(rows bfstore.TableStore, logger *bflog.Logger) *Store {
	return &Store{rows: rows, logger: logger}
}

// Era returns the newest known era, 0 before the first answer.
func (s *Store) Era() uint64 { return s.era.Load() }

// Observe records an era that another node has seen.
func (s *Store) Observe(era uint64) {
	for {
		held := s.era.Load()
		if era <= held {
			return
		}
		if s.era.CompareAndSwap(held, era) {
			if held > 0 {
				s.logger.Emit(bflog.StoreEraBegan, slog.Uint64("era", era), slog.Uint64("previous", held))
			}
			return
		}
	}
}

// accept records the era of an answer and reports whether the answer belongs to the newest era.
// Answers of earlier eras were delayed on their way.
func (s *Store) accept(call string, era uint64) bool {
	s.Observe(era)
	if held := s.era.Load(); era != held {
		s.logger.Emit(bflog.StoreEraIgnored, slog.String("call", call), slog.Uint64("era", era), slog.Uint64("current", held))
		return false
	}
	return true
}

// List implements bfstore.TableStore.
func (s *Store) List(ctx context.Context, table string) ([]bfstore.Entry, bfstore.Revision, error) {
	entries, revision, err := s.rows.List(ctx, table)
	if err != nil {
		return nil, 0, err
	}
	if !s.accept("list", revision.Era()) {
		return nil, 0, &bfstore.UnavailableError{Reason: "answer of an earlier era"}
	}
	return entries, revision, nil
}

// Get implements bfstore.TableStore.
func (s *Store) Get(ctx context.Context, table, key string) (bfstore.Entry, error) {
	entry, err := s.rows.Get(ctx, table, key)
	if err != nil {
		return bfstore.Entry{}, err
	}
	if !s.accept("get", entry.Revision.Era()) {
		return bfstore.Entry{}, &bfstore.UnavailableError{Reason: "answer of an earlier era"}
	}
	return entry, nil
}

// Changes implements bfstore.TableStore. It returns a *bfstore.HistoryError if the store has begun
// another era since the revision: the store would return the rows that were changed after the
// same number in the new era, and skip the ones that differ before it.
func (s *Store) Changes(ctx context.Context, table string, after bfstore.Revision, wait time.Duration) ([]bfstore.Entry, bfstore.Revision, error) {
	s.Observe(after.Era())
	if after.Era() != s.Era() {
		return nil, 0, &bfstore.HistoryError{Table: table, After: after}
	}
	entries, revision, err := s.rows.Changes(ctx, table, after, wait)
	if err != nil {
		return nil, 0, err
	}
	if !s.accept("changes", revision.Era()) || revision.Era() != after.Era() {
		return nil, 0, &bfstore.HistoryError{Table: table, After: after}
	}
	return entries, revision, nil
}

// Write implements bfstore.TableStore. A write whose condition is a revision of an earlier era is a
// conflict: the row may have the same number by chance. A write during which the store began
// another era has an unknown outcome.
func (s *Store) Write(ctx context.Context, table string, writes ...bfstore.RowWrite) (bfstore.Revision, error) {
	for _, w := range writes {
		s.Observe(w.Revision.Era())
	}
	era := s.Era()
	for _, w := range writes {
		if w.Revision != 0 && w.Revision.Era() != era {
			return 0, &bfstore.ConflictError{Row: bfstore.Row{Key: w.Key}}
		}
	}
	revision, err := s.rows.Write(ctx, table, writes...)
	if err != nil {
		return 0, err
	}
	if !s.accept("write", revision.Era()) || era > 0 && revision.Era() != era {
		return 0, &bfstore.UnknownError{Reason: "the store began another era during the write"}
	}
	return revision, nil
}
