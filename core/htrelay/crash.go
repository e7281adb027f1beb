package htrelay

import (
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
	// crashConfirm is the time within which an upstream must be found down for a
	// broken connection to count as a crash. Answers are lost in other ways too.
	crashConfirm = 700 * time.Millisecond
	maxSuspects  = 256
	// crashNews is how long a crash is told to other hosts with each message; a few of
	// them may be lost. maxCrashNews bounds the size of a message.
	crashNews    = 3 * time.Second
	maxCrashNews = 8
)

// crashes counts which requests crash the upstreams that run them.
type crashes struct {
	reporter   string
	quarantine *htroute.Quarantine
	suspects   []suspect
}

// suspect is a request whose connection broke.
type suspect struct {
	fingerprint uint64
	upstream    htcatalog.Ref
	at          time.Time
}

func newCrashes(reporter string) *crashes {
	return &crashes{reporter: reporter, quarantine: htroute.NewQuarantine(crashThreshold, crashWindow)}
}

func name(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 36) }

func (c *crashes) blocked(now time.Time, fingerprint uint64) bool {
	return c.quarantine.Blocked(now, name(fingerprint))
}

// broke notes that the connection of a request broke.
func (c *crashes) broke(now time.Time, fingerprint uint64, ref htcatalog.Ref) {
	if len(c.suspects) >= maxSuspects {
		c.suspects = c.suspects[1:]
	}
	c.suspects = append(c.suspects, suspect{fingerprint, ref, now})
}

// down counts a crash for each request whose connection to the upstream just broke.
func (c *crashes) down(now time.Time, ref htcatalog.Ref) {
	kept := c.suspects[:0]
	for _, s := range c.suspects {
		switch {
		case now.Sub(s.at) > crashConfirm:
		case s.upstream == ref:
			c.quarantine.Crashed(now, name(s.fingerprint), c.reporter)
		default:
			kept = append(kept, s)
		}
	}
	c.suspects = kept
}

// Crashes returns what other hosts are told of crashes that this host saw.
func (r *Relay) Crashes() []htroute.CrashCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes.quarantine.News(r.now(), r.crashes.reporter, crashNews, maxCrashNews)
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
