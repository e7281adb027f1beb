package htusage

import (
	"errors"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Ref is a short hash of a name, used in messages between hosts.
type Ref uint32

// RefOf returns the Ref of the name of an account or a failure domain.
func RefOf(name string) Ref { return Ref(xxhash.Sum64String(name)) }

// Source identifies one run of the process of a host.
type Source struct{ Host, Incarnation uint32 }

// News is what a host tells others of the use of accounts. A host sends the counts of its own
// calls to its hub, a hub those of its failure domain to the other hubs, and levels to the
// hosts of its domain.
type News struct {
	Counts []Count `cbor:"1,keyasint,omitempty"`
	// Domain is set if the counts are those of all hosts of a failure domain: its short hash.
	Domain Ref     `cbor:"2,keyasint,omitempty"`
	Levels []Level `cbor:"3,keyasint,omitempty"`
	// Epoch changes when the counts of the source start anew, as with another hub.
	Epoch uint32 `cbor:"4,keyasint,omitempty"`
	// Sequence increases with the news of a source. News that arrives late is ignored.
	Sequence uint32 `cbor:"5,keyasint"`
	Part     uint32 `cbor:"6,keyasint,omitempty"` // of news that is split
}

// Split returns news of at most some entries each, in order. A receiver that misses some of them
// gets the later ones.
func (n *News) Split(most int) []*News {
	if len(n.Counts)+len(n.Levels) <= most {
		return []*News{n}
	}
	var parts []*News
	for counts := range slices.Chunk(n.Counts, most) {
		parts = append(parts, &News{Counts: counts, Domain: n.Domain, Epoch: n.Epoch, Sequence: n.Sequence, Part: uint32(len(parts))})
	}
	for levels := range slices.Chunk(n.Levels, most) {
		parts = append(parts, &News{Levels: levels, Epoch: n.Epoch, Sequence: n.Sequence, Part: uint32(len(parts))})
	}
	return parts
}

// errLevel means that a level holds a rate that is not a finite number of zero or more, or
// tokens that are not a finite number.
var errLevel = errors.New("level of an account has an invalid rate or number of tokens")

// Validate checks news of another host.
func (n *News) Validate() error {
	for _, l := range n.Levels {
		if !validRate(l.Admit) || !validRate(l.Demand) || !finite(l.Tokens) {
			return errLevel
		}
	}
	return nil
}

func validRate(perSecond float32) bool { return perSecond >= 0 && finite(perSecond) }

func finite(x float32) bool { return math.Abs(float64(x)) <= math.MaxFloat32 }

// Count is the use of an account. The last two fields are what was added since the source's
// previous count of the account, for receivers that have none of this epoch.
// Admitted calls that no upstream ran are subtracted again.
type Count struct {
	_           struct{} `cbor:",toarray"`
	Account     Ref
	Asked       uint32
	Admitted    uint32
	NewAsked    uint32
	NewAdmitted int32
}

// Level is the state of an account that is near its limit.
type Level struct {
	_       struct{} `cbor:",toarray"`
	Account Ref
	Admit   float32 // calls a second to admit on all hosts
	Demand  float32 // calls a second asked on all hosts
	Tokens  float32 // calls that may be admitted at once; negative after an overshoot
}

// short reports whether only a share of the calls is admitted.
func (l Level) short() bool { return l.Admit < l.Demand }
