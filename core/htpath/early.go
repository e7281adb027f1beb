package htpath

import (
	"time"

	"hawthornturn/core/htview"
)

const (
	// earlyReportLifetime is how long a report is kept for a shard that is not installed
	// yet. It covers the lease of a lost host and the wait for the state of a shard.
	earlyReportLifetime = 30 * time.Second
	// maxEarlyReports bounds the reports that are kept for all shards together. A report may
	// carry an answer of up to ReplayLimit bytes.
	maxEarlyReports = 512
)

// earlyReports holds the reports of previous owners that arrive before this host has
// installed their shards. A previous owner stops retrying when it stops itself, which may be
// before that. It is not safe for concurrent use.
type earlyReports[T any] struct {
	byShard map[htview.Shard]map[string]earlyReport[T] // by shard, then by the id of the reported call
	count   int
}

type earlyReport[T any] struct {
	report T
	until  time.Time
}

// add keeps a report of a call; a repeated report replaces the earlier one. If too many are
// kept, expired ones are dropped, and the new one if that is not enough.
func (e *earlyReports[T]) add(now time.Time, shard htview.Shard, id string, report T) {
	if e.byShard == nil {
		e.byShard = map[htview.Shard]map[string]earlyReport[T]{}
	}
	_, known := e.byShard[shard][id]
	if !known && e.count >= maxEarlyReports {
		e.dropExpired(now)
	}
	if !known && e.count >= maxEarlyReports {
		return
	}
	if e.byShard[shard] == nil {
		e.byShard[shard] = map[string]earlyReport[T]{}
	}
	if !known {
		e.count++
	}
	e.byShard[shard][id] = earlyReport[T]{report, now.Add(earlyReportLifetime)}
}

// take removes the reports of a shard and returns those that have not expired.
func (e *earlyReports[T]) take(now time.Time, shard htview.Shard) []T {
	var reports []T
	for _, r := range e.byShard[shard] {
		if now.Before(r.until) {
			reports = append(reports, r.report)
		}
	}
	e.count -= len(e.byShard[shard])
	delete(e.byShard, shard)
	return reports
}

func (e *earlyReports[T]) dropExpired(now time.Time) {
	for shard, reports := range e.byShard {
		for id, r := range reports {
			if !now.Before(r.until) {
				delete(reports, id)
				e.count--
			}
		}
		if len(reports) == 0 {
			delete(e.byShard, shard)
		}
	}
}
