package htselect

import (
	"slices"
	"time"
)

// UpstreamCounts counts the upstreams of a service by whether they can take a call and, if
// not, why. Busy and free ones can take a call; Out to Full are the reasons why others
// can't. Each upstream is counted under the first of these that applies, in the order of
// the fields. Unknown is a part of Free.
type UpstreamCounts struct {
	Upstreams int `json:"upstreams"`
	Out       int `json:"out"`      // in a failure domain that operators took out of service
	Draining  int `json:"draining"` // leaving, or another upstream answers at the address
	Down      int `json:"down"`
	Tried     int `json:"tried"`  // already tried by the same call
	Held      int `json:"held"`   // of a version that a roll-out gives no call now
	Cold      int `json:"cold"`   // cold, and the cold limit allows this host no call now
	Paused    int `json:"paused"` // refused a call less than refusalPause ago, or has asked for a pause
	Full      int `json:"full"`
	Busy      int `json:"busy"` // one more call may slow it down
	Free      int `json:"free"`
	Unknown   int `json:"unknown"` // free upstreams without a fresh report
}

// UpstreamCounts counts the upstreams of a service at now, for a call that has tried some
// of them. It returns zeros for an unknown service.
func (s *Selector) UpstreamCounts(now time.Time, serviceName string, tried []string) UpstreamCounts {
	sv := s.services[serviceName]
	if sv == nil {
		return UpstreamCounts{}
	}
	c := UpstreamCounts{Upstreams: len(sv.upstreams)}
	versions := sv.plan(s, now)
	for _, u := range sv.upstreams {
		switch {
		case s.catalog.DomainsOut[u.declared.Domain]:
			c.Out++
		case !s.inService(u):
			c.Draining++
		case u.report.Down:
			c.Down++
		case slices.Contains(tried, u.declared.ID):
			c.Tried++
		case versions.use(u) == useNever:
			c.Held++
		case u.cold(now) && s.coldWait(now, u, sv.declared) > 0:
			c.Cold++
		case now.Before(u.avoidUntil) || u.paused(now):
			c.Paused++
		case u.load(now) >= float64(u.slots()):
			c.Full++
		case u.busy(u.load(now)):
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
