package htstand

import (
	"encoding/json"
	"errors"
	"testing"

	"hawthornturn/core/httable"
)

// Guards against a commit that ignores a condition, applies part of a failed
// transaction or reuses a version.
func TestTableCommit(t *testing.T) {
	put := func(key, value string) httable.Write { return httable.Write{Key: key, Value: []byte(value)} }
	tests := []struct {
		name       string
		conditions []httable.Condition
		writes     []httable.Write
		conflict   bool
		rows       int
	}{
		{"create", []httable.Condition{{Key: "c"}}, []httable.Write{put("c", "1")}, false, 3},
		{"create existing", []httable.Condition{{Key: "a"}}, []httable.Write{put("c", "1")}, true, 2},
		{"update", []httable.Condition{{Key: "a", Version: 1}}, []httable.Write{put("a", "2")}, false, 2},
		{"stale version", []httable.Condition{{Key: "a", Version: 7}}, []httable.Write{put("a", "2")}, true, 2},
		{"one of two stale", []httable.Condition{{Key: "a", Version: 1}, {Key: "b", Version: 1}}, []httable.Write{put("a", "2")}, true, 2},
		{"delete", []httable.Condition{{Key: "b", Version: 2}}, []httable.Write{{Key: "b"}}, false, 1},
		{"create with empty value", nil, []httable.Write{put("c", "")}, false, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTable()
			for _, key := range []string{"a", "b"} {
				if _, err := table.commit(httable.Txn{ID: "setup", Writes: []httable.Write{put(key, "0")}}); err != nil {
					t.Fatal(err)
				}
			}
			revision, err := table.commit(httable.Txn{ID: "txn", Conditions: tt.conditions, Writes: tt.writes})
			if errors.Is(err, httable.ErrConflict) != tt.conflict {
				t.Fatalf("conflict is %v, want %v", err, tt.conflict)
			}
			after := table.scan("")
			if len(after.Rows) != tt.rows {
				t.Errorf("%d rows, want %d", len(after.Rows), tt.rows)
			}
			want := uint64(3)
			if tt.conflict {
				want = 2
			}
			if after.Revision != want {
				t.Errorf("table at revision %d, want %d", after.Revision, want)
			}
			for _, r := range after.Rows {
				if r.Writer == "txn" && r.Version != revision {
					t.Errorf("row %s has version %d, want %d", r.Key, r.Version, revision)
				}
			}
		})
	}
}

// Guards against a decoder that panics on, or accepts, a transaction that the table
// cannot apply atomically.
func FuzzDecodeTxn(f *testing.F) {
	f.Add([]byte(`{"id":"a","conditions":[{"key":"k","version":1}],"writes":[{"key":"k","value":"eA=="}]}`))
	f.Add([]byte(`{"id":"a","writes":[{"key":"k","value":null},{"key":"k","value":""}]}`))
	f.Add([]byte(`{"id":"","writes":[]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		txn, err := decodeTxn(body)
		if err != nil {
			return
		}
		if txn.ID == "" {
			t.Fatal("decoder accepted a transaction that has no id")
		}
		encoded, err := json.Marshal(txn)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeTxn(encoded); err != nil {
			t.Fatalf("decoded transaction does not decode again: %v", err)
		}
	})
}
