package bfstore

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/google/btree"
)

// Memory is an in-memory Table and ObjectStore. It is safe for concurrent use.
type Memory struct {
	mu       sync.RWMutex
	rows     *btree.BTreeG[Row]
	revision uint64
	objects  map[string][]byte
}

// NewMemory returns an empty table and object store.
func NewMemory() *Memory {
	const degree = 16
	less := func(a, b Row) bool { return a.Key < b.Key }
	return &Memory{rows: btree.NewG(degree, less), objects: map[string][]byte{}}
}

// Get implements Table.
func (m *Memory) Get(_ context.Context, keys ...string) ([]Row, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	rows := make([]Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, m.row(key))
	}
	return rows, nil
}

// row returns the row with key; m.mu must be held.
func (m *Memory) row(key string) Row {
	if row, found := m.rows.Get(Row{Key: key}); found {
		return row
	}
	return Row{Key: key}
}

// Range implements Table.
func (m *Memory) Range(_ context.Context, from, to string, limit int) ([]Row, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var rows []Row
	m.rows.AscendRange(Row{Key: from}, Row{Key: to}, func(row Row) bool {
		if len(rows) >= limit {
			return false
		}
		rows = append(rows, row)
		return true
	})
	return rows, nil
}

// Commit implements Table; its only error is a *ConflictError.
func (m *Memory) Commit(_ context.Context, tx Transaction) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, condition := range tx.Conditions {
		if row := m.row(condition.Key); row.Revision != condition.Revision {
			return &ConflictError{Row: row}
		}
	}
	m.revision++
	for _, write := range tx.Writes {
		if write.Remove {
			m.rows.Delete(Row{Key: write.Key})
			continue
		}
		m.rows.ReplaceOrInsert(Row{Key: write.Key, Value: slices.Clone(write.Value), Revision: m.revision})
	}
	return nil
}

// PutObject implements ObjectStore.
func (m *Memory) PutObject(_ context.Context, name string, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects[name] = slices.Clone(data)
	return nil
}

// Object implements ObjectStore; its only error is a *NotFoundError.
func (m *Memory) Object(_ context.Context, name string) ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	data, found := m.objects[name]
	if !found {
		return nil, &NotFoundError{Name: name}
	}
	return data, nil
}

// ListObjects implements ObjectStore.
func (m *Memory) ListObjects(_ context.Context, prefix string) ([]string, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var names []string
	for name := range m.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, nil
}

// DeleteObject implements ObjectStore.
func (m *Memory) DeleteObject(_ context.Context, name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.objects, name)
	return nil
}
