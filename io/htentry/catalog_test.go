package htentry

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htmirror"
	"hawthornturn/core/htrelay"
	"hawthornturn/core/htselect"
)

// slowDecoder takes some time for each row that is new.
type slowDecoder struct{ takes time.Duration }

// Decode implements Decoder.
func (d slowDecoder) Decode(_ htmirror.Table, r htmirror.Row) (htcatalog.Declaration, error) {
	time.Sleep(d.takes)
	return htcatalog.Upstream{ID: r.Key, Service: "s", Address: "127.0.0.1:" + r.Key, Domain: "a", Slots: 2}, nil
}

// catalogEntry returns an Entry that has read both tables and counts how often it applies
// rows.
func catalogEntry(takes time.Duration) (*Entry, *atomic.Int32) {
	applied := &atomic.Int32{}
	e := newTestEntry(testMember(1, 10))
	e.ports = Dependencies{Decoder: slowDecoder{takes}, RetainConnections: func(map[string]bool) { applied.Add(1) }}
	e.config = &htcatalog.Config{Services: []htcatalog.Service{{Name: "s"}}}
	selector := htselect.New("a", groupView{e}, htselect.Limits{}, rand.New(rand.NewPCG(1, 2)))
	e.relay = htrelay.New(selector, nil, nil, nil, time.Now)
	e.mirror.Apply(testStart, htmirror.Delta{Table: htmirror.Announced, Version: 9})
	return e, applied
}

// Guards against hosts that are busy with declarations alone while many upstreams register
// or turn warm: all upstreams are taken anew for each change. The last change must be in
// force in time all the same.
func TestChangesAreAppliedTogether(t *testing.T) {
	const (
		changes = 100
		takes   = 5 * time.Millisecond
		bound   = 2 * time.Second // on changes of the configuration
	)
	e, applied := catalogEntry(takes)
	go func() { _ = e.applyChanges(t.Context()) }()
	begun := time.Now()
	for i := range changes {
		e.mu.Lock()
		e.mirror.Apply(testStart, htmirror.Delta{
			Table: htmirror.Announced, Version: int64(i + 10), Rows: []htmirror.Row{{Key: fmt.Sprint(i), Version: int64(i + 10)}},
		})
		e.mu.Unlock()
		e.rowsChanged()
		time.Sleep(time.Millisecond)
	}
	ended := time.Now()
	// Each run that finds new rows is followed by a gap; one may follow that finds none.
	if n, most := int(applied.Load()), 2*(2+int(time.Since(begun)/applyGap(takes))); n > most {
		t.Errorf("%d changes were applied in %d runs, want at most %d", changes, n, most)
	}
	for len(e.Catalog().Upstreams) < changes {
		if time.Since(ended) > bound {
			t.Fatalf("%d of %d upstreams are in use after %v", len(e.Catalog().Upstreams), changes, bound)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a gap that keeps a change out of force beyond its bound.
func TestApplyGap(t *testing.T) {
	tests := []struct{ took, gap time.Duration }{
		{0, 0},
		{time.Millisecond, 25 * time.Millisecond},
		{time.Second, maxApplyGap},
	}
	for _, tt := range tests {
		if got := applyGap(tt.took); got != tt.gap {
			t.Errorf("%v after a run of %v, want %v", got, tt.took, tt.gap)
		}
	}
}

// Guards against hosts that take calls before they know an upstream, and against those that
// never take any because no upstream has registered.
func TestReadyOnceBothTablesAreApplied(t *testing.T) {
	e, _ := catalogEntry(0)
	e.catalog.Store(htcatalog.New(nil, nil, nil))
	if ready, _ := e.Ready(); ready {
		t.Error("ready before anything was applied")
	}
	e.mirror = htmirror.New()
	e.mirror.Apply(testStart, htmirror.Delta{Table: htmirror.Declared, Version: 3})
	e.apply()
	if ready, _ := e.Ready(); ready {
		t.Error("ready before announcements were read")
	}
	e.mirror.Apply(testStart, htmirror.Delta{Table: htmirror.Announced, Version: 4})
	e.apply()
	if ready, why := e.Ready(); !ready {
		t.Errorf("not ready: %s", why)
	}
}
