package htconfig

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"hawthornturn/core/httable"
)

// Pauses between attempts to learn the result of a transaction.
const (
	firstPause   = 50 * time.Millisecond
	longestPause = time.Second
)

// settle commits a transaction and stays with it until its result is known or ctx
// ends. It returns the table version that it created, or 0 if it was applied but
// another transaction has followed. ErrConflict and ErrUnavailable mean that it
// was not applied and will not be; ErrUnsure that ctx ended first.
func (s *Store) settle(ctx context.Context, txn httable.Txn, base *State) (uint64, error) {
	unsure := false
	pause := firstPause
	for {
		version, err := httable.CommitWithReadBack(ctx, s.table, txn)
		if err == nil {
			return version, nil
		}
		if errors.Is(err, httable.ErrResultUnknown) {
			unsure = true
		}
		if !unsure {
			return 0, fmt.Errorf("write declared state: %w", err)
		}
		version, err = s.readResult(ctx, txn, base)
		if err == nil || errors.Is(err, httable.ErrConflict) {
			return version, err
		}
		// The transaction has not been applied yet, or the table does not answer.
		// Committing it again is safe: its condition on the head holds once.
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("transaction %s: %w", txn.ID, httable.ErrResultUnknown)
		case <-time.After(pause):
			pause = min(2*pause, longestPause)
		}
	}
}

var errPending = errors.New("transaction not applied yet")

// readResult learns from the head whether a transaction on top of base was
// applied.
func (s *Store) readResult(ctx context.Context, txn httable.Txn, base *State) (uint64, error) {
	head, version, err := s.readHead(ctx)
	if err != nil {
		return 0, err
	}
	if version == base.headVersion {
		return 0, errPending
	}
	at := slices.Index(head.Recent, txn.ID)
	switch {
	case at >= 0 && at == len(head.Recent)-1:
		return version, nil
	case at >= 0:
		return 0, nil
	case head.Revision-base.head.Revision <= uint64(len(head.Recent)):
		return 0, fmt.Errorf("transaction %s: %w", txn.ID, httable.ErrConflict)
	}
	return 0, fmt.Errorf("transaction %s: too many others have followed: %w", txn.ID, httable.ErrResultUnknown)
}
