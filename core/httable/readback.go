package httable

import (
	"context"
	"errors"
	"fmt"
)

// CommitWithReadBack commits txn and, when the answer is lost, reads a written row back
// to learn whether the transaction was applied. The first write of txn must be a
// row that every competing transaction also conditions on; its Writer decides.
// It returns ErrUnsure only if the row could not be read either.
func CommitWithReadBack(ctx context.Context, t Table, txn Txn) (uint64, error) {
	revision, err := t.Commit(ctx, txn)
	if !errors.Is(err, ErrResultUnknown) {
		return revision, err
	}
	if len(txn.Writes) == 0 {
		return 0, err
	}
	first := txn.Writes[0].Key
	snapshot, readErr := t.Read(ctx, first)
	if readErr != nil {
		return 0, fmt.Errorf("read back %s: %w", first, errors.Join(ErrResultUnknown, readErr))
	}
	for _, row := range snapshot.Rows {
		if row.Key == first && row.Writer == txn.ID {
			return row.Version, nil
		}
	}
	return 0, fmt.Errorf("read back %s: written by another transaction or not at all: %w", first, ErrResultUnknown)
}
