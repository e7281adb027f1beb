package htselect

import (
	"maps"
	"slices"
	"time"

	"hawthornturn/core/htcatalog"
)

// leavingMemory is how long an incarnation that announced its leaving is remembered after
// that. Its row may vanish and come back meanwhile, as after an outage of the store.
const leavingMemory = 10 * time.Minute

// maxLeaving bounds the incarnations that are remembered and not known.
const maxLeaving = 1 << 14

// Notice is what an upstream asks of the hosts beside an answer. The zero value asks nothing.
type Notice struct {
	Leaving bool          // no new calls from any host, until its next incarnation
	Pause   time.Duration // no calls from this host for this time
}

// Incarnation identifies one start of an upstream.
type Incarnation struct {
	Upstream htcatalog.Ref
	Started  int64
}

// IncarnationOf returns the incarnation of a declared upstream.
func IncarnationOf(u htcatalog.Upstream) Incarnation { return Incarnation{u.Ref(), u.Started} }

// RecordNotice records a notice of an incarnation. It reports whether the upstream is known and now
// leaving for the first time. The leaving of one that is not known yet is remembered: the
// message of another host may arrive before the row.
func (s *Selector) RecordNotice(now time.Time, of Incarnation, n Notice) bool {
	u := s.byRef[of.Upstream]
	if u == nil || u.declared.Started != of.Started {
		if n.Leaving && len(s.leaving) < maxLeaving {
			s.leaving[of] = now
		}
		return false
	}
	if until := now.Add(n.Pause); n.Pause > 0 && until.After(u.pausedUntil) {
		u.pausedUntil = until
	}
	if !n.Leaving || u.leaving {
		return false
	}
	u.leaving = true
	s.leaving[of] = now
	return true
}

// Leaving returns the incarnations that announced their leaving.
func (s *Selector) Leaving() []Incarnation {
	return slices.Collect(maps.Keys(s.leaving))
}

// forgetLeaving removes the incarnations that announced their leaving long ago.
func (s *Selector) forgetLeaving(now time.Time) {
	for of, at := range s.leaving {
		if now.Sub(at) > leavingMemory {
			delete(s.leaving, of)
		}
	}
}

// inService reports whether an upstream may get calls by what it, its row and the operators
// say, whatever its state.
func (s *Selector) inService(u *upstream) bool {
	return !u.declared.Draining && !u.leaving && !u.addressReused && !s.catalog.DomainsOut[u.declared.Domain]
}

// paused reports whether the upstream has asked this host for no calls at now.
func (u *upstream) paused(now time.Time) bool { return now.Before(u.pausedUntil) }
