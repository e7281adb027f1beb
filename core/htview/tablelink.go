package htview

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"hawthornturn/core/httable"
)

const (
	viewKey     = "view/current"
	leasePrefix = "lease/"
)

// tableLink is a Table that adds a timeout to each request and reports each request
// that reached the table to onContact.
type tableLink struct {
	table     httable.Table
	now       func() time.Time
	onContact func(sent, answered time.Time)
}

// Read implements httable.Table.
func (l tableLink) Read(ctx context.Context, keys ...string) (httable.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, tableRequestTimeout)
	defer cancel()
	sent := l.now()
	snapshot, err := l.table.Read(ctx, keys...)
	l.reportContact(sent, err)
	return snapshot, err
}

// Scan implements httable.Table.
func (l tableLink) Scan(ctx context.Context, prefix string) (httable.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, tableRequestTimeout)
	defer cancel()
	sent := l.now()
	snapshot, err := l.table.Scan(ctx, prefix)
	l.reportContact(sent, err)
	return snapshot, err
}

// Commit implements httable.Table.
func (l tableLink) Commit(ctx context.Context, txn httable.Txn) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tableRequestTimeout)
	defer cancel()
	sent := l.now()
	version, err := l.table.Commit(ctx, txn)
	l.reportContact(sent, err)
	return version, err
}

func (l tableLink) reportContact(sent time.Time, err error) {
	if err == nil || errors.Is(err, httable.ErrConflict) {
		l.onContact(sent, l.now())
	}
}

func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err)) // cannot happen: the row types contain only strings and numbers
	}
	return data
}

// findLeaseRow returns the lease row of the host, or ErrNotMember if the snapshot has
// none.
func findLeaseRow(s httable.Snapshot, host string) (httable.Row, Lease, error) {
	for _, row := range s.Rows {
		if row.Key != leasePrefix+host {
			continue
		}
		l, err := decodeLease(row)
		return row, l, err
	}
	return httable.Row{}, Lease{}, fmt.Errorf("%s%s: %w", leasePrefix, host, ErrNotMember)
}

func decodeLease(row httable.Row) (Lease, error) {
	var l Lease
	if err := json.Unmarshal(row.Value, &l); err != nil {
		return Lease{}, fmt.Errorf("decode %s: %w", row.Key, err)
	}
	return l, nil
}

// findViewRow returns the view row, or the empty view at version 0 if the snapshot
// has none.
func findViewRow(s httable.Snapshot) (tableView, error) {
	for _, row := range s.Rows {
		if row.Key != viewKey {
			continue
		}
		t := tableView{version: row.Version}
		if err := json.Unmarshal(row.Value, &t.view); err != nil {
			return tableView{}, fmt.Errorf("decode %s: %w", row.Key, err)
		}
		return t, nil
	}
	return tableView{}, nil
}
