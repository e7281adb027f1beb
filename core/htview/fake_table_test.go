package htview_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"hawthornturn/core/httable"
)

// tableFault is how the table service behaves towards one host.
type tableFault int

const (
	tableUp tableFault = iota
	tableDown
	tableSilent // requests get no reply and have no effect
	tableSlow   // each request takes 900 ms
	tableLost   // commits take effect, but their replies are lost
	tableLate   // commits take effect 3 s after the request timed out
)

// fakeTable is an in-memory table service.
type fakeTable struct {
	mu       sync.Mutex
	revision uint64
	rows     map[string]httable.Row
}

// tableConn is the connection of one host to the table.
type tableConn struct {
	table *fakeTable
	host  *host
}

func (c tableConn) Read(ctx context.Context, keys ...string) (httable.Snapshot, error) {
	return c.query(ctx, func(key string) bool { return slices.Contains(keys, key) })
}

func (c tableConn) Scan(ctx context.Context, prefix string) (httable.Snapshot, error) {
	return c.query(ctx, func(key string) bool { return strings.HasPrefix(key, prefix) })
}

func (c tableConn) query(ctx context.Context, match func(string) bool) (httable.Snapshot, error) {
	if _, err := c.request(ctx); err != nil {
		return httable.Snapshot{}, err
	}
	snapshot := c.table.snapshot(match)
	return snapshot, c.host.gate.wait(context.Background())
}

func (c tableConn) Commit(ctx context.Context, txn httable.Txn) (uint64, error) {
	fault, err := c.request(ctx)
	if err != nil {
		return 0, err
	}
	if fault == tableLate {
		go func() {
			time.Sleep(4 * time.Second)
			_, _ = c.table.apply(txn)
		}()
		<-ctx.Done()
		return 0, httable.ErrResultUnknown
	}
	revision, err := c.table.apply(txn)
	if err := c.host.gate.wait(context.Background()); err != nil {
		return 0, err
	}
	if fault == tableLost {
		return 0, httable.ErrResultUnknown
	}
	return revision, err
}

// request simulates the delay and the faults of a request up to the point where it
// takes effect, and returns the fault in force.
func (c tableConn) request(ctx context.Context) (tableFault, error) {
	if err := c.host.gate.wait(context.Background()); err != nil {
		return 0, err
	}
	fault, delay := c.host.tableFault(), time.Millisecond
	switch fault {
	case tableDown:
		return fault, httable.ErrUnavailable
	case tableSilent:
		<-ctx.Done()
		return fault, httable.ErrResultUnknown
	case tableSlow:
		delay = 900 * time.Millisecond
	}
	time.Sleep(delay)
	return fault, nil
}

func (t *fakeTable) snapshot(match func(string) bool) httable.Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	snapshot := httable.Snapshot{Revision: t.revision}
	for key, row := range t.rows {
		if match(key) {
			snapshot.Rows = append(snapshot.Rows, row)
		}
	}
	return snapshot
}

func (t *fakeTable) apply(txn httable.Txn) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return 0, httable.ErrConflict
		}
	}
	t.revision++
	for _, w := range txn.Writes {
		delete(t.rows, w.Key)
		if w.Value != nil {
			t.rows[w.Key] = httable.Row{Key: w.Key, Version: t.revision, Writer: txn.ID, Value: w.Value}
		}
	}
	return t.revision, nil
}
