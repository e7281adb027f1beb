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
	// crashThreshold is the number of crashes from which a request is refused. A single
	// crash may be a coincidence.
	crashThreshold = 2
	// crashWindow is how long crashes count.
	crashWindow = 10 * time.Minute
	// crashConfirmWindow is the time within which an upstream must be found gone for a
	// closed connection to count as a crash. Answers are lost in other ways too, and an
	// upstream that merely does not respond may be partitioned.
	crashConfirmWindow = 700 * time.Millisecond
	// domainLossWindow is the time within which two crashes of a request that this host
	// sent to one failure domain count once, since both sends of a call may be in flight
	// when the failure domain is lost. Its upstreams are gone within 10 ms of each other,
	// and the second send follows the first within probeWait.
	domainLossWindow = 100 * time.Millisecond
	// maxSuspects bounds the suspects that are kept. The oldest are dropped.
	maxSuspects = 256
	// crashGossipTime is how long each message to other hosts repeats a crash, since a few
	// messages may be lost. maxGossipCrashes bounds the size of a message.
	crashGossipTime  = 3 * time.Second
	maxGossipCrashes = 8
)

// crashes counts the upstream crashes that requests cause. The upstream is the reporter of
// its own crash, whichever host saw it, so that a crash that several hosts see counts once.
type crashes struct {
	quarantine *htroute.Quarantine
	suspects   []suspect
	counted    map[requestDomain]time.Time // last counted crash, for domainLossWindow
	gossip     []htroute.CrashCount        // seen by this host, oldest first
}

// requestDomain is a request and a failure domain to which it was sent.
type requestDomain struct {
	fingerprint uint64
	domain      string
}

// suspect is a request whose connection to an upstream was closed.
type suspect struct {
	requestDomain
	upstream htcatalog.Ref
	at       time.Time
}

func newCrashes() *crashes {
	return &crashes{quarantine: htroute.NewQuarantine(crashThreshold, crashWindow), counted: map[requestDomain]time.Time{}}
}

func formatID[T ~uint32 | ~uint64](id T) string { return strconv.FormatUint(uint64(id), 36) }

func (c *crashes) blocked(now time.Time, fingerprint uint64) bool {
	return c.quarantine.Blocked(now, formatID(fingerprint))
}

// served records that an upstream has run a request to completion.
func (c *crashes) served(fingerprint uint64) { c.quarantine.Served(formatID(fingerprint)) }

// connectionBroke records that the connection of a request to an upstream was closed.
func (c *crashes) connectionBroke(now time.Time, fingerprint uint64, u htcatalog.Upstream) {
	if len(c.suspects) >= maxSuspects {
		c.suspects = c.suspects[1:]
	}
	c.suspects = append(c.suspects, suspect{requestDomain{fingerprint, u.Domain}, u.Ref(), now})
}

// upstreamGone counts a crash for each request whose connection to the upstream was closed
// within crashConfirmWindow, unless it counts with an earlier crash, and returns the new
// counts.
func (c *crashes) upstreamGone(now time.Time, ref htcatalog.Ref) []htroute.CrashCount {
	var counted []htroute.CrashCount
	kept := c.suspects[:0]
	for _, s := range c.suspects {
		switch {
		case now.Sub(s.at) > crashConfirmWindow:
		case s.upstream != ref:
			kept = append(kept, s)
		case now.Sub(c.counted[s.requestDomain]) < domainLossWindow:
		case now.Sub(c.quarantine.LastCrash(formatID(s.fingerprint), formatID(ref))) > crashConfirmWindow:
			c.counted[s.requestDomain] = now
			counted = append(counted, c.quarantine.Crashed(now, formatID(s.fingerprint), formatID(ref)))
		}
	}
	c.suspects = kept
	maps.DeleteFunc(c.counted, func(_ requestDomain, at time.Time) bool { return now.Sub(at) >= domainLossWindow })
	c.gossip = append(c.gossip, counted...)
	return counted
}

// recent returns the newest crashes that this host saw, at most maxGossipCrashes and none
// older than crashGossipTime. All known crashes would exceed a datagram after a few
// upstream crashes.
func (c *crashes) recent(now time.Time) []htroute.CrashCount {
	for len(c.gossip) > 0 && now.Sub(c.gossip[0].Last) > crashGossipTime {
		c.gossip = c.gossip[1:]
	}
	return slices.Clone(c.gossip[max(0, len(c.gossip)-maxGossipCrashes):])
}

// RecentCrashes returns the recent crashes that this host saw, for messages to other hosts.
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

// MergeCrashes merges the crash counts of another host.
func (r *Relay) MergeCrashes(counts []htroute.CrashCount) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes.quarantine.Merge(r.now(), counts)
}
