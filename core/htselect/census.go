package htselect

import (
	"slices"
	"time"
)

// UpstreamCounts counts the upstreams of a service by what keeps them from taking a call. Each is
// counted once, under the first cause that holds in the order of the fields.
type UpstreamCounts struct {
	Upstreams int `json:"upstreams"`
	Out       int `json:"out"`      // in a failure domain that is taken out
	Draining  int `json:"draining"` // also those at whose address another one answers
	Down      int `json:"down"`
	Tried     int `json:"tried"`  // by the same call
	Cold      int `json:"cold"`   // cold, and this host may send none now
	Paused    int `json:"paused"` // refused a call a moment ago
	Full      int `json:"full"`
	Busy      int `json:"busy"` // so busy that one more call may make it slower
	Free      int `json:"free"`
	Unknown   int `json:"unknown"` // of the free ones, those without a fresh report
}

// UpstreamCounts counts the upstreams of a service at now.
func (s *Selector) UpstreamCounts(now time.Time, serviceName string, tried []string) UpstreamCounts {
	sv := s.services[serviceName]
	if sv == nil {
		return UpstreamCounts{}
	}
	c := UpstreamCounts{Upstreams: len(sv.upstreams)}
	for _, u := range sv.upstreams {
		switch {
		case s.catalog.DomainsOut[u.declared.Domain]:
			c.Out++
		case u.declared.Draining || u.misplaced:
			c.Draining++
		case u.report.Down:
			c.Down++
		case slices.Contains(tried, u.declared.ID):
			c.Tried++
		case u.cold(now) && s.coldNext(now, u, sv.declared) > 0:
			c.Cold++
		case now.Before(u.avoid):
			c.Paused++
		case u.load(now) >= float64(u.slots()):
			c.Full++
		case u.crowded(u.load(now)):
			c.Busy++
		default:
			c.Free++
			if !u.fresh(now) {
				c.Unknown++
			}
		}
	}
	return c
}
