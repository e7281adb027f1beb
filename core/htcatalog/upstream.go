package htcatalog

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Ref is a short hash of an upstream id, used in messages between hosts.
type Ref uint32

// RefOf returns the Ref of an upstream id.
func RefOf(id string) Ref { return Ref(xxhash.Sum64String(id)) }

// Upstream is one announced upstream.
type Upstream struct {
	ID       string
	Service  string
	Address  string
	Domain   string
	Version  string // of its software
	Slots    int
	Draining bool
	ColdLeft time.Duration // remaining cold start as announced
	Started  int64         // distinguishes incarnations with the same id
}

// Ref returns the Ref of u.
func (u Upstream) Ref() Ref { return RefOf(u.ID) }

// Supersedes reports whether u is newer than another announcement of the same upstream: it is of
// a later start or, in the same start, u says that the upstream is draining, which no upstream
// takes back.
func (u Upstream) Supersedes(o Upstream) bool {
	if u.Started != o.Started {
		return u.Started > o.Started
	}
	return u.Draining && !o.Draining
}

// DomainOut declares that operators have taken a failure domain out of service.
type DomainOut struct {
	Domain string
}

// Rollout declares that operators move the calls of a service to upstreams of a version.
type Rollout struct {
	Service  string
	Version  string        // of the upstreams that are to take over
	Duration time.Duration // within which the move is to be complete
	Order    int64         // version of the row, which tells two orders for the same version apart
	// Invalid says why the order can't be carried out; it is empty for a valid one.
	Invalid string
}

// Declaration is one declaration: a *Config, an Upstream, a DomainOut or a Rollout.
type Declaration interface{ item() }

func (*Config) item()   {}
func (Upstream) item()  {}
func (DomainOut) item() {}
func (Rollout) item()   {}
