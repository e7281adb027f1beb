package htrelay

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htroute"
)

const (
	// crashThreshold is the number of crashes from which a request is refused. One
	// crash may be a coincidence.
	crashThreshold = 2
	// crashWindow is how long crashes are remembered.
	crashWindow = 10 * time.Minute
	// crashConfirm is the time within which an upstream must be found gone for a broken
	// connection to count as a crash. Answers are lost in other ways too, and one that is
	// only silent may be cut off.
	crashConfirm = 700 * time.Millisecond
	// domainLoss is the time within which two crashes of a request that this host sent to
	// one failure domain count once: the two sends of a call may meet the loss of a failure
	// domain. Its upstreams are gone within 10 ms of each other, and the second send follows
	// the first within askLimit.
	domainLoss  = 100 * time.Millisecond
	maxSuspects = 256
	// crashNews is how long a crash is told to other hosts with each message; a few of
	// them may be lost. maxCrashNews bounds the size of a message.
	crashNews    = 3 * time.Second
	maxCrashNews = 8
)

// crashes counts which requests crash the upstreams that run them. Each upstream is a
// reporter of its own crashes, whichever host saw them, so that one crash that several
// hosts see counts once.
type crashes struct {
	quarantine *htroute.Quarantine
	suspects   []suspect
	counted    map[requestDomain]time.Time // last crash that was counted there, for domainLoss
	news       []htroute.CrashCount        // seen by this host, oldest first
}

// requestDomain is a request together with a failure domain to which it was sent.
type requestDomain struct {
	fingerprint uint64
	domain      string
}

// suspect is a request whose connection broke.
type suspect struct {
	requestDomain
	upstream htcatalog.Ref
	at       time.Time
}

func newCrashes() *crashes {
	return &crashes{quarantine: htroute.NewQuarantine(crashThreshold, crashWindow), counted: map[requestDomain]time.Time{}}
}

func name[T ~uint32 | ~uint64](id T) string { return strconv.FormatUint(uint64(id), 36) }

func (c *crashes) blocked(now time.Time, fingerprint uint64) bool {
	return c.quarantine.Blocked(now, name(fingerprint))
}

// served notes that an upstream has run a request to its end.
func (c *crashes) served(fingerprint uint64) { c.quarantine.Served(name(fingerprint)) }

// broke notes that the connection of a request to an upstream broke.
func (c *crashes) broke(now time.Time, fingerprint uint64, u htcatalog.Upstream) {
	if len(c.suspects) >= maxSuspects {
		c.suspects = c.suspects[1:]
	}
	c.suspects = append(c.suspects, suspect{requestDomain{fingerprint, u.Domain}, u.Ref(), now})
}

// gone counts a crash for each request whose connection to the upstream just broke, and
// returns them.
func (c *crashes) gone(now time.Time, ref htcatalog.Ref) []htroute.CrashCount {
	var counted []htroute.CrashCount
	kept := c.suspects[:0]
	for _, s := range c.suspects {
		switch {
		case now.Sub(s.at) > crashConfirm:
		case s.upstream != ref:
			kept = append(kept, s)
		case now.Sub(c.counted[s.requestDomain]) < domainLoss:
		case now.Sub(c.quarantine.LastCrash(name(s.fingerprint), name(ref))) > crashConfirm:
			c.counted[s.requestDomain] = now
			counted = append(counted, c.quarantine.Crashed(now, name(s.fingerprint), name(ref)))
		}
	}
	c.suspects = kept
	maps.DeleteFunc(c.counted, func(_ requestDomain, at time.Time) bool { return now.Sub(at) >= domainLoss })
	c.news = append(c.news, counted...)
	return counted
}

// recent returns the newest crashes that this host saw. All that is known would outgrow a
// datagram after a few crashed upstreams.
func (c *crashes) recent(now time.Time) []htroute.CrashCount {
	for len(c.news) > 0 && now.Sub(c.news[0].Last) > crashNews {
		c.news = c.news[1:]
	}
	return slices.Clone(c.news[max(0, len(c.news)-maxCrashNews):])
}

// RecentCrashes returns what other hosts are told of crashes that this host saw.
func (r *Relay) RecentCrashes() []htroute.CrashCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes.recent(r.now())
}

// AllCrashes returns all crash counts, for a host that has just started.
func (r *Relay) AllCrashes() []htroute.CrashCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes.quarantine.Export(r.now())
}

// MergeCrashes takes in the crash counts of another host.
func (r *Relay) MergeCrashes(counts []htroute.CrashCount) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes.quarantine.Merge(r.now(), counts)
}
