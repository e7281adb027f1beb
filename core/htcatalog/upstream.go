package htcatalog

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Ref is a short name of an upstream in messages between hosts.
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
	ColdLeft time.Duration // as announced
	Started  int64         // distinguishes incarnations with the same id
}

// Ref returns the short name of u.
func (u Upstream) Ref() Ref { return RefOf(u.ID) }

// DomainOut names a failure domain that operators have taken out.
type DomainOut struct {
	Domain string
}

// Declaration is one declaration: a Config, an Upstream or an Outage.
type Declaration interface{ item() }

func (*Config) item()   {}
func (Upstream) item()  {}
func (DomainOut) item() {}
