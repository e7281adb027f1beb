package htgossip

import (
	"cmp"
	"errors"
	"maps"
	"math"
	"slices"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htfair"
)

// DemandScope says whose demand a message holds.
type DemandScope uint8

// The scopes of a demand.
const (
	DemandOfHost   DemandScope = iota // sent by a host to its hub
	DemandOfDomain                    // sent by a hub to the other hubs
	DemandOfAll                       // sent by a hub to the hosts of its failure domain
)

// Demand is what accounts ask of services for which calls wait.
type Demand struct {
	_       struct{} `cbor:",toarray"`
	Scope   DemandScope
	Classes []ClassDemand
}

// ClassDemand is the demand for a service in one class (htfair.Demand). Loads are in milliseconds of
// work a second, and what waits in milliseconds of work.
type ClassDemand struct {
	_        struct{} `cbor:",toarray"`
	Service  htcatalog.Ref
	Class    uint16
	Waiting  uint32
	OnTime   uint32
	Others   uint32
	Rest     AccountLoad // without a Ref
	Accounts []AccountLoad
}

// AccountLoad is the load of an account (htfair.Load).
type AccountLoad struct {
	_       struct{} `cbor:",toarray"`
	Account htfair.Ref
	Usual   uint32
	Asked   uint32
	Used    uint32
}

// NewDemand returns the message of a picture.
func NewDemand(scope DemandScope, p htfair.Picture) *Demand {
	d := &Demand{Scope: scope}
	for _, service := range slices.Sorted(maps.Keys(p)) {
		for _, of := range p[service] {
			class := ClassDemand{
				Service: service, Class: uint16(of.Class), Waiting: encodeLoad(of.Waiting), OnTime: encodeLoad(of.OnTime),
				Others: uint32(of.Others), Rest: newAccountLoad(0, of.Rest),
			}
			for _, account := range slices.Sorted(maps.Keys(of.Accounts)) {
				class.Accounts = append(class.Accounts, newAccountLoad(account, of.Accounts[account]))
			}
			d.Classes = append(d.Classes, class)
		}
	}
	return d
}

func newAccountLoad(account htfair.Ref, l htfair.Load) AccountLoad {
	return AccountLoad{Account: account, Usual: encodeLoad(l.Usual), Asked: encodeLoad(l.Asked), Used: encodeLoad(l.Used)}
}

// encodeLoad returns a load in milliseconds of work a second.
func encodeLoad(seconds float64) uint32 {
	return uint32(min(max(math.Round(1000*seconds), 0), math.MaxUint32))
}

func (l AccountLoad) load() htfair.Load {
	return htfair.Load{Usual: float64(l.Usual) / 1000, Asked: float64(l.Asked) / 1000, Used: float64(l.Used) / 1000}
}

// Picture returns the picture of the message.
func (d *Demand) Picture() htfair.Picture {
	p := htfair.Picture{}
	for _, c := range d.Classes {
		of := htfair.Demand{
			Class: int(c.Class), Waiting: float64(c.Waiting) / 1000, OnTime: float64(c.OnTime) / 1000, Others: int(c.Others),
			Rest: c.Rest.load(), Accounts: make(map[htfair.Ref]htfair.Load, len(c.Accounts)),
		}
		for _, a := range c.Accounts {
			of.Accounts[a.Account] = a.load()
		}
		p[c.Service] = append(p[c.Service], of)
	}
	for _, demands := range p {
		slices.SortFunc(demands, func(a, b htfair.Demand) int { return cmp.Compare(a.Class, b.Class) })
	}
	return p
}

// errInvalidDemand means that a demand has an unknown scope or names a class of a service twice.
var errInvalidDemand = errors.New("demand of an unknown scope, or with a class twice")

func (d *Demand) validate() error {
	type key struct {
		service htcatalog.Ref
		class   uint16
	}
	known := map[key]bool{}
	for _, c := range d.Classes {
		if known[key{c.Service, c.Class}] {
			return errInvalidDemand
		}
		known[key{c.Service, c.Class}] = true
	}
	if d.Scope > DemandOfAll {
		return errInvalidDemand
	}
	return nil
}
