package htmirror

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted means that the store no longer has the requested history.
var ErrCompacted = errors.New("history is no longer available")

// Store reads the platform's store.
type Store interface {
	// List returns all rows of a table, of one era, and the version at which the list is
	// complete. Rows that changed while the table was read may be newer; Follow from that version
	// on returns all such changes.
	List(ctx context.Context, t Table) (Delta, error)
	// Follow returns the changes after a version, and waits for one at most for the
	// duration wait. It returns an error that wraps ErrCompacted if the history from
	// that version on is no longer available. If the delta is of another era than the version,
	// changes before it are missing, and the table has to be listed.
	Follow(ctx context.Context, t Table, after int64, wait time.Duration) (Delta, error)
}
