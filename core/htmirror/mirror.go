package htmirror

import (
	"slices"
	"strings"
	"time"
)

const (
	// outageAfter is how long the store may stay silent before what it deleted in the
	// meantime counts as lapsed. It is above the period of a long poll.
	outageAfter = 2 * time.Second
	// LapseGrace is how long a lapsed upstream stays in use. Live upstreams are back
	// within about two seconds of the store's return.
	LapseGrace = 2300 * time.Millisecond
)

// Mirror is the copy of the tables. It is not safe for concurrent use.
type Mirror struct {
	rows     [tables]map[string]stored
	versions Versions      // of the newest row of each table
	cursors  [tables]int64 // up to which the feed of the store was read, by any host
	contact  time.Time     // last answer of the store to any host, as far as known
	returned time.Time     // when the store was last back after an outage
}

type stored struct {
	Row
	until time.Time // a lapsed row counts until then
	last  []byte    // the value before the row lapsed
}

// New returns an empty Mirror.
func New() *Mirror {
	m := &Mirror{}
	for t := range m.rows {
		m.rows[t] = map[string]stored{}
	}
	return m
}

// Versions returns the version of the newest row of each table. Hosts compare them to find
// out who is behind. The store's own version grows with each transaction on any table, so
// that hosts would fetch rows although none of theirs has changed.
func (m *Mirror) Versions() Versions { return m.versions }

// Cursor returns the version after which the feed of a table is to be read, or 0 if the
// table was never read.
func (m *Mirror) Cursor(t Table) int64 { return m.cursors[t] }

// Ready reports whether every table was read.
func (m *Mirror) Ready() bool {
	for _, v := range m.cursors {
		if v == 0 {
			return false
		}
	}
	return true
}

// RecordContact notes an answer of the store, to this host or to a peer. It must be called
// before the rows of the answer are applied.
func (m *Mirror) RecordContact(at time.Time) {
	if !m.contact.IsZero() && at.Sub(m.contact) > outageAfter {
		m.returned = at
	}
	if at.After(m.contact) {
		m.contact = at
	}
}

// recovering reports whether entries may be missing only because of an outage.
func (m *Mirror) recovering(now time.Time) bool {
	return !m.returned.IsZero() && now.Sub(m.returned) < LapseGrace
}

// Replace applies a full list of a table. It reports whether anything changed.
func (m *Mirror) Replace(now time.Time, t Table, version int64, rows []Row) bool {
	if version < max(m.versions[t], m.cursors[t]) {
		return false
	}
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		listed[r.Key] = true
	}
	missing := []Row{}
	for key, s := range m.rows[t] {
		if !listed[key] && !s.Deleted {
			missing = append(missing, Row{Key: key, Version: version, Deleted: true})
		}
	}
	return m.Apply(now, Delta{Table: t, Version: version, Rows: append(missing, rows...)})
}

// Apply takes in a delta. Rows older than the known ones are ignored, so that a late
// message takes nothing back. It reports whether anything changed.
func (m *Mirror) Apply(now time.Time, d Delta) bool {
	if d.Table >= tables {
		return false
	}
	changed := false
	for _, r := range d.Rows {
		if m.put(now, d.Table, r) {
			changed = true
		}
		m.versions[d.Table] = max(m.versions[d.Table], r.Version)
	}
	m.cursors[d.Table] = max(m.cursors[d.Table], d.Version)
	return changed
}

// Update applies rows that another host has sent, unless some before them are missing. It
// reports whether anything changed.
func (m *Mirror) Update(now time.Time, u *Update) bool {
	if t := u.Delta.Table; t >= tables || m.cursors[t] == 0 || m.versions[t] < u.After {
		return false
	}
	return m.Apply(now, u.Delta)
}

func (m *Mirror) put(now time.Time, t Table, r Row) bool {
	known, exists := m.rows[t][r.Key]
	if exists && known.Version >= r.Version {
		return false
	}
	s := stored{Row: r}
	if r.Deleted {
		if !exists || known.Deleted {
			m.rows[t][r.Key] = stored{Row: r, until: known.until, last: known.last}
			return false
		}
		if t == Announced && (r.Lapsed || m.recovering(now)) {
			s.Lapsed = true
			s.until = now.Add(LapseGrace)
			s.last = known.Value
		}
	}
	m.rows[t][r.Key] = s
	return true
}

// Since returns the rows of t that changed after a version.
func (m *Mirror) Since(t Table, after int64) Delta {
	d := Delta{Table: t, Version: m.cursors[t]}
	for _, s := range m.rows[t] {
		if s.Version > after {
			d.Rows = append(d.Rows, s.Row)
		}
	}
	slices.SortFunc(d.Rows, func(a, b Row) int {
		if a.Version != b.Version {
			return int(a.Version - b.Version)
		}
		return strings.Compare(a.Key, b.Key)
	})
	return d
}

// Rows returns the rows of t in use at now, by key. Lapsed rows have the value that
// they had before. The second result is the time at which the next lapsed row ends,
// or zero.
func (m *Mirror) Rows(now time.Time, t Table) ([]Row, time.Time) {
	var rows []Row
	var next time.Time
	for _, s := range m.rows[t] {
		switch {
		case !s.Deleted:
			rows = append(rows, s.Row)
		case s.until.After(now):
			rows = append(rows, Row{Key: s.Key, Version: s.Version, Value: s.last, Lapsed: true})
			if next.IsZero() || s.until.Before(next) {
				next = s.until
			}
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, next
}
