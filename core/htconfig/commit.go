package htconfig

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"hawthornturn/core/httable"
)

// Bounds of the exponential backoff between attempts to read the result of a
// transaction, and between attempts to write after a conflict.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// commitUntilKnown commits a transaction and retries until its result is known or
// ctx ends. It returns the table version that the transaction created, or 0 if it
// was applied but another transaction has followed. ErrConflict and ErrUnavailable
// mean that it was not applied and will not be. ErrResultUnknown means that ctx ended
// before the result was known.
func (s *Store) commitUntilKnown(ctx context.Context, txn httable.Txn, base *State) (uint64, error) {
	unknown := false
	backoff := minBackoff
	for {
		version, err := httable.CommitWithReadBack(ctx, s.table, txn)
		if err == nil {
			return version, nil
		}
		if errors.Is(err, httable.ErrResultUnknown) {
			unknown = true
		}
		if !unknown {
			return 0, fmt.Errorf("write declared state: %w", err)
		}
		version, err = s.readResult(ctx, txn, base)
		if err == nil || errors.Is(err, httable.ErrConflict) {
			return version, err
		}
		// The transaction has not been applied yet, or the table does not respond.
		// Committing it again is safe: its condition on the head version can hold
		// only once.
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("transaction %s: %w", txn.ID, httable.ErrResultUnknown)
		case <-time.After(backoff):
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

var errPending = errors.New("transaction not applied yet")

// readResult reads the head row to find out whether a transaction based on base was
// applied. If it was, it returns the table version, or 0 if another transaction has
// followed. Otherwise it returns errPending if the head is unchanged, ErrConflict if
// the transaction can no longer be applied, and ErrResultUnknown if more transactions have
// followed than the head lists.
func (s *Store) readResult(ctx context.Context, txn httable.Txn, base *State) (uint64, error) {
	head, version, err := s.readHead(ctx)
	if err != nil {
		return 0, err
	}
	if version == base.headTableVersion {
		return 0, errPending
	}
	index := slices.Index(head.Recent, txn.ID)
	switch {
	case index >= 0 && index == len(head.Recent)-1:
		return version, nil
	case index >= 0:
		return 0, nil
	case head.Revision-base.head.Revision <= uint64(len(head.Recent)):
		return 0, fmt.Errorf("transaction %s: %w", txn.ID, httable.ErrConflict)
	}
	return 0, fmt.Errorf("transaction %s: too many later transactions: %w", txn.ID, httable.ErrResultUnknown)
}
