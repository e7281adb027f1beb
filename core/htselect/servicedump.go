package htselect

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServiceDump is the state of a service on this host.
type ServiceDump struct {
	Name           string         `json:"name"`
	UpstreamCounts UpstreamCounts `json:"census"`
	Cold           int            `json:"cold"`                      // cold upstreams
	ColdSendsPerS  int            `json:"cold-may-per-s"`            // calls per second that this host may send to them
	RetryTokens    float64        `json:"repeat-tokens"`             // retries that the budget allows now
	BusySlowdown   float64        `json:"crowding"`                  // work time factor of busy upstreams
	HedgeTokens    *time.Duration `json:"hedge-tokens-ns,omitempty"` // extra work that the limit on hedges allows now; nil without a limit
}

// DumpServices lists the services by name.
func (s *Selector) DumpServices(now time.Time) []ServiceDump {
	list := make([]ServiceDump, 0, len(s.services))
	for name, sv := range s.services {
		d := ServiceDump{
			Name:           name,
			UpstreamCounts: s.UpstreamCounts(now, name, nil),
			RetryTokens:    sv.budget.tokens,
			BusySlowdown:   sv.busySlowdown,
		}
		if sv.hedges != nil {
			tokens := sv.hedges.Tokens()
			d.HedgeTokens = &tokens
		}
		for _, u := range sv.upstreams {
			if !u.cold(now) {
				continue
			}
			d.Cold++
			if s.group.RankAll(xxhash.Sum64String(u.declared.ID)) < coldSenders(sv.declared) {
				d.ColdSendsPerS++
			}
		}
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b ServiceDump) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
