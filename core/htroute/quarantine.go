package htroute

import (
	"slices"
	"strings"
	"time"
)

// maxCrashes bounds the crashes a Quarantine remembers. The oldest are dropped.
const maxCrashes = 1024

// CrashCount is the number of crashes of a request that one reporter saw.
type CrashCount struct {
	Fingerprint string    `json:"fingerprint" cbor:"fingerprint"`
	Reporter    string    `json:"reporter" cbor:"reporter"`
	Count       int       `json:"count" cbor:"count"`
	Last        time.Time `json:"last" cbor:"last"`
}

// Quarantine counts the crashes that requests cause and blocks those that crash
// upstreams again and again. The counts of each reporter are kept apart, and a
// merged report replaces the earlier one of the same reporter, so that merging a
// report twice does not count it twice.
type Quarantine struct {
	threshold int
	window    time.Duration
	counts    map[string]map[string]CrashCount // by fingerprint, then reporter
	size      int
}

// NewQuarantine returns a Quarantine that blocks a fingerprint from threshold
// crashes within window on.
func NewQuarantine(threshold int, window time.Duration) *Quarantine {
	return &Quarantine{threshold: threshold, window: window, counts: map[string]map[string]CrashCount{}}
}

// Crashed counts a crash that reporter saw. A reporter must report under a name of
// its own in each incarnation, so that counts of one name never fall.
func (q *Quarantine) Crashed(now time.Time, fingerprint, reporter string) CrashCount {
	q.expire(now)
	c := q.counts[fingerprint][reporter]
	c = CrashCount{Fingerprint: fingerprint, Reporter: reporter, Count: c.Count + 1, Last: now}
	q.put(c)
	return c
}

// LastCrash returns the time of the last crash that a reporter saw.
func (q *Quarantine) LastCrash(fingerprint, reporter string) time.Time {
	return q.counts[fingerprint][reporter].Last
}

// Served takes in that an upstream has run the request to its end. The same request sent
// by many callers is then not to blame for the crashes before.
func (q *Quarantine) Served(fingerprint string) {
	for _, c := range q.counts[fingerprint] {
		q.drop(c)
	}
}

// Blocked reports whether the fingerprint reached the threshold.
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

// Merge takes in the counts of another host.
func (q *Quarantine) Merge(now time.Time, counts []CrashCount) {
	q.expire(now)
	for _, c := range counts {
		known := q.counts[c.Fingerprint][c.Reporter]
		if c.Count <= known.Count || now.Sub(c.Last) >= q.window {
			continue
		}
		// A clock ahead of ours must not extend the quarantine.
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
