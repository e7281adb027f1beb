package htmirror

import (
	"slices"
	"strings"
	"time"
)

const (
	// outageThreshold is the time without a response from the store above which rows that it
	// deleted meanwhile count as lapsed. It is longer than a long poll.
	outageThreshold = 2 * time.Second
	// LapseGrace is how long after the recovery of the store lapsed upstreams stay in use.
	// Running upstreams have announced themselves again about two seconds after it.
	LapseGrace = 2300 * time.Millisecond
	// maxStoreAge is the age above which a response of the store in a Delta is ignored.
	maxStoreAge = time.Hour
)

// Mirror is a copy of the tables. It is not safe for concurrent use.
type Mirror struct {
	rows        [numTables]map[string]storedRow
	versions    Versions             // newest version of a row or of the list it began with, see the method Versions
	cursors     [numTables]int64     // store version up to which the rows of each table are complete
	bases       [numTables]int64     // store version from which on the mirror has every deletion of each table
	era         int64                // of the store
	restored    int64                // version of the first answer of the store in this era; newer rows were written in it
	readAt      [numTables]time.Time // first answer with each table in this era, without outages since
	lastContact time.Time            // last known response of the store to any host
	recoveredAt time.Time            // first response of the store after the last outage
}

// storedRow is a row of the current era. Its version is 0 if the row is known of an earlier era
// only.
type storedRow struct {
	Row
	replaced int64 // version of the row of this era that it replaced, or 0 if there is none
	hold     *hold // what was known before, if it is in use instead or besides
}

// New returns an empty Mirror.
func New() *Mirror {
	m := &Mirror{}
	for t := range m.rows {
		m.rows[t] = map[string]storedRow{}
	}
	return m
}

// Versions returns for each table a version up to which the mirror is complete: that of its
// newest row or, if that is newer, of the list that it began with, since a list does not name
// the rows that were deleted before it. Hosts compare these versions to detect which of them
// are behind. The current version of the store is not suitable: it grows with each transaction
// on any table, so hosts would fetch rows although none of theirs has changed.
func (m *Mirror) Versions() Versions { return m.versions }

// Cursor returns the version after which the feed of a table is to be read next, or 0 if
// the table was never read.
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

// RecordContact records a response of the store to this host or to a peer. It must be called
// before the rows of the response are applied. If the response ends an outage, RecordContact
// returns the time without a response, and otherwise zero.
func (m *Mirror) RecordContact(at time.Time) (outage time.Duration) {
	if !m.lastContact.IsZero() && at.Sub(m.lastContact) > outageThreshold {
		m.recoveredAt = at
		outage = at.Sub(m.lastContact)
		m.extendGrace(at, outage)
	}
	if at.After(m.lastContact) {
		m.lastContact = at
	}
	return outage
}

// recoveryEnd returns until when rows may be missing only because of the last outage, or zero
// if there was none.
func (m *Mirror) recoveryEnd() time.Time {
	if m.recoveredAt.IsZero() {
		return time.Time{}
	}
	return m.recoveredAt.Add(LapseGrace)
}

// Replace applies the list of the rows of a table that is complete at d.Version, unless the
// mirror has already applied a newer version or is in a newer era. Rows may be newer than
// d.Version. Replace reports whether anything changed.
func (m *Mirror) Replace(now time.Time, d Delta) bool {
	t := d.Table
	if d.Era > m.era {
		m.enter(now, d.Era)
	}
	if d.Era < m.era || d.Version < max(m.versions[t], m.cursors[t]) {
		return false
	}
	listed := make(map[string]bool, len(d.Rows))
	for _, r := range d.Rows {
		listed[r.Key] = true
	}
	d.Rows = append(m.deletionsBy(t, d.Version, listed), d.Rows...)
	changed := m.Apply(now, d)
	m.setBase(t, d.Version)
	return changed
}

// deletionsBy returns deletions, at a version, of the known rows that a list of the keys at that
// version lacks.
func (m *Mirror) deletionsBy(t Table, version int64, listed map[string]bool) []Row {
	var deletions []Row
	for key, s := range m.rows[t] {
		if !listed[key] && !s.Deleted && s.Version <= version {
			deletions = append(deletions, Row{Key: key, Version: version, Deleted: true})
		}
	}
	return deletions
}

// setBase sets the version from which on the mirror has every deletion of a table.
func (m *Mirror) setBase(t Table, version int64) {
	m.bases[t] = version
	m.versions[t] = max(m.versions[t], version)
}

// Apply applies a delta, unless it is of another era than the mirror: it then may be late, or
// changes may be missing that came before it. It ignores rows that are not newer than the known
// ones, so that a late message reverts nothing. Rows that are newer than the delta do not count
// in Versions, since others of the same version or before may be missing. It reports whether
// anything changed.
func (m *Mirror) Apply(now time.Time, d Delta) bool {
	if d.Table >= numTables || d.Era != m.era {
		return false
	}
	if m.restored == 0 {
		m.restored = d.Version
	}
	changed := false
	for _, r := range d.Rows {
		if m.put(now, d.Table, r) {
			changed = true
		}
		if r.Version <= d.Version {
			m.versions[d.Table] = max(m.versions[d.Table], r.Version)
		}
	}
	if d.Version > 0 && m.readAt[d.Table].IsZero() {
		m.readAt[d.Table] = now
	}
	m.cursors[d.Table] = max(m.cursors[d.Table], d.Version)
	return changed
}

