package htpath

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htroute"
)

const (
	// CrashThreshold is the number of crashes after which a request is refused. One
	// crash may be an unrelated failure of the upstream; a third would cost one more
	// upstream without telling more.
	CrashThreshold = 2
	// CrashWindow is the time for which a crash is remembered.
	CrashWindow = 10 * time.Minute
)

// Quarantine counts crashes per request and is shared by the parts of a host.
type Quarantine struct {
	mu     sync.Mutex
	counts *htroute.Quarantine
}

// NewQuarantine returns an empty Quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{counts: htroute.NewQuarantine(CrashThreshold, CrashWindow)}
}

// Crashed records that the call named reporter ended with the upstream closing its
// connection.
func (q *Quarantine) Crashed(now time.Time, fingerprint, reporter string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.counts.Crashed(now, fingerprint, reporter)
	logrus.WithFields(logrus.Fields{
		"event": "upstream-crashed", "call": reporter, "blocked": q.counts.Blocked(now, fingerprint),
	}).Warn("upstream closed the connection during a request")
}

// Blocked reports whether the request is refused.
func (q *Quarantine) Blocked(now time.Time, fingerprint string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.counts.Blocked(now, fingerprint)
}

// Export returns the counts to tell other hosts.
func (q *Quarantine) Export(now time.Time) []htroute.CrashCount {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.counts.Export(now)
}

// Merge adds counts of another host.
func (q *Quarantine) Merge(now time.Time, counts []htroute.CrashCount) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.counts.Merge(now, counts)
}
