package httable

import (
	"context"
	"errors"
	"fmt"
)

// CommitWithReadBack commits txn and returns the table revision of the commit. If the
// reply is lost, it reads back the row of the first write: txn was applied if that
// row's Writer is txn.ID. Every competing transaction must have a condition on this
// row. CommitWithReadBack returns ErrResultUnknown if the reply was lost and txn has
// no writes, or the row cannot be read, is missing or has another Writer.
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
	return 0, fmt.Errorf("read back %s: row is missing or written by another transaction: %w", first, ErrResultUnknown)
}
