package bfstore

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/google/btree"
)

// Memory is a table and an object store in memory; nothing outlives the process.
type Memory struct {
	mu       sync.RWMutex
	rows     *btree.BTreeG[Row]
	revision uint64
	objects  map[string][]byte
}

// NewMemory makes an empty table and object store.
func NewMemory() *Memory {
	const degree = 16
	less := func(a, b Row) bool { return a.Key < b.Key }
	return &Memory{rows: btree.NewG(degree, less), objects: map[string][]byte{}}
}

// Get reads rows as of one moment.
func (m *Memory) Get(_ context.Context, keys ...string) ([]Row, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	rows := make([]Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, m.row(key))
	}
	return rows, nil
}

// row needs the lock.
func (m *Memory) row(key string) Row {
	if row, found := m.rows.Get(Row{Key: key}); found {
		return row
	}
	return Row{Key: key}
}

// Range reads up to limit rows with from <= key < to.
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

// Commit runs the transaction.
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

// PutObject stores data under name.
func (m *Memory) PutObject(_ context.Context, name string, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects[name] = slices.Clone(data)
	return nil
}

// Object reads what is stored under name.
func (m *Memory) Object(_ context.Context, name string) ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	data, found := m.objects[name]
	if !found {
		return nil, &NotFoundError{Name: name}
	}
	return data, nil
}

// ListObjects lists the names that start with prefix.
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

// DeleteObject removes what is stored under name.
func (m *Memory) DeleteObject(_ context.Context, name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.objects, name)
	return nil
}
