package htstand

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"hawthornturn/core/httable"
)

// table holds rows in memory. Every method is atomic.
type table struct {
	mu       sync.Mutex
	revision uint64
	rows     map[string]httable.Row
}

func newTable() *table {
	return &table{rows: map[string]httable.Row{}}
}

// read returns the existing rows among keys, in the order of keys.
func (t *table) read(keys []string) httable.Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	snapshot := httable.Snapshot{Revision: t.revision, Rows: []httable.Row{}}
	for _, k := range keys {
		if r, ok := t.rows[k]; ok {
			snapshot.Rows = append(snapshot.Rows, r)
		}
	}
	return snapshot
}

// scan returns the rows whose key starts with prefix, sorted by key.
func (t *table) scan(prefix string) httable.Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	snapshot := httable.Snapshot{Revision: t.revision, Rows: []httable.Row{}}
	for k, r := range t.rows {
		if strings.HasPrefix(k, prefix) {
			snapshot.Rows = append(snapshot.Rows, r)
		}
	}
	slices.SortFunc(snapshot.Rows, func(a, b httable.Row) int { return strings.Compare(a.Key, b.Key) })
	return snapshot
}

// commit applies txn if all its conditions hold. Otherwise it returns
// httable.ErrConflict and changes nothing.
func (t *table) commit(txn httable.Txn) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Conditions {
		if v := t.rows[c.Key].Version; v != c.Version {
			return 0, fmt.Errorf("%s has version %d, not %d: %w", c.Key, v, c.Version, httable.ErrConflict)
		}
	}
	t.revision++
	for _, w := range txn.Writes {
		if w.Value == nil {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = httable.Row{Key: w.Key, Version: t.revision, Writer: txn.ID, Value: w.Value}
	}
	return t.revision, nil
}
