package htmirror

import "time"

const (
	// DeclarationGrace is how long a declaration that a new era of the store lacks stays in use.
	// It is the time within which the whole system has to recover. Operators write again what the
	// store has lost, but by hand.
	DeclarationGrace = 15 * time.Second
	// answerInterval is the time within which a host learns of the next answer of a store that is
	// not away: a long poll, and the way to the other hosts.
	answerInterval = time.Second
)

// Position is a place in the history of the store. A store that comes back from an older copy of
// itself begins a new era: its versions go back and are given out again, so versions of two eras
// can't be compared.
type Position struct {
	Era      int64
	Versions Versions
}

// Behind reports whether p is older than o, by its era or, in the same era, for any table.
func (p Position) Behind(o Position) bool {
	if p.Era != o.Era {
		return p.Era < o.Era
	}
	return p.Versions.Behind(o.Versions)
}

// Max returns the position of the newer era or, in the same era, the newer version of each table.
func (p Position) Max(o Position) Position {
	switch {
	case p.Era > o.Era:
		return p
	case p.Era < o.Era:
		return o
	}
	return Position{Era: p.Era, Versions: p.Versions.Max(o.Versions)}
}

// Carried is what a host carries over from earlier eras into the current one, as sent to hosts
// that are in an earlier era or have just started.
type Carried struct {
	// ReadMS is, for each table, the time in ms from the first answer with the table in the
	// current era to the newest answer of the store, or -1 if the table was not read yet.
	ReadMS [numTables]int64 `cbor:"1,keyasint"`
	Rows   []CarriedRow     `cbor:"2,keyasint,omitempty"`
}

// CarriedRow is a row of an earlier era.
type CarriedRow struct {
	Table Table `cbor:"1,keyasint"`
	Row   Row   `cbor:"2,keyasint"`
	Era   int64 `cbor:"3,keyasint,omitempty"`
}

// hold keeps an earlier state of a row in use.
type hold struct {
	Row
	carried  bool      // the row is of an earlier era; otherwise it lapsed in an outage
	replaced int64     // of a carried row, as in storedRow
	returned bool      // the store came back with the row that the carried one had replaced
	until    time.Time // end of use of a lapsed row
}

// grace returns how long a row of an earlier era stays in use after its table was read. If a
// declaration is there that was taken back, it is ignored for long only if it is certainly the
// same one, since operators may just have declared it once more.
func (h *hold) grace(t Table) time.Duration {
	if t == Declared && (!h.Deleted || h.returned) {
		return DeclarationGrace
	}
	return LapseGrace
}

// Era returns the newest era of the store of which the mirror has rows.
func (m *Mirror) Era() int64 { return m.era }

// Position returns the era and the versions of the mirror.
func (m *Mirror) Position() Position { return Position{Era: m.era, Versions: m.versions} }

// holdEnd returns when a hold ends. The second result is false if that is not known, since the
// table was not read in the current era yet.
func (m *Mirror) holdEnd(t Table, h *hold) (time.Time, bool) {
	if !h.carried {
		return h.until, true
	}
	return m.readAt[t].Add(h.grace(t)), !m.readAt[t].IsZero()
}

// held returns the hold of s if it is in effect. That of a row of an earlier era does not end
// while the store is away, since nobody can write the row again.
func (m *Mirror) held(now time.Time, t Table, s storedRow) *hold {
	if s.hold == nil {
		return nil
	}
	end, known := m.holdEnd(t, s.hold)
	if !known || end.After(now) || s.hold.carried && !m.lastContact.IsZero() && end.After(m.lastContact.Add(answerInterval)) {
		return s.hold
	}
	return nil
}

// enter begins a newer era. All that is known stays in use until it is read again or its grace
// is over, and counts as unknown otherwise.
func (m *Mirror) enter(now time.Time, era int64) {
	known := false
	for t, rows := range m.rows {
		for key, s := range rows {
			row, replaced := s.Row, s.replaced
			if h := m.held(now, Table(t), s); h != nil {
				row, replaced = h.Row, h.replaced
			}
			if row.Version == 0 {
				delete(rows, key)
				continue
			}
			known = true
			rows[key] = storedRow{Row: Row{Key: key, Era: era, Deleted: true}, hold: &hold{Row: row, carried: true, replaced: replaced}}
		}
		m.cursors[t], m.versions[t], m.bases[t] = 0, 0, 0
	}
	m.era, m.restored, m.readAt = era, 0, [numTables]time.Time{}
	if known {
		// Upstreams could not reach the store before, so entries may expire now.
		m.recoveredAt = now
	}
}

// extendGrace leaves an outage of the store that ends now out of the grace of carried rows, and
// begins that of upstreams anew. A grace that was over stays so.
func (m *Mirror) extendGrace(now time.Time, outage time.Duration) {
	if at := m.readAt[Announced]; !at.IsZero() && at.Add(LapseGrace).After(m.lastContact.Add(answerInterval)) {
		m.readAt[Announced] = now
	}
	if at := m.readAt[Declared]; !at.IsZero() {
		m.readAt[Declared] = at.Add(outage - answerInterval)
	}
}

// olderCopy reports whether a row of the current era may be an older state of a row of an earlier
// era: of a lower version, and not written after the first answer of the store in this era. A row
// of the same or a higher version is the same one or was written later, in whichever era.
func (m *Mirror) olderCopy(r Row, known *hold) bool {
	return r.Version < known.Version && r.Version <= m.restored && (known.Deleted || string(r.Value) != string(known.Value))
}

// Carried returns what the mirror carries over from earlier eras, for a host at a position that
// lacks it, and otherwise nil.
func (m *Mirror) Carried(now time.Time, after Position) *Carried {
	if m.era == 0 || after.Era == m.era && after.Versions[Declared] > 0 && after.Versions[Announced] > 0 {
		return nil
	}
	c := &Carried{}
	for t, rows := range m.rows {
		c.ReadMS[t] = -1
		if at := m.readAt[t]; !at.IsZero() {
			c.ReadMS[t] = max(0, m.lastContact.Sub(at).Milliseconds())
		}
		for _, s := range rows {
			if h := m.held(now, Table(t), s); h != nil && h.carried {
				c.Rows = append(c.Rows, CarriedRow{Table: Table(t), Row: h.Row, Era: h.Era})
			}
		}
	}
	return c
}

// MergeCarried takes over what another host carried into an era, for tables that this mirror has
// not read in that era. It must be called before Merge with the rows of that host.
func (m *Mirror) MergeCarried(now time.Time, era int64, c *Carried) {
	if c == nil || era < m.era {
		return
	}
	if era > m.era {
		m.enter(now, era)
	}
	for _, o := range c.Rows {
		if o.Table >= numTables || m.cursors[o.Table] > 0 || o.Era >= era {
			continue
		}
		known := m.rows[o.Table][o.Row.Key].hold
		if known != nil && (known.Era > o.Era || known.Era == o.Era && known.Version >= o.Row.Version) {
			continue
		}
		o.Row.Era = o.Era
		m.rows[o.Table][o.Row.Key] = storedRow{Row: Row{Key: o.Row.Key, Era: era, Deleted: true}, hold: &hold{Row: o.Row, carried: true}}
	}
	for t, read := range c.ReadMS {
		if m.cursors[t] == 0 && read >= 0 && read <= maxStoreAge.Milliseconds() {
			m.readAt[t] = now.Add(-time.Duration(read) * time.Millisecond)
		}
	}
}