// Merge applies a delta of another host, and the response of the store that it reports. It
// ignores a delta of an earlier era, and enters a newer one: a host that is asked from an earlier
// era answers with all rows. Merge reports whether anything changed, and the duration of the
// outage that the response ended (RecordContact).
func (m *Mirror) Merge(now time.Time, d Delta) (changed bool, outage time.Duration) {
	if d.Era < m.era {
		return false, 0
	}
	if d.StoreAgeMS >= 0 && d.StoreAgeMS <= maxStoreAge.Milliseconds() {
		outage = m.RecordContact(now.Add(-time.Duration(d.StoreAgeMS) * time.Millisecond))
	}
	t := d.Table
	if t >= numTables {
		return false, outage
	}
	if d.Era > m.era {
		if d.Version == 0 {
			return false, outage
		}
		m.enter(now, d.Era)
	}
	base := m.bases[t]
	switch {
	case m.cursors[t] == 0:
		base = d.Base
	case d.Base > m.versions[t]:
		// With the version of the delta, which may be newer than that of its sender, all hosts
		// would find themselves behind this one.
		base = d.Base
		d.Rows = append(m.deletionsBy(t, d.Base, d.liveKeys()), d.Rows...)
	}
	// An unknown row up to the cursor was deleted before the list that the mirror began with.
	d.Rows = slices.DeleteFunc(slices.Clone(d.Rows), func(r Row) bool {
		return m.rows[t][r.Key].Version == 0 && r.Version <= m.cursors[t]
	})
	changed = m.Apply(now, d)
	m.setBase(t, base)
	return changed, outage
}

// Update merges rows that another host has sent, unless this mirror lacks earlier rows. Its
// results are those of Merge.
func (m *Mirror) Update(now time.Time, u *Update) (changed bool, outage time.Duration) {
	if t := u.Delta.Table; t >= numTables || u.Delta.Era != m.era || m.cursors[t] == 0 || m.versions[t] < u.After {
		return false, 0
	}
	return m.Merge(now, u.Delta)
}

// put stores a row unless the known one is at least as new. It reports whether it changed
// anything; the deletion of an unknown or already deleted row is no change.
func (m *Mirror) put(now time.Time, t Table, r Row) bool {
	known, exists := m.rows[t][r.Key]
	if exists && known.Version >= r.Version {
		return false
	}
	r.Era = m.era
	s := storedRow{Row: r, replaced: known.Version}
	if r.Deleted && (!exists || known.Deleted) {
		s.replaced = known.replaced
		if t == Announced {
			s.hold = known.hold
		}
		m.rows[t][r.Key] = s
		// Operators took back in this era what they had declared in an earlier one.
		return t == Declared && m.held(now, t, known) != nil
	}
	switch end := m.recoveryEnd(); {
	case r.Deleted && t == Announced && end.After(now):
		s.hold = &hold{Row: known.Row, until: end}
		if h := m.held(now, t, known); h != nil {
			s.hold.Row = h.Row
		}
	case !r.Deleted && known.hold != nil && known.hold.carried && m.olderCopy(r, known.hold):
		s.hold = known.hold
		s.hold.returned = r.Version == s.hold.replaced
	}
	m.rows[t][r.Key] = s
	return true
}

// Since returns the rows of t that changed after a version, including deleted ones, in the
// order of their versions. It leaves out rows that are newer than the version up to which this
// mirror is complete. If the mirror lacks deletions after the given version, the delta names all
// rows that are left.
func (m *Mirror) Since(now time.Time, t Table, after int64) Delta {
	d := Delta{Table: t, Era: m.era, Version: m.cursors[t], Base: m.bases[t], StoreAgeMS: -1}
	nameLive := after > 0 && after < d.Base
	if !m.lastContact.IsZero() {
		d.StoreAgeMS = now.Sub(m.lastContact).Milliseconds()
	}
	for _, s := range m.rows[t] {
		if s.Version > after && s.Version <= d.Version {
			d.Rows = append(d.Rows, s.Row)
		}
		if nameLive && !s.Deleted {
			d.Live = append(d.Live, s.Key)
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

// Rows returns the rows of t in use at now, ordered by key. Rows that are in use although the
// store lacks them have the value that they had before and are marked as lapsed. If the store
// has a row of the same key that may be older, both are returned, the lapsed one last. The second
// result is the time at which the use of the next lapsed row ends, or zero if there is none.
func (m *Mirror) Rows(now time.Time, t Table) ([]Row, time.Time) {
	var rows []Row
	var next time.Time
	for _, s := range m.rows[t] {
		h := m.held(now, t, s)
		if !s.Deleted && (h == nil || !h.Deleted) {
			rows = append(rows, s.Row)
		}
		if h == nil || h.Deleted && s.Deleted {
			continue
		}
		if !h.Deleted {
			lapsed := h.Row
			lapsed.Lapsed = true
			rows = append(rows, lapsed)
		}
		if end, known := m.holdEnd(t, h); known && (next.IsZero() || end.Before(next)) {
			next = end
		}
	}
	slices.SortStableFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, next
}
