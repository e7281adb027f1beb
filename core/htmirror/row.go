package htmirror

// Table identifies a mirrored table.
type Table uint8

// The mirrored tables.
const (
	Declared  Table = iota // configuration, and failure domains taken out of service
	Announced              // upstreams
	numTables
)

// String returns the name of t for logs.
func (t Table) String() string {
	switch t {
	case Declared:
		return "declared"
	case Announced:
		return "announced"
	}
	return "unknown"
}

// Row is one row at a version of the store. All tables share one version counter, which
// grows with each transaction of an era.
type Row struct {
	Key     string `cbor:"1,keyasint" json:"key"`
	Version int64  `cbor:"2,keyasint" json:"version"`
	Value   []byte `cbor:"3,keyasint,omitempty" json:"value,omitempty"`
	Deleted bool   `cbor:"4,keyasint,omitempty" json:"deleted,omitempty"`
	Era     int64  `cbor:"-" json:"-"` // in which it was read; the Delta that carries it names the era
	// Lapsed marks a row that is in use although the store lacks it: it may have expired only
	// because its writer could not reach the store during an outage, or the store came back from
	// an older copy. Each host decides this
	// from the responses of the store that it knows of, so it is not sent to others.
	Lapsed bool `cbor:"-" json:"-"`
}

// Delta holds the rows of one table that changed after some version. Version is the store
// version up to which the changes are complete.
type Delta struct {
	Table   Table `cbor:"1,keyasint" json:"table"`
	Version int64 `cbor:"2,keyasint" json:"version"`
	Rows    []Row `cbor:"3,keyasint" json:"rows"`
	// StoreAgeMS is the time in ms since the newest response of the store that the sender of
	// the rows knows of, or -1 if it knows of none. It tells a receiver that the rows follow an
	// outage of the store if they arrive before a heartbeat of the host that the store serves.
	StoreAgeMS int64 `cbor:"4,keyasint,omitempty" json:"store-age-ms,omitempty"`
	// Base is the version from which on the sender has every deletion. If the receiver is behind
	// it, Rows and Live together hold the keys of all rows that are not deleted.
	Base int64    `cbor:"5,keyasint,omitempty" json:"base,omitempty"`
	Live []string `cbor:"6,keyasint,omitempty" json:"live,omitempty"`
	Era  int64    `cbor:"7,keyasint,omitempty" json:"era,omitempty"` // of the store; a store without eras, and hosts that know of none, are in era 0
}

// liveKeys returns the keys of all rows that are not deleted, if the receiver is behind Base.
func (d Delta) liveKeys() map[string]bool {
	live := make(map[string]bool, len(d.Live))
	for _, key := range d.Live {
		live[key] = true
	}
	for _, r := range d.Rows {
		if !r.Deleted {
			live[r.Key] = true
		}
	}
	return live
}

// Update is a part of the changes of one table that a host sends to others. It can be
// applied to mirrors that have all rows up to version After.
type Update struct {
	After int64 `cbor:"1,keyasint" json:"after"`
	Delta Delta `cbor:"2,keyasint" json:"delta"`
}

// Split divides the rows of d, which are those that changed after version after, into
// updates of about size bytes at most. Rows of one version stay in one update, because a
// mirror that has one of them is assumed to have all. If the rows of one version exceed size,
// Split leaves them and all later rows out. Hosts that receive the updates learn from the
// versions in the next heartbeats that they are behind, and fetch the rest. There are no
// updates if the sender lacks deletions after that version.
func (d Delta) Split(after int64, size int) []Update {
	if d.Base > after {
		return nil
	}
	var parts []Update
	for rows := d.Rows; len(rows) > 0; {
		n, bytes := 0, 0
		for n < len(rows) {
			next, b := n, 0
			for next < len(rows) && rows[next].Version == rows[n].Version {
				b += len(rows[next].Key) + len(rows[next].Value) + rowOverhead
				next++
			}
			if bytes+b > size {
				break
			}
			n, bytes = next, bytes+b
		}
		if n == 0 {
			break
		}
		version := rows[n-1].Version
		parts = append(parts, Update{After: after, Delta: Delta{Table: d.Table, Era: d.Era, Version: version, Rows: rows[:n], StoreAgeMS: d.StoreAgeMS}})
		after, rows = version, rows[n:]
	}
	return parts
}

// rowOverhead is the approximate size in bytes of an encoded row without key and value.
const rowOverhead = 16

// Versions holds the version of each table; 0 means that no row is known yet.
type Versions [numTables]int64

// Behind reports whether v is older than o for any table.
func (v Versions) Behind(o Versions) bool {
	for t := range v {
		if v[t] < o[t] {
			return true
		}
	}
	return false
}

// Max returns the newer version of each table.
func (v Versions) Max(o Versions) Versions {
	for t := range v {
		v[t] = max(v[t], o[t])
	}
	return v
}
