package htroute

import (
	"slices"
	"strings"
	"time"
)

// maxCrashes bounds the crash counts that a Quarantine keeps. The oldest are dropped.
const maxCrashes = 1024

// CrashCount is the number of crashes of a request that one reporter saw.
type CrashCount struct {
	Fingerprint string    `json:"fingerprint" cbor:"fingerprint"`
	Reporter    string    `json:"reporter" cbor:"reporter"`
	Count       int       `json:"count" cbor:"count"`
	Last        time.Time `json:"last" cbor:"last"`
}

// Quarantine counts the crashes that requests cause and blocks requests that crash
// upstreams repeatedly. The counts of each reporter are kept apart, and a merged count
// replaces an earlier one of the same reporter, so that merging a report twice does not
// count it twice.
type Quarantine struct {
	threshold int
	window    time.Duration
	counts    map[string]map[string]CrashCount // by fingerprint, then reporter
	size      int
}

// NewQuarantine returns a Quarantine that blocks a fingerprint from threshold crashes on.
// The count of a reporter expires window after its last crash.
func NewQuarantine(threshold int, window time.Duration) *Quarantine {
	return &Quarantine{threshold: threshold, window: window, counts: map[string]map[string]CrashCount{}}
}

// Crashed counts a crash that reporter saw. A reporter needs a new name for each
// incarnation, so that the count under a name never falls.
func (q *Quarantine) Crashed(now time.Time, fingerprint, reporter string) CrashCount {
	q.expire(now)
	c := q.counts[fingerprint][reporter]
	c = CrashCount{Fingerprint: fingerprint, Reporter: reporter, Count: c.Count + 1, Last: now}
	q.put(c)
	return c
}

// LastCrash returns the time of the last crash that a reporter saw, or the zero time.
func (q *Quarantine) LastCrash(fingerprint, reporter string) time.Time {
	return q.counts[fingerprint][reporter].Last
}

// Served records that an upstream has run the request to completion and drops its crash
// counts: a request that many callers send may have been in flight when upstreams crashed
// for another reason.
func (q *Quarantine) Served(fingerprint string) {
	for _, c := range q.counts[fingerprint] {
		q.drop(c)
	}
}

// Blocked reports whether the unexpired crashes of the fingerprint reach the threshold.
func (q *Quarantine) Blocked(now time.Time, fingerprint string) bool {
	total := 0
	for _, c := range q.counts[fingerprint] {
		if now.Sub(c.Last) < q.window {
			total += c.Count
		}
	}
	return total >= q.threshold
}

// Export returns all counts for other hosts to merge.
func (q *Quarantine) Export(now time.Time) []CrashCount {
	q.expire(now)
	all := make([]CrashCount, 0, q.size)
	for _, reporters := range q.counts {
		for _, c := range reporters {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, compareCrashes)
	return all
}

func compareCrashes(a, b CrashCount) int {
	if c := strings.Compare(a.Fingerprint, b.Fingerprint); c != 0 {
		return c
	}
	return strings.Compare(a.Reporter, b.Reporter)
}

// Merge merges the counts of another host. Counts that are not higher than the known ones
// or are older than the window are ignored.
func (q *Quarantine) Merge(now time.Time, counts []CrashCount) {
	q.expire(now)
	for _, c := range counts {
		known := q.counts[c.Fingerprint][c.Reporter]
		if c.Count <= known.Count || now.Sub(c.Last) >= q.window {
			continue
		}
		// The clock of another host that is ahead must not extend the quarantine.
		if c.Last.After(now) {
			c.Last = now
		}
		q.put(c)
	}
}

func (q *Quarantine) put(c CrashCount) {
	reporters := q.counts[c.Fingerprint]
	if reporters == nil {
		reporters = map[string]CrashCount{}
		q.counts[c.Fingerprint] = reporters
	}
	if _, known := reporters[c.Reporter]; !known {
		q.size++
	}
	reporters[c.Reporter] = c
	if q.size > maxCrashes {
		q.dropOldest()
	}
}

func (q *Quarantine) expire(now time.Time) {
	for _, reporters := range q.counts {
		for _, c := range reporters {
			if now.Sub(c.Last) >= q.window {
				q.drop(c)
			}
		}
	}
}

func (q *Quarantine) dropOldest() {
	var oldest CrashCount
	for _, reporters := range q.counts {
		for _, c := range reporters {
			if oldest.Count == 0 || c.Last.Before(oldest.Last) || (c.Last.Equal(oldest.Last) && compareCrashes(c, oldest) < 0) {
				oldest = c
			}
		}
	}
	q.drop(oldest)
}

func (q *Quarantine) drop(c CrashCount) {
	reporters := q.counts[c.Fingerprint]
	delete(reporters, c.Reporter)
	if len(reporters) == 0 {
		delete(q.counts, c.Fingerprint)
	}
	q.size--
}
