package bfstore

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// MemoryTableStore is an in-memory TableStore, for tests and the platform stand-in. It is safe for concurrent use.
type MemoryTableStore struct {
	mu sync.Mutex
	// era counts the restores from a copy, number the writes.
	era, number uint64
	// tables holds each table's rows by key, removed ones included. Their revisions have no era:
	// a row keeps its number over a restore, and is returned with the store's present era.
	tables map[string]map[string]Entry
	// compacted is the number up to which the change history was dropped.
	compacted uint64
	// changed is closed and replaced at every change, to wake waiting Changes calls.
	changed chan struct{}
}

// firstEra is the era of a store that was never restored.
const firstEra = 1

// NewMemoryTableStore returns an empty store.
func NewMemoryTableStore() *MemoryTableStore {
	return &MemoryTableStore{era: firstEra, tables: map[string]map[string]Entry{}, changed: make(chan struct{})}
}

// List implements TableStore.
func (m *MemoryTableStore) List(_ context.Context, table string) ([]Entry, Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries := m.changedSince(table, 0)
	return slices.DeleteFunc(entries, func(e Entry) bool { return e.Removed }), m.revision(), nil
}

// Get implements TableStore.
func (m *MemoryTableStore) Get(_ context.Context, table, key string) (Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, found := m.tables[table][key]
	if !found || entry.Removed {
		return Entry{Key: key, Removed: true, Revision: m.revision()}, nil
	}
	entry.Revision = RevisionOf(m.era, entry.Revision.Number())
	return entry, nil
}

// revision returns the store's present revision; m.mu must be held.
func (m *MemoryTableStore) revision() Revision { return RevisionOf(m.era, m.number) }

// changedSince returns by key the rows changed after a number; m.mu must be held.
func (m *MemoryTableStore) changedSince(table string, after uint64) []Entry {
	var entries []Entry
	for _, entry := range m.tables[table] {
		if number := entry.Revision.Number(); number > after {
			entry.Revision = RevisionOf(m.era, number)
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

// Changes implements TableStore; its errors are *HistoryError and that of ctx. Like the
// platform's store it receives a number without its era: after a restore it returns the rows
// changed after that number in the new era.
func (m *MemoryTableStore) Changes(ctx context.Context, table string, after Revision, wait time.Duration) ([]Entry, Revision, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		entries, revision, changed, err := m.poll(table, after.Number())
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

func (m *MemoryTableStore) poll(table string, after uint64) ([]Entry, Revision, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.compacted || after > m.number {
		return nil, 0, nil, &HistoryError{Table: table, After: RevisionOf(m.era, after)}
	}
	return m.changedSince(table, after), m.revision(), m.changed, nil
}

// Put writes a row if it still has the revision, and returns its new revision.
func (m *MemoryTableStore) Put(ctx context.Context, table, key string, value []byte, revision Revision) (Revision, error) {
	return m.Write(ctx, table, RowWrite{Key: key, Value: value, Revision: revision})
}

// Remove removes a row if it still has the revision.
func (m *MemoryTableStore) Remove(ctx context.Context, table, key string, revision Revision) error {
	_, err := m.Write(ctx, table, RowWrite{Key: key, Remove: true, Revision: revision})
	return err
}

// Write implements TableStore; its only error is a *ConflictError. Like the platform's store it
// compares the numbers of the expected revisions only.
func (m *MemoryTableStore) Write(_ context.Context, table string, writes ...RowWrite) (Revision, error) {
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
	m.number++
	for _, w := range writes {
		m.tables[table][w.Key] = Entry{Key: w.Key, Value: w.Value, Revision: RevisionOf(0, m.number), Removed: w.Remove}
	}
	m.wake()
	return m.revision(), nil
}

// checkRevision returns a *ConflictError if the row's revision is not the expected one; m.mu must be held.
func (m *MemoryTableStore) checkRevision(table string, w RowWrite) error {
	held := m.tables[table][w.Key]
	present := held.Revision
	if held.Removed {
		present = 0
	}
	if present.Number() != w.Revision.Number() {
		return &ConflictError{Row: Row{Key: w.Key, Value: held.Value, Revision: present.Number()}}
	}
	return nil
}

// wake wakes the waiting Changes calls; m.mu must be held.
func (m *MemoryTableStore) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// DropHistory drops the change history, so that Changes after an earlier revision returns a *HistoryError.
func (m *MemoryTableStore) DropHistory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compacted = m.number
	m.wake()
}

// Era returns the store's era, which each Restore raises by one.
func (m *MemoryTableStore) Era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// Backup is a copy of a MemoryTableStore's rows.
type Backup struct {
	number uint64
	tables map[string]map[string]Entry
}

// Backup returns a copy of the store's present rows.
func (m *MemoryTableStore) Backup() Backup {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Backup{number: m.number, tables: cloneTables(m.tables)}
}

// Restore replaces the store's rows and its counter by those of a copy and begins the next era.
func (m *MemoryTableStore) Restore(from Backup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.number, m.tables = from.number, cloneTables(from.tables)
	m.compacted = min(m.compacted, m.number)
	m.wake()
}

func cloneTables(tables map[string]map[string]Entry) map[string]map[string]Entry {
	clone := make(map[string]map[string]Entry, len(tables))
	for name, rows := range tables {
		clone[name] = maps.Clone(rows)
	}
	return clone
}
