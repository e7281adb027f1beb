package htview_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"hawthornturn/core/httable"
	"hawthornturn/core/htview"
)

// viewOp is a request for the view row as seen by its client.
type viewOp struct {
	write       bool
	expect, set string // for a write: writer of the row to replace, and transaction id of the write
}

// viewResult is the result of a viewOp: the writer of the row read, or the result of
// the write.
type viewResult struct {
	writer  string
	known   bool // false if the result of the write stays unknown
	applied bool
}

// viewModel models the view row as a register whose value is the writer of the row.
var viewModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		op, result := input.(viewOp), output.(viewResult)
		switch {
		case !op.write:
			return result.writer == state, state
		case !result.known: // it may have taken effect, but only if its condition held
			if op.expect == state {
				return true, op.set
			}
			return true, state
		case result.applied:
			return op.expect == state, op.set
		default:
			return true, state // a conflict or a rejected request, which changes nothing
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// recorder records all requests for the view row, with the results of writes as
// reported by httable.CommitWithReadBack.
type recorder struct {
	mu      sync.Mutex
	history []porcupine.Operation
}

func (r *recorder) add(client int, op viewOp, called time.Time, result viewResult) {
	ended := time.Now().UnixNano()
	if op.write && !result.known {
		ended = 1<<62 - 1 // it may take effect at any time from now on
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{
		ClientId: client, Input: op, Call: called.UnixNano(), Output: result, Return: ended,
	})
}

// changeOnce reads the view row and replaces it as a Manager does.
func (r *recorder) changeOnce(client, n int, table httable.Table) {
	called := time.Now()
	snapshot, err := table.Read(context.Background(), "view/current")
	if err != nil {
		return
	}
	row := httable.Row{}
	if len(snapshot.Rows) > 0 {
		row = snapshot.Rows[0]
	}
	r.add(client, viewOp{}, called, viewResult{writer: row.Writer})
	var view htview.View
	if row.Value != nil {
		_ = json.Unmarshal(row.Value, &view)
	}
	value, _ := json.Marshal(view.With(htview.Member{Host: fmt.Sprint(client), Incarnation: fmt.Sprint(n)}))
	id := fmt.Sprintf("%d-%d", client, n)
	called = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = httable.CommitWithReadBack(ctx, table, httable.Txn{
		ID:         id,
		Conditions: []httable.Condition{{Key: "view/current", Version: row.Version}},
		Writes:     []httable.Write{{Key: "view/current", Value: value}},
	})
	op := viewOp{write: true, expect: row.Writer, set: id}
	r.add(client, op, called, viewResult{known: !isUnsure(err), applied: err == nil})
}

// TestViewRecordLinearizable guards against a view change that is reported as applied
// or failed when it was not. Replies of the table are lost and writes are delayed.
func TestViewRecordLinearizable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		r := &recorder{}
		var clients sync.WaitGroup
		for client := range 4 {
			h := &host{cluster: c, gate: newGate()}
			clients.Go(func() {
				for n := range 12 {
					h.setTable([]tableFault{tableUp, tableLost, tableUp, tableSlow, tableLate}[(client+n)%5])
					r.changeOnce(client, n, tableConn{table: c.table, host: h})
					time.Sleep(time.Duration(client*7+n) * time.Millisecond)
				}
			})
		}
		clients.Wait()
		time.Sleep(10 * time.Second)
		applied := 0
		for _, op := range r.history {
			if result := op.Output.(viewResult); result.applied {
				applied++
			}
		}
		if applied < 5 {
			t.Fatalf("only %d changes took effect", applied)
		}
		if !porcupine.CheckOperations(viewModel, r.history) {
			t.Fatalf("history of %d operations is not linearizable", len(r.history))
		}
	})
}

func isUnsure(err error) bool {
	return errors.Is(err, httable.ErrResultUnknown)
}
