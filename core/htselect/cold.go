package htselect

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornturn/core/htcatalog"
)

// coldInterval is the time between two calls of one host to a cold upstream. As many
// hosts as the upstream bears calls a second may send to it, one call each, so the
// sum over all hosts holds without any message between them.
const coldInterval = time.Second

// coldNext returns how long this host has to wait before it may send to a cold
// upstream; zero means now.
func (s *Selector) coldNext(now time.Time, u *upstream, sv htcatalog.Service) time.Duration {
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
