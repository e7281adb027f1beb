package htgossip

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htmirror"
	"hawthornturn/core/htroute"
	"hawthornturn/core/htselect"
)

// MaxMessage is the size in bytes up to which a datagram is not fragmented.
const MaxMessage = 1200

// Message is one datagram.
type Message struct {
	// Domain is the failure domain of the sender; Name its host name. Both are sent to
	// hosts that may not know them.
	Domain   string               `cbor:"1,keyasint,omitempty"`
	Name     string               `cbor:"2,keyasint,omitempty"`
	Versions htmirror.Versions    `cbor:"3,keyasint"`
	Store    int64                `cbor:"4,keyasint"` // age of the last answer of the store in ms, or -1
	Leaving  bool                 `cbor:"5,keyasint,omitempty"`
	Reports  []Report             `cbor:"6,keyasint,omitempty"`
	Faults   []Fault              `cbor:"7,keyasint,omitempty"`
	Crashes  []htroute.CrashCount `cbor:"8,keyasint,omitempty"`
	Beat     bool                 `cbor:"9,keyasint,omitempty"`  // Reports is all that the sender watches
	Asks     bool                 `cbor:"10,keyasint,omitempty"` // the sender wants an answer, since it has just started
	Counts   []Count              `cbor:"13,keyasint,omitempty"` // in a beat, all that are not zero
	Pass     bool                 `cbor:"11,keyasint,omitempty"` // the receiver is to pass the message on in its failure domain
	Origin   string               `cbor:"12,keyasint,omitempty"` // the sender of a message that was passed on
}

// Count says how many calls the sender has at an upstream.
type Count struct {
	_        struct{} `cbor:",toarray"`
	Upstream htcatalog.Ref
	Calls    uint16
}

// NewCount returns a Count.
func NewCount(ref htcatalog.Ref, calls int) Count { return Count{Upstream: ref, Calls: short(calls)} }

// Report is an observation of an upstream.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Upstream htcatalog.Ref
	AgeMS    uint16
	Speed    uint16
	Running  uint16
	Waiting  uint16
	Slots    uint16
	ColdMS   uint32
	State    uint8
}

// Bits of Report.State.
const (
	stateDown = 1 << iota
	stateIll
)

// Fault is a failure of an upstream.
type Fault struct {
	_        struct{} `cbor:",toarray"`
	Upstream htcatalog.Ref
	Percent  uint8
}

// NewReport returns the wire form of an observation that was valid for age.
func NewReport(o htselect.Observation, age time.Duration) Report {
	r := Report{
		Upstream: o.Upstream,
		AgeMS:    short(int(age.Milliseconds())),
		Speed:    short(o.Speed),
		Running:  short(o.Running),
		Waiting:  short(o.Waiting),
		Slots:    short(o.Slots),
		ColdMS:   uint32(min(max(o.Cold.Milliseconds(), 0), 1<<31)),
	}
	if o.Down {
		r.State |= stateDown
	}
	if o.Ill {
		r.State |= stateIll
	}
	return r
}

func short(n int) uint16 { return uint16(min(max(n, 0), 1<<16-1)) }

// Observation returns what r says.
func (r Report) Observation() htselect.Observation {
	return htselect.Observation{
		Upstream: r.Upstream,
		Speed:    int(r.Speed),
		Running:  int(r.Running),
		Waiting:  int(r.Waiting),
		Slots:    int(r.Slots),
		Cold:     time.Duration(r.ColdMS) * time.Millisecond,
		ColdTold: true,
		Down:     r.State&stateDown != 0,
		Ill:      r.State&stateIll != 0,
	}
}

// Age returns how old the observation was when it was sent.
func (r Report) Age() time.Duration { return time.Duration(r.AgeMS) * time.Millisecond }

// StoreAge returns the age of the sender's last answer from the store, or a negative
// value if it has none.
func (m *Message) StoreAge() time.Duration { return time.Duration(m.Store) * time.Millisecond }

// Source returns the host that made the message, which came from an address.
func (m *Message) Source(from netip.AddrPort) netip.AddrPort {
	if origin, err := netip.ParseAddrPort(m.Origin); err == nil {
		return origin
	}
	return from
}

// Encode returns the datagram of m.
func (m *Message) Encode() ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return data, nil
}

// errVersion means that a message names an impossible version.
var errVersion = errors.New("message has a negative version")

// Decode reads a datagram.
func Decode(data []byte) (*Message, error) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	for _, v := range m.Versions {
		if v < 0 {
			return nil, errVersion
		}
	}
	if m.Origin != "" {
		if _, err := netip.ParseAddrPort(m.Origin); err != nil {
			return nil, fmt.Errorf("origin of message: %w", err)
		}
	}
	return &m, nil
}
