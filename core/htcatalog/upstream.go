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
	Slots    int
	Draining bool
	ColdLeft time.Duration // remaining cold start as announced
	Started  int64         // distinguishes incarnations with the same id
}

// Ref returns the Ref of u.
func (u Upstream) Ref() Ref { return RefOf(u.ID) }

// DomainOut declares that operators have taken a failure domain out of service.
type DomainOut struct {
	Domain string
}

// Declaration is one declaration: a *Config, an Upstream or a DomainOut.
type Declaration interface{ item() }

func (*Config) item()   {}
func (Upstream) item()  {}
func (DomainOut) item() {}
