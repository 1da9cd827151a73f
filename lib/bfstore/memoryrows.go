package bfstore

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// MemoryTableStore is an in-memory TableStore, for tests and the platform stand-in. It is safe for concurrent use.
type MemoryTableStore struct {
	mu       sync.Mutex
	revision uint64
	// tables holds each table's rows by key, removed ones included.
	tables map[string]map[string]Entry
	// compactedRevision is the revision up to which the change history was dropped.
	compactedRevision uint64
	// changed is closed and replaced at every change, to wake waiting Changes calls.
	changed chan struct{}
}

// NewMemoryTableStore returns an empty store.
func NewMemoryTableStore() *MemoryTableStore {
	return &MemoryTableStore{tables: map[string]map[string]Entry{}, changed: make(chan struct{})}
}

// List implements TableStore.
func (m *MemoryTableStore) List(_ context.Context, table string) ([]Entry, uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries := m.changedSince(table, 0)
	return slices.DeleteFunc(entries, func(e Entry) bool { return e.Removed }), m.revision, nil
}

// changedSince returns by key the rows changed after a revision; m.mu must be held.
func (m *MemoryTableStore) changedSince(table string, after uint64) []Entry {
	var entries []Entry
	for _, entry := range m.tables[table] {
		if entry.Revision > after {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

// Changes implements TableStore; its errors are *HistoryError and that of ctx.
func (m *MemoryTableStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Entry, uint64, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		entries, revision, changed, err := m.poll(table, after)
		if err != nil || len(entries) > 0 {
			return entries, revision, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (m *MemoryTableStore) poll(table string, after uint64) ([]Entry, uint64, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.compactedRevision {
		return nil, 0, nil, &HistoryError{Table: table, After: after}
	}
	return m.changedSince(table, after), m.revision, m.changed, nil
}

// Put writes a row if it still has the revision, and returns its new revision.
func (m *MemoryTableStore) Put(ctx context.Context, table, key string, value []byte, revision uint64) (uint64, error) {
	return m.Write(ctx, table, RowWrite{Key: key, Value: value, Revision: revision})
}

// Remove removes a row if it still has the revision.
func (m *MemoryTableStore) Remove(ctx context.Context, table, key string, revision uint64) error {
	_, err := m.Write(ctx, table, RowWrite{Key: key, Remove: true, Revision: revision})
	return err
}

// Write implements TableStore; its only error is a *ConflictError.
func (m *MemoryTableStore) Write(_ context.Context, table string, writes ...RowWrite) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range writes {
		if err := m.checkRevision(table, w); err != nil {
			return 0, err
		}
	}
	if m.tables[table] == nil {
		m.tables[table] = map[string]Entry{}
	}
	m.revision++
	for _, w := range writes {
		m.tables[table][w.Key] = Entry{Key: w.Key, Value: w.Value, Revision: m.revision, Removed: w.Remove}
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return m.revision, nil
}

// checkRevision returns a *ConflictError if the row's revision is not the expected one; m.mu must be held.
func (m *MemoryTableStore) checkRevision(table string, w RowWrite) error {
	held := m.tables[table][w.Key]
	present := held.Revision
	if held.Removed {
		present = 0
	}
	if present != w.Revision {
		return &ConflictError{Row: Row{Key: w.Key, Value: held.Value, Revision: present}}
	}
	return nil
}

// DropHistory drops the change history, so that Changes after an earlier revision returns a *HistoryError.
func (m *MemoryTableStore) DropHistory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compactedRevision = m.revision
	close(m.changed)
	m.changed = make(chan struct{})
}
