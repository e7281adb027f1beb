package htselect

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornturn/core/htcatalog"
)

// coldInterval is the time between two calls of one host to a cold upstream. The number of
// hosts that may send to it, one call each per interval, is the number of calls per second
// that the upstream can take, so the limit holds over all hosts without coordination.
const coldInterval = time.Second

// coldWait returns how long this host must wait before it may send to a cold upstream; 0
// means that it may send now.
func (s *Selector) coldWait(now time.Time, u *upstream, sv htcatalog.Service) time.Duration {
	if s.group.RankAll(xxhash.Sum64String(u.declared.ID)) >= coldSenders(sv) {
		return u.coldUntil.Sub(now)
	}
	if u.coldSent.IsZero() {
		return 0
	}
	return max(0, u.coldSent.Add(coldInterval).Sub(now))
}

// coldSenders returns the number of hosts that may send to a cold upstream of a service.
func coldSenders(sv htcatalog.Service) int { return max(int(sv.ColdPerSecond), 1) }
