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
	"hawthornturn/core/htroute"
)

// MaxDatagram is the size in bytes up to which a datagram is not fragmented.
const MaxDatagram = 1200

// Scope says where the receiver of a datagram sends its messages on.
type Scope uint8

// The scopes. The hub is the host that passes on the messages of a failure domain.
const (
	ScopeNone   Scope = iota // nowhere
	ScopeAll                 // from a host to its hub: to the failure domain and to the hubs of others
	ScopeDomain              // from a hub to another one: to the failure domain
)

// Datagram carries messages of one or more hosts.
type Datagram struct {
	Scope    Scope     `cbor:"1,keyasint,omitempty"`
	Messages []Message `cbor:"2,keyasint"`
}

// Message is what one host tells the others.
type Message struct {
	Origin      PeerID               `cbor:"1,keyasint"`           // the host that made the message, by its IPv4 address
	Incarnation uint32               `cbor:"2,keyasint"`           // of the process
	Sequence    uint32               `cbor:"3,keyasint"`           // grows with each message of an incarnation
	Status      *Status              `cbor:"4,keyasint,omitempty"` // set in a beat
	Gone        []htcatalog.Ref      `cbor:"5,keyasint,omitempty"` // upstreams that are gone from their address
	Faults      []Fault              `cbor:"7,keyasint,omitempty"`
	Crashes     []htroute.CrashCount `cbor:"8,keyasint,omitempty"`
	Update      *htmirror.Update     `cbor:"9,keyasint,omitempty"`
}

// Status is the sign of life of a host.
type Status struct {
	Domain          string            `cbor:"1,keyasint"`
	Name            string            `cbor:"2,keyasint,omitempty"` // for hosts that may not know it
	Versions        htmirror.Versions `cbor:"3,keyasint"`
	StoreAgeMS      int64             `cbor:"4,keyasint"` // age of the last answer of the store in ms, or -1
	Leaving         bool              `cbor:"5,keyasint,omitempty"`
	Capacity        int               `cbor:"7,keyasint,omitempty"`
	WantsReply      bool              `cbor:"6,keyasint,omitempty"` // the host wants an answer, since it may have just started
	NextHeartbeatMS int64             `cbor:"8,keyasint,omitempty"` // time until its next beat in ms, or 0 for the usual one
}

// StoreAge returns the age of the host's last answer from the store, or a negative value
// if it has none.
func (s *Status) StoreAge() time.Duration { return time.Duration(s.StoreAgeMS) * time.Millisecond }

// NextHeartbeat returns the time until the host's next beat, or zero for the usual one.
func (s *Status) NextHeartbeat() time.Duration {
	return time.Duration(s.NextHeartbeatMS) * time.Millisecond
}

// PeerID is the short name of a host: its IPv4 address.
type PeerID uint32

// PeerIDOf returns the short name of the host at an address.
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

// Fault is a failure of an upstream.
type Fault struct {
	_        struct{} `cbor:",toarray"`
	Upstream htcatalog.Ref
	Percent  uint8
}

// Encode returns the bytes of d.
func (d *Datagram) Encode() ([]byte, error) {
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode datagram: %w", err)
	}
	return data, nil
}

// errVersion means that a message names an impossible version.
var errVersion = errors.New("message has a negative version")

// errBeat means that a host says that its next beat was before this one.
var errBeat = errors.New("message has a negative time until the next beat")

// errTable means that rows are of an unknown table or have an impossible version.
var errTable = errors.New("rows of an unknown table or version")

// Decode reads a datagram.
func Decode(data []byte) (*Datagram, error) {
	var d Datagram
	if err := cbor.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("decode datagram: %w", err)
	}
	for i := range d.Messages {
		if err := d.Messages[i].check(); err != nil {
			return nil, err
		}
	}
	return &d, nil
}

func (m *Message) check() error {
	if u := m.Update; u != nil && (u.Delta.Version < 0 || int(u.Delta.Table) >= len(htmirror.Versions{})) {
		return errTable
	}
	if m.Status == nil {
		return nil
	}
	if m.Status.NextHeartbeatMS < 0 {
		return errBeat
	}
	for _, v := range m.Status.Versions {
		if v < 0 {
			return errVersion
		}
	}
	return nil
}
