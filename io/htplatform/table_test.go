package htplatform_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"hawthornturn/core/httable"
	"hawthornturn/internal/htstand"
	"hawthornturn/io/htplatform"
)

func startPlatform(t *testing.T) *htstand.Platform {
	t.Helper()
	p := htstand.NewPlatform()
	if err := p.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Close() })
	return p
}

func writeTxn(id string) httable.Txn {
	return httable.Txn{ID: id, Writes: []httable.Write{{Key: "a", Value: []byte(id)}}}
}

// cancelAfterWrite cancels once the platform has received a write and, if applied is set,
// its effect is visible.
func cancelAfterWrite(ctx context.Context, cancel func(), p *htstand.Platform, applied bool) {
	for ctx.Err() == nil {
		if p.Counts().Writes > 0 && (!applied || len(p.Rows("a")) > 0) {
			cancel()
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a commit whose result is reported as certain when it is unknown, or as
// unknown when nothing was written.
func TestCommitErrors(t *testing.T) {
	stale := writeTxn("txn")
	stale.Conditions = []httable.Condition{{Key: "a", Version: 9}}
	tests := []struct {
		name    string
		faults  func(*htstand.PlatformFaults)
		txn     httable.Txn
		want    error
		applied bool
	}{
		{"applied", func(*htstand.PlatformFaults) {}, writeTxn("txn"), nil, true},
		{"condition failed", func(*htstand.PlatformFaults) {}, stale, httable.ErrConflict, false},
		{"down", func(f *htstand.PlatformFaults) { f.Down = true }, writeTxn("txn"), httable.ErrUnavailable, false},
		{"over rate", func(f *htstand.PlatformFaults) { f.WritesPerSec = 1e-9 }, writeTxn("txn"), httable.ErrUnavailable, false},
		{"response lost", func(f *htstand.PlatformFaults) { f.LoseResponses = 1 }, writeTxn("txn"), httable.ErrResultUnknown, true},
		{"write dropped", func(f *htstand.PlatformFaults) { f.DropWrites = 1 }, writeTxn("txn"), httable.ErrResultUnknown, false},
		{"no response", func(f *htstand.PlatformFaults) { f.Unresponsive = true }, writeTxn("txn"), httable.ErrResultUnknown, false},
		{"late response", func(f *htstand.PlatformFaults) { f.ResponseDelayMS = 3600_000 }, writeTxn("txn"), httable.ErrResultUnknown, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := startPlatform(t)
			table := htplatform.NewTable(htplatform.Settings{URL: "http://" + p.Address(), Timeout: time.Hour})
			t.Cleanup(table.Close)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			p.SetFaults(tt.faults)
			if tt.name == "over rate" {
				// The first request is within the burst.
				if _, err := table.Commit(t.Context(), httable.Txn{ID: "first"}); err != nil {
					t.Fatal(err)
				}
			}
			if f := p.Faults(); f.Unresponsive || f.ResponseDelayMS > 0 {
				go cancelAfterWrite(ctx, cancel, p, tt.applied)
			}
			_, err := table.Commit(ctx, tt.txn)
			if !errors.Is(err, tt.want) {
				t.Errorf("error %v, want %v", err, tt.want)
			}
			for _, other := range []error{httable.ErrConflict, httable.ErrUnavailable, httable.ErrResultUnknown} {
				if other != tt.want && errors.Is(err, other) {
					t.Errorf("error %v is also %v", err, other)
				}
			}
			if rows := p.Rows("a"); (len(rows) == 1) != tt.applied {
				t.Errorf("rows %v, want applied %v", rows, tt.applied)
			}
		})
	}
}

// Guards against a commit that was never sent being reported as unknown: its caller would
// then read it back for as long as the platform is down.
func TestCommitNotSent(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	table := htplatform.NewTable(htplatform.Settings{URL: server.URL})
	if _, err := table.Commit(t.Context(), writeTxn("txn")); !errors.Is(err, httable.ErrUnavailable) || errors.Is(err, httable.ErrResultUnknown) {
		t.Errorf("connection refused: %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := table.Commit(ctx, writeTxn("txn")); !errors.Is(err, httable.ErrUnavailable) || errors.Is(err, httable.ErrResultUnknown) {
		t.Errorf("canceled before sending: %v", err)
	}
}

// Guards against statuses and malformed responses that leave the result unknown being
// treated as a rejection or as success.
func TestCommitUnclearResponses(t *testing.T) {
	tests := []struct {
		name    string
		status  int
		body    string
		unknown bool
	}{
		{"server error", 500, `{"error":"x"}`, true},
		{"gateway timeout", 504, ``, true},
		{"not JSON", 200, `<html>`, true},
		{"malformed request", 400, `{"error":"x"}`, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			defer server.Close()
			table := htplatform.NewTable(htplatform.Settings{URL: server.URL})
			if _, err := table.Commit(t.Context(), writeTxn("txn")); err == nil || errors.Is(err, httable.ErrResultUnknown) != tt.unknown {
				t.Errorf("error %v, want unknown result %v", err, tt.unknown)
			}
		})
	}
}

// Guards against an applied write whose response was lost being reported as unknown, and
// against a dropped write being reported as applied, or as certainly not applied: a row
// that is missing in the read-back may still change when a write takes effect late.
func TestCommitWithReadBack(t *testing.T) {
	p := startPlatform(t)
	table := htplatform.NewTable(htplatform.Settings{URL: "http://" + p.Address()})
	t.Cleanup(table.Close)
	p.SetFaults(func(f *htstand.PlatformFaults) { f.LoseResponses = 1 })
	if revision, err := httable.CommitWithReadBack(t.Context(), table, writeTxn("lost")); err != nil || revision != 1 {
		t.Errorf("response lost: revision %d, %v", revision, err)
	}
	p.SetFaults(func(f *htstand.PlatformFaults) { f.DropWrites = 1 })
	if _, err := httable.CommitWithReadBack(t.Context(), table, writeTxn("dropped")); !errors.Is(err, httable.ErrResultUnknown) {
		t.Errorf("write dropped: %v", err)
	}
}

// Guards against a simulated platform that discards a slow write when its client
// disconnects: a row could then never change after it was read back.
func TestCommitTakesEffectLate(t *testing.T) {
	p := startPlatform(t)
	table := htplatform.NewTable(htplatform.Settings{URL: "http://" + p.Address(), Timeout: time.Hour})
	t.Cleanup(table.Close)
	p.SetFaults(func(f *htstand.PlatformFaults) { f.DelayMS = 100 })
	ctx, cancel := context.WithCancel(t.Context())
	go cancelAfterWrite(ctx, cancel, p, false)
	if _, err := table.Commit(ctx, writeTxn("late")); !errors.Is(err, httable.ErrResultUnknown) {
		t.Errorf("slow write: %v", err)
	}
	for len(p.Rows("a")) == 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a request that waits forever when the platform does not respond.
func TestTimeout(t *testing.T) {
	p := startPlatform(t)
	p.SetFaults(func(f *htstand.PlatformFaults) { f.Unresponsive = true })
	table := htplatform.NewTable(htplatform.Settings{URL: "http://" + p.Address(), Timeout: 10 * time.Millisecond})
	t.Cleanup(table.Close)
	if _, err := table.Read(t.Context(), "a"); !errors.Is(err, httable.ErrUnavailable) {
		t.Errorf("read: %v", err)
	}
	if _, err := table.Commit(t.Context(), writeTxn("txn")); err == nil {
		t.Error("a commit without a response succeeded")
	}
}

// Guards against reads that confuse keys, and against rows lost in transit.
func TestReadAndScan(t *testing.T) {
	p := startPlatform(t)
	table := htplatform.NewTable(htplatform.Settings{URL: "http://" + p.Address()})
	t.Cleanup(table.Close)
	txn := httable.Txn{ID: "txn", Writes: []httable.Write{
		{Key: "x/a&b=c", Value: []byte("1")},
		{Key: "x/b", Value: []byte{}},
		{Key: "y", Value: []byte{0, 255}},
	}}
	if _, err := table.Commit(t.Context(), txn); err != nil {
		t.Fatal(err)
	}
	read, err := table.Read(t.Context(), "y", "none", "x/a&b=c")
	if err != nil || len(read.Rows) != 2 || read.Rows[0].Key != "y" || string(read.Rows[0].Value) != "\x00\xff" {
		t.Errorf("read %+v, %v", read, err)
	}
	scan, err := table.Scan(t.Context(), "x/")
	if err != nil || len(scan.Rows) != 2 || scan.Revision != 1 || scan.Rows[1].Value == nil {
		t.Errorf("scan %+v, %v", scan, err)
	}
	p.SetFaults(func(f *htstand.PlatformFaults) { f.Down = true })
	if _, err := table.Scan(t.Context(), "x/"); !errors.Is(err, httable.ErrUnavailable) {
		t.Errorf("scan while down: %v", err)
	}
}

// Guards against a host list that loses a state or returns hosts in an unknown state.
func TestHostList(t *testing.T) {
	p := startPlatform(t)
	list := htplatform.NewHostList(htplatform.Settings{URL: "http://" + p.Address()})
	t.Cleanup(list.Close)
	for name, state := range map[string]string{"a": htplatform.HostLive, "b": htplatform.HostLeaving} {
		if err := list.Register(t.Context(), name, "127.0.0.1:1", state); err != nil {
			t.Fatal(err)
		}
	}
	if err := list.Register(t.Context(), "c", "127.0.0.1:1", "asleep"); err == nil {
		t.Error("a host with an unknown state was registered")
	}
	p.SetFaults(func(f *htstand.PlatformFaults) { f.HostListAdd = []htstand.Host{{Name: "d", State: "odd"}} })
	hosts, err := list.Hosts(t.Context())
	if err != nil || len(hosts) != 2 || hosts[0] != (htplatform.ListedHost{Name: "a", State: "live"}) || hosts[1].State != "leaving" {
		t.Errorf("hosts %v, %v", hosts, err)
	}
	p.SetFaults(func(f *htstand.PlatformFaults) { f.HostListDown = true })
	if _, err := list.Hosts(t.Context()); err == nil {
		t.Error("a host list that is down was read")
	}
}
