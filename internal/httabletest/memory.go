// Package httabletest provides an in-memory table service for tests.
package httabletest

import (
	"context"
	"slices"
	"strings"
	"sync"

	"hawthornturn/core/httable"
)

// Memory is an in-memory table service. It keeps the ids of applied transactions, so
// that tests can detect transactions that were applied twice.
type Memory struct {
	mu          sync.Mutex
	revision    uint64
	rows        map[string]httable.Row
	applied     []string
	unavailable bool
}

// New returns an empty table.
func New() *Memory {
	return &Memory{rows: map[string]httable.Row{}}
}

// SetUnavailable sets whether every call fails with ErrUnavailable.
func (m *Memory) SetUnavailable(unavailable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable = unavailable
}

// AppliedIDs returns the ids of the applied transactions in the order of their commits.
func (m *Memory) AppliedIDs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.applied)
}

// Read implements httable.Table.
func (m *Memory) Read(_ context.Context, keys ...string) (httable.Snapshot, error) {
	return m.filter(func(key string) bool { return slices.Contains(keys, key) })
}

// Scan implements httable.Table.
func (m *Memory) Scan(_ context.Context, prefix string) (httable.Snapshot, error) {
	return m.filter(func(key string) bool { return strings.HasPrefix(key, prefix) })
}

func (m *Memory) filter(keep func(string) bool) (httable.Snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return httable.Snapshot{}, httable.ErrUnavailable
	}
	s := httable.Snapshot{Revision: m.revision}
	for key, row := range m.rows {
		if keep(key) {
			s.Rows = append(s.Rows, row)
		}
	}
	return s, nil
}

// Commit implements httable.Table.
func (m *Memory) Commit(_ context.Context, txn httable.Txn) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return 0, httable.ErrUnavailable
	}
	for _, c := range txn.Conditions {
		if m.rows[c.Key].Version != c.Version {
			return 0, httable.ErrConflict
		}
	}
	m.revision++
	m.applied = append(m.applied, txn.ID)
	for _, w := range txn.Writes {
		if w.Value == nil {
			delete(m.rows, w.Key)
			continue
		}
		m.rows[w.Key] = httable.Row{Key: w.Key, Version: m.revision, Writer: txn.ID, Value: w.Value}
	}
	return m.revision, nil
}
