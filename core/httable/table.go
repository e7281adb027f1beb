package httable

import (
	"context"
	"errors"
)

// Row is one row of the table. Version is the table revision of the transaction
// that wrote it; 0 means that the row does not exist.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Writer  string `json:"writer"` // id of the transaction that wrote it
	Value   []byte `json:"value"`
}

// Write sets a row. A nil Value deletes it.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Condition requires that a row has a version; Version 0 requires its absence.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Txn is a transaction. All of its writes are applied or none. ID must be unique: it
// is stored as Writer of each row that the transaction writes, so that a reader can
// find out whether the transaction was applied if its reply was lost.
type Txn struct {
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Snapshot is a consistent read of some rows at one table revision.
type Snapshot struct {
	Revision uint64 `json:"revision"`
	Rows     []Row  `json:"rows"`
}

// Table is the table service. Implementations return the errors below, wrapped.
type Table interface {
	// Read returns the rows of keys that exist, at one revision.
	Read(ctx context.Context, keys ...string) (Snapshot, error)
	// Scan returns the rows whose key starts with prefix, at one revision.
	Scan(ctx context.Context, prefix string) (Snapshot, error)
	// Commit applies txn and returns the revision it created.
	Commit(ctx context.Context, txn Txn) (uint64, error)
}

// Errors of a Table.
var (
	// ErrConflict means that a condition did not hold; nothing was written.
	ErrConflict = errors.New("condition failed")
	// ErrUnavailable means that the service rejected the request or could not be reached; nothing was written.
	ErrUnavailable = errors.New("table service unavailable")
	// ErrResultUnknown means that the reply was lost; the transaction may have been applied.
	ErrResultUnknown = errors.New("transaction result unknown")
)
