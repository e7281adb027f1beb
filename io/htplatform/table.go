package htplatform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"hawthornturn/core/httable"
)

// Table is the client of the platform's table service. It implements httable.Table and is
// safe for concurrent use.
type Table struct {
	client *Client
}

var _ httable.Table = (*Table)(nil)

// NewTable returns a Table of the platform that s names.
func NewTable(s Settings) *Table {
	return &Table{client: NewClient(s)}
}

// Close closes idle connections.
func (t *Table) Close() {
	t.client.close()
}

// Read implements httable.Table.
func (t *Table) Read(ctx context.Context, keys ...string) (httable.Snapshot, error) {
	return t.getRows(ctx, url.Values{"key": keys})
}

// Scan implements httable.Table.
func (t *Table) Scan(ctx context.Context, prefix string) (httable.Snapshot, error) {
	return t.getRows(ctx, url.Values{"prefix": {prefix}})
}

func (t *Table) getRows(ctx context.Context, query url.Values) (httable.Snapshot, error) {
	var snapshot httable.Snapshot
	err := t.client.Do(ctx, http.MethodGet, "/table/rows?"+query.Encode(), nil, &snapshot)
	if err != nil {
		return httable.Snapshot{}, fmt.Errorf("read table: %w: %w", httable.ErrUnavailable, err)
	}
	return snapshot, nil
}

// Commit implements httable.Table.
func (t *Table) Commit(ctx context.Context, txn httable.Txn) (uint64, error) {
	var committed struct {
		Revision uint64 `json:"revision"`
	}
	err := t.client.Do(ctx, http.MethodPost, "/table/transactions", txn, &committed)
	if err != nil {
		return 0, fmt.Errorf("commit transaction %s: %w", txn.ID, classifyCommit(err))
	}
	return committed.Revision, nil
}

// classifyCommit wraps err in the httable error that says whether the transaction may have
// been applied. A response that is neither a success nor a clear rejection may come from a
// service that failed partway, so it leaves the result unknown.
func classifyCommit(err error) error {
	var transportErr *TransportError
	if errors.As(err, &transportErr) {
		if transportErr.MayBeSent {
			return fmt.Errorf("%w: %w", httable.ErrResultUnknown, err)
		}
		return fmt.Errorf("%w: %w", httable.ErrUnavailable, err)
	}
	var statusErr *StatusError
	if !errors.As(err, &statusErr) {
		return err
	}
	switch statusErr.Status {
	case http.StatusConflict:
		return fmt.Errorf("%w: %w", httable.ErrConflict, err)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %w", httable.ErrUnavailable, err)
	}
	if statusErr.Status >= 400 && statusErr.Status <= 499 {
		return err
	}
	return fmt.Errorf("%w: %w", httable.ErrResultUnknown, err)
}
