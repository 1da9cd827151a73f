package bfstore

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// MemoryRows is a Rows in memory, for tests and stand-ins.
type MemoryRows struct {
	mu       sync.Mutex
	revision uint64
	// tables holds each table's rows by key, removed ones included.
	tables map[string]map[string]Entry
	// dropped is the revision up to which changes are no longer told.
	dropped uint64
	changed chan struct{}
}

// NewMemoryRows makes an empty store.
func NewMemoryRows() *MemoryRows {
	return &MemoryRows{tables: map[string]map[string]Entry{}, changed: make(chan struct{})}
}

// List reads a whole table.
func (m *MemoryRows) List(_ context.Context, table string) ([]Entry, uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries := m.since(table, 0)
	return slices.DeleteFunc(entries, func(e Entry) bool { return e.Removed }), m.revision, nil
}

// since lists the rows changed after a revision by key; it needs the lock.
func (m *MemoryRows) since(table string, after uint64) []Entry {
	var entries []Entry
	for _, entry := range m.tables[table] {
		if entry.Revision > after {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

// Changes waits for rows changed after a revision.
func (m *MemoryRows) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Entry, uint64, error) {
	over := time.NewTimer(wait)
	defer over.Stop()
	for {
		entries, revision, changed, err := m.look(table, after)
		if err != nil || len(entries) > 0 {
			return entries, revision, err
		}
		select {
		case <-changed:
		case <-over.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (m *MemoryRows) look(table string, after uint64) ([]Entry, uint64, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.dropped {
		return nil, 0, nil, &HistoryError{Table: table, After: after}
	}
	return m.since(table, after), m.revision, m.changed, nil
}

// Put writes a row that still has the revision.
func (m *MemoryRows) Put(ctx context.Context, table, key string, value []byte, revision uint64) (uint64, error) {
	return m.Write(ctx, table, RowWrite{Key: key, Value: value, Revision: revision})
}

// Remove removes a row that still has the revision.
func (m *MemoryRows) Remove(ctx context.Context, table, key string, revision uint64) error {
	_, err := m.Write(ctx, table, RowWrite{Key: key, Remove: true, Revision: revision})
	return err
}

// Write makes all of the writes or none of them.
func (m *MemoryRows) Write(_ context.Context, table string, writes ...RowWrite) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range writes {
		if err := m.check(table, w); err != nil {
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

// check reports a row that is not as a write expects it; it needs the lock.
func (m *MemoryRows) check(table string, w RowWrite) error {
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

// DropHistory forgets all changes so far: who follows from before must list anew.
func (m *MemoryRows) DropHistory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropped = m.revision
	close(m.changed)
	m.changed = make(chan struct{})
}
