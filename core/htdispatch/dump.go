package htdispatch

import (
	"slices"
	"strings"
	"time"
)

// Counts are totals since the Pool was created.
type Counts struct {
	Offered int64 `json:"offered"`
	Started int64 `json:"started"`
	Refused int64 `json:"refused"`
}

// Dump is a snapshot of a Pool for the diagnostics of a running host.
type Dump struct {
	Shard     string         `json:"shard"`
	Frozen    bool           `json:"frozen"`
	DomainOut bool           `json:"domain-out"`
	InFlight  int            `json:"in-flight"`
	Held      int            `json:"held"`
	Queued    int            `json:"queued"`
	Capacity  int            `json:"capacity"`
	Counts    Counts         `json:"counts"`
	Upstreams []UpstreamDump `json:"upstreams"`
	Services  []ServiceDump  `json:"services"`
}

// UpstreamDump is the state of one upstream.
type UpstreamDump struct {
	Name      string    `json:"name"`
	Address   string    `json:"address"`
	Phase     string    `json:"phase"`
	Leaving   bool      `json:"leaving"`
	Slots     int       `json:"slots"`
	Allowed   int       `json:"allowed"`
	InFlight  int       `json:"in-flight"`
	Silent    int       `json:"silent"` // slots of overdue requests that were abandoned or lost their connection; included in InFlight, occupied until the upstream responds again
	Coldness  float64   `json:"coldness"`
	ColdSince time.Time `json:"cold-since"`
	Probes    int64     `json:"probes"`
}

// ServiceDump is the state of the requests of one service and idempotency class.
type ServiceDump struct {
	Service     string `json:"service"`
	Idempotent  bool   `json:"idempotent"`
	Queued      int    `json:"queued"` // of the service, over both idempotency classes
	UsualMicros int64  `json:"usual-work-us"`
}

// Dump returns a snapshot of the state, with upstreams and services sorted by name.
func (p *Pool) Dump() Dump {
	d := Dump{
		Shard:     p.cfg.Shard,
		Frozen:    p.frozen,
		DomainOut: p.domainOut,
		InFlight:  p.inFlight,
		Held:      p.heldCount,
		Queued:    p.queue.len(),
		Capacity:  p.availableCapacity(),
		Counts:    p.counts,
	}
	for _, u := range p.upstreams {
		d.Upstreams = append(d.Upstreams, UpstreamDump{
			Name:      u.declared.Name,
			Address:   u.declared.Address,
			Phase:     string(u.phase),
			Leaving:   u.undeclared || u.declared.Leaving,
			Slots:     u.declared.Slots,
			Allowed:   u.learnedLimit,
			InFlight:  u.inFlight,
			Silent:    len(u.awaitingResponse),
			Coldness:  u.coldEvidence,
			ColdSince: u.coldSince,
			Probes:    u.probeTokens.taken,
		})
	}
	slices.SortFunc(d.Upstreams, func(a, b UpstreamDump) int { return strings.Compare(a.Name, b.Name) })
	for key, estimate := range p.workTimes {
		d.Services = append(d.Services, ServiceDump{
			Service:     key.service,
			Idempotent:  key.idempotent,
			Queued:      p.queue.root.flows[key.service].len(),
			UsualMicros: estimate.meanDuration().Microseconds(),
		})
	}
	slices.SortFunc(d.Services, func(a, b ServiceDump) int { return strings.Compare(a.Service, b.Service) })
	return d
}
