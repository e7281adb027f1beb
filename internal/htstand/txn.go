package htstand

import (
	"encoding/json"
	"errors"
	"fmt"

	"hawthornturn/core/httable"
)

// decodeTxn decodes a transaction. It returns an error if the transaction has no id,
// contains an empty key or writes a row twice.
func decodeTxn(body []byte) (httable.Txn, error) {
	var txn httable.Txn
	if err := json.Unmarshal(body, &txn); err != nil {
		return httable.Txn{}, fmt.Errorf("decode transaction: %w", err)
	}
	if txn.ID == "" {
		return httable.Txn{}, errors.New("transaction has no id")
	}
	for _, c := range txn.Conditions {
		if c.Key == "" {
			return httable.Txn{}, errors.New("condition has no key")
		}
	}
	written := map[string]bool{}
	for _, w := range txn.Writes {
		if w.Key == "" {
			return httable.Txn{}, errors.New("write has no key")
		}
		if written[w.Key] {
			return httable.Txn{}, fmt.Errorf("transaction writes row %s twice", w.Key)
		}
		written[w.Key] = true
	}
	return txn, nil
}
