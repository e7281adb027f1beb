package htcall

import (
	"time"

	"github.com/google/uuid"
)

// Header fields between callers and hawthornturn.
const (
	HeaderOutcome        = "Hawthornturn-Outcome"
	HeaderReason         = "Hawthornturn-Reason"
	HeaderTimeoutMS      = "Hawthornturn-Timeout-Ms"
	HeaderCaller         = "Hawthornturn-Caller"
	HeaderHost           = "Hawthornturn-Host"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Meta is the metadata of a call that is passed between entry hosts.
type Meta struct {
	ID         string        `cbor:"id" json:"id"`
	Service    string        `cbor:"service" json:"service"`
	Caller     string        `cbor:"caller" json:"caller"`
	Method     string        `cbor:"method" json:"method"`
	URI        string        `cbor:"uri" json:"uri"`
	Idempotent bool          `cbor:"idempotent" json:"idempotent"`
	Key        string        `cbor:"key,omitempty" json:"key,omitempty"`
	Remaining  time.Duration `cbor:"remaining" json:"remaining"`
	Attempt    int           `cbor:"attempt" json:"attempt"`
	Shard      string        `cbor:"shard,omitempty" json:"shard,omitempty"` // shard that the receiver dispatches the call for
	View       uint64        `cbor:"view,omitempty" json:"view,omitempty"`   // number of the sender's membership view, which determines the owner of the shard
}

// Fingerprint identifies the request for crash counting. A retry of the same request has
// the same fingerprint.
func (m Meta) Fingerprint() string {
	return m.Service + "\x00" + m.Method + "\x00" + m.URI + "\x00" + m.Key
}

// KeyTime returns the creation time of an idempotency key. It returns false unless the key
// is a UUID of version 7.
func KeyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// Load is the state of a pool shard, which consists of the upstreams of one pool in one
// failure domain. It is sent with each answer.
type Load struct {
	InFlight int  `cbor:"in-flight" json:"in-flight"`
	Queued   int  `cbor:"queued" json:"queued"`
	Capacity int  `cbor:"capacity" json:"capacity"` // sum of the allowed limits of its upstreams
	Shedding bool `cbor:"shedding" json:"shedding"` // refused a call because of load in the last second
}
