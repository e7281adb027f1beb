package htmirror

// Table names a set of rows.
type Table uint8

// The mirrored tables.
const (
	Declared  Table = iota // configuration and failure domains taken out
	Announced              // upstreams
	tables
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

// Row is one row at a version of the store. Versions come from one counter and grow
// with each transaction.
type Row struct {
	Key     string `cbor:"1,keyasint" json:"key"`
	Version int64  `cbor:"2,keyasint" json:"version"`
	Value   []byte `cbor:"3,keyasint,omitempty" json:"value,omitempty"`
	Deleted bool   `cbor:"4,keyasint,omitempty" json:"deleted,omitempty"`
	// Lapsed marks a deletion that was seen while the store recovered: the entry may
	// have expired only because its writer could not reach the store.
	Lapsed bool `cbor:"5,keyasint,omitempty" json:"lapsed,omitempty"`
}

// Delta is what changed in one table after a version.
type Delta struct {
	Table   Table `cbor:"1,keyasint" json:"table"`
	Version int64 `cbor:"2,keyasint" json:"version"`
	Rows    []Row `cbor:"3,keyasint" json:"rows"`
}

// Versions holds the version of each table; zero means that nothing was read yet.
type Versions [tables]int64

// Behind reports whether v lacks something that o has.
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
