package htmirror

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted means that the store no longer has the history that was asked for.
var ErrCompacted = errors.New("history is no longer available")

// Store reads the platform's store.
type Store interface {
	// List returns all rows of a table and the version they were read at.
	List(ctx context.Context, t Table) ([]Row, int64, error)
	// Follow returns what changed after a version. It waits for a change at most as
	// long as wait. It returns ErrCompacted, wrapped, if the history is gone.
	Follow(ctx context.Context, t Table, after int64, wait time.Duration) (Delta, error)
}
