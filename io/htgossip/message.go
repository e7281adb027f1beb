package htgossip

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htmirror"
	"hawthornturn/core/htrollout"
	"hawthornturn/core/htroute"
	"hawthornturn/core/htusage"
)

// MaxDatagram is the largest size in bytes at which a datagram is not fragmented.
const MaxDatagram = 1200

// Scope says to which hosts the receiver of a datagram forwards its messages.
type Scope uint8

// The scopes. The hub is the host that forwards the messages of a failure domain.
const (
	ScopeNone   Scope = iota // not forwarded
	ScopeAll                 // sent by a host to its hub: forwarded to the failure domain and to the hubs of the others
	ScopeDomain              // sent by a hub to another hub: forwarded to the failure domain
)

// Datagram carries messages of one or more hosts.
type Datagram struct {
	Scope    Scope     `cbor:"1,keyasint,omitempty"`
	Messages []Message `cbor:"2,keyasint"`
}

// Message is one message of a host to the others.
type Message struct {
	Origin      PeerID               `cbor:"1,keyasint"`           // the host that created the message
	Incarnation uint32               `cbor:"2,keyasint"`           // of the process of the origin
	Sequence    uint32               `cbor:"3,keyasint"`           // increases with each message of an incarnation
	Status      *Status              `cbor:"4,keyasint,omitempty"` // set in a heartbeat
	Gone        []htcatalog.Ref      `cbor:"5,keyasint,omitempty"` // upstreams that no longer run at their address
	Faults      []Fault              `cbor:"7,keyasint,omitempty"`
	Crashes     []htroute.CrashCount `cbor:"8,keyasint,omitempty"`
	Update      *htmirror.Update     `cbor:"9,keyasint,omitempty"`
	Leaving     []Incarnation        `cbor:"10,keyasint,omitempty"` // upstreams that announced their leaving
	Rollouts    []htrollout.Report   `cbor:"12,keyasint,omitempty"`
	// Usage and Demand are sent in messages of their own, with Sequence 0, since they overtake
	// messages that hubs forward. Usage has its own sequence, and a newer Demand replaces that of
	// before.
	Usage  *htusage.News `cbor:"11,keyasint,omitempty"`
	Demand *Demand       `cbor:"13,keyasint,omitempty"` // on services for which calls wait
}

// Status is the content of a heartbeat.
type Status struct {
	Domain          string            `cbor:"1,keyasint"`
	Name            string            `cbor:"2,keyasint,omitempty"` // set for receivers that may not know the host
	Versions        htmirror.Versions `cbor:"3,keyasint"`
	StoreAgeMS      int64             `cbor:"4,keyasint"` // age of the host's last answer from the store in ms, or -1 if it has none
	Leaving         bool              `cbor:"5,keyasint,omitempty"`
	Capacity        int               `cbor:"7,keyasint,omitempty"`
	WantsReply      bool              `cbor:"6,keyasint,omitempty"` // requests a heartbeat in reply, as from a host that may have just started
	NextHeartbeatMS int64             `cbor:"8,keyasint,omitempty"` // time until the next heartbeat in ms, or 0 for the default interval
	Era             int64             `cbor:"9,keyasint,omitempty"` // of the store, to which the versions belong
}

// Position returns the place of the host in the history of the store.
func (s *Status) Position() htmirror.Position {
	return htmirror.Position{Era: s.Era, Versions: s.Versions}
}

// StoreAge returns the age of the host's last answer from the store, or a negative value
// if it has none.
func (s *Status) StoreAge() time.Duration { return time.Duration(s.StoreAgeMS) * time.Millisecond }

// NextHeartbeat returns the time until the host's next heartbeat, or zero for the default
// interval.
func (s *Status) NextHeartbeat() time.Duration {
	return time.Duration(s.NextHeartbeatMS) * time.Millisecond
}

// PeerID identifies a host by its IPv4 address.
type PeerID uint32

// PeerIDOf returns the PeerID of the host at an IPv4 address.
func PeerIDOf(address netip.Addr) PeerID {
	ip := address.Unmap().As4()
	return PeerID(binary.BigEndian.Uint32(ip[:]))
}

// AddressOf returns the address of a host.
func AddressOf(p PeerID) netip.Addr {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(p))
	return netip.AddrFrom4(ip)
}

// Fault is a failure of an upstream. Percent is its weight (htselect.Fault) in percent of
// the weight of a failed call.
type Fault struct {
	_        struct{} `cbor:",toarray"`
	Upstream htcatalog.Ref
	Percent  uint8
}

// Incarnation is one start of an upstream (htselect.Incarnation).
type Incarnation struct {
	_        struct{} `cbor:",toarray"`
	Upstream htcatalog.Ref
	Started  int64
}

// Encode returns d in CBOR.
func (d *Datagram) Encode() ([]byte, error) {
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode datagram: %w", err)
	}
	return data, nil
}

// errNegativeVersion means that a heartbeat has a negative version of a table or a negative era.
var errNegativeVersion = errors.New("message has a negative version or era")

// errNegativeHeartbeat means that the time until a host's next heartbeat is negative.
var errNegativeHeartbeat = errors.New("message has a negative time until the next heartbeat")

// errInvalidDelta means that rows are of an unknown table or have a negative version or era.
var errInvalidDelta = errors.New("rows of an unknown table, version or era")

// validDelta reports whether rows are of a known table and have a version and an era.
func validDelta(d htmirror.Delta) bool {
	return d.Version >= 0 && d.Era >= 0 && int(d.Table) < len(htmirror.Versions{})
}

// Decode decodes and validates a datagram.
func Decode(data []byte) (*Datagram, error) {
	var d Datagram
	if err := cbor.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("decode datagram: %w", err)
	}
	for i := range d.Messages {
		if err := d.Messages[i].validate(); err != nil {
			return nil, err
		}
	}
	return &d, nil
}

func (m *Message) validate() error {
	if u := m.Update; u != nil && !validDelta(u.Delta) {
		return errInvalidDelta
	}
	if m.Demand != nil {
		if err := m.Demand.validate(); err != nil {
			return err
		}
	}
	if m.Usage != nil {
		if err := m.Usage.Validate(); err != nil {
			return err
		}
	}
	for i := range m.Rollouts {
		if err := m.Rollouts[i].Validate(); err != nil {
			return err
		}
	}
	if m.Status == nil {
		return nil
	}
	if m.Status.NextHeartbeatMS < 0 {
		return errNegativeHeartbeat
	}
	for _, v := range append(m.Status.Versions[:], m.Status.Era) {
		if v < 0 {
			return errNegativeVersion
		}
	}
	return nil
}
