package htpath

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htroute"
)

const (
	// CrashThreshold is the number of crashes after which a request is refused. One
	// crash may be an unrelated failure of the upstream; waiting for a third would crash
	// another upstream without adding information.
	CrashThreshold = 2
	// CrashWindow is how long a crash is counted.
	CrashWindow = 10 * time.Minute
)

// Quarantine counts crashes per request fingerprint and blocks requests that reach
// CrashThreshold. It is safe for concurrent use by the parts of a host.
type Quarantine struct {
	mu     sync.Mutex
	counts *htroute.Quarantine
}

// NewQuarantine returns an empty Quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{counts: htroute.NewQuarantine(CrashThreshold, CrashWindow)}
}

// Crashed records that the upstream closed its connection during the call with the given
// ID.
func (q *Quarantine) Crashed(now time.Time, fingerprint, callID string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.counts.Crashed(now, fingerprint, callID)
	logrus.WithFields(logrus.Fields{
		"event": "upstream-crashed", "call": callID, "blocked": q.counts.Blocked(now, fingerprint),
	}).Warn("upstream closed the connection during a request")
}

// Blocked reports whether requests with the fingerprint are refused.
func (q *Quarantine) Blocked(now time.Time, fingerprint string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.counts.Blocked(now, fingerprint)
}

// Export returns the counts to send to other hosts.
func (q *Quarantine) Export(now time.Time) []htroute.CrashCount {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.counts.Export(now)
}

// Merge merges the counts of another host.
func (q *Quarantine) Merge(now time.Time, counts []htroute.CrashCount) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.counts.Merge(now, counts)
}
