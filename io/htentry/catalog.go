package htentry

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htmirror"
	"hawthornturn/core/htselect"
)

const (
	// maxApplyShare bounds the share of time spent on applying declarations. Each run rebuilds
	// the catalog of all upstreams; a host may spend 4.3% of a core on control.
	maxApplyShare = 0.04
	// maxApplyDelay bounds the time for which changes are batched. Changes of the configuration
	// and leaving upstreams must take effect within 2 s.
	maxApplyDelay = 400 * time.Millisecond
)

// decodedRow caches the declaration of a row until the row changes.
type decodedRow struct {
	era, version int64
	declaration  htcatalog.Declaration
}

// rowKey identifies a row of the mirror; a key may have a lapsed row beside the one in the store.
type rowKey struct {
	table  htmirror.Table
	key    string
	lapsed bool
}

// rebuildCatalog builds a new catalog from the rows of the mirror. The caller holds e.mu.
func (e *Entry) rebuildCatalog(now time.Time) {
	var upstreams []htcatalog.Upstream
	var rollouts []htcatalog.Rollout
	domainsOut := map[string]bool{}
	addresses := map[string]bool{}
	decodedRows := map[rowKey]decodedRow{}
	var graceEnd time.Time
	lapsed := 0
	for _, t := range []htmirror.Table{htmirror.Declared, htmirror.Announced} {
		rows, next := e.mirror.Rows(now, t)
		graceEnd = earliestNonZero(graceEnd, next)
		for _, r := range rows {
			if r.Lapsed {
				lapsed++
			}
			d := e.decode(t, r)
			decodedRows[rowKey{t, r.Key, r.Lapsed}] = d
			switch declaration := d.declaration.(type) {
			case *htcatalog.Config:
				e.adoptConfig(now, declaration)
			case htcatalog.DomainOut:
				domainsOut[declaration.Domain] = true
			case htcatalog.Rollout:
				rollouts = appendRollout(rollouts, declaration)
			case htcatalog.Upstream:
				upstreams = appendUpstream(upstreams, declaration)
			}
		}
	}
	for _, u := range upstreams {
		addresses[u.Address] = true
	}
	e.recordVersions(now, upstreams)
	e.decodedRows = decodedRows
	e.lapseGraceEnd = graceEnd
	catalog := htcatalog.New(e.config, upstreams, domainsOut)
	catalog.Rollouts = rollouts
	e.catalog.Store(catalog)
	e.deps.RetainConnections(addresses)
	logrus.WithFields(logrus.Fields{
		"event": "catalog-changed", "config": configVersion(e.config), "upstreams": len(upstreams),
		"lapsed": lapsed, "domains-out": len(domainsOut), "versions": e.mirror.Versions(), "era": e.mirror.Era(),
	}).Info("declarations applied")
}

// appendUpstream appends an upstream to list. If the last one of the list has the same id, only
// the newer one of them stays.
func appendUpstream(list []htcatalog.Upstream, u htcatalog.Upstream) []htcatalog.Upstream {
	last := len(list) - 1
	if last < 0 || list[last].ID != u.ID {
		return append(list, u)
	}
	if !list[last].Supersedes(u) {
		list[last] = u
	}
	return list
}

// appendRollout appends an order to list. It replaces the last one if that is for the same service:
// a row that is carried over from an earlier era follows an older copy of it in the store.
func appendRollout(list []htcatalog.Rollout, o htcatalog.Rollout) []htcatalog.Rollout {
	if last := len(list) - 1; last >= 0 && list[last].Service == o.Service {
		list[last] = o
		return list
	}
	return append(list, o)
}

// recordVersions passes the versions of the upstreams on and logs those of a service that have
// changed. The caller holds e.mu.
func (e *Entry) recordVersions(now time.Time, upstreams []htcatalog.Upstream) {
	counts := map[string]map[string]int{}
	for _, u := range upstreams {
		if counts[u.Service] == nil {
			counts[u.Service] = map[string]int{}
		}
		counts[u.Service][u.Version]++
	}
	versions := make(map[string][]string, len(counts))
	for service, byVersion := range counts {
		versions[service] = slices.Sorted(maps.Keys(byVersion))
		if slices.Equal(versions[service], e.versions[service]) {
			continue
		}
		logrus.WithFields(logrus.Fields{
			"event": "upstream-versions", "service": service, "versions": strings.Join(versions[service], ","),
		}).Info("versions of the upstreams of a service changed")
	}
	e.versions = versions
	e.rollouts.manager.SetVersions(now, versions)
}

// notifyRowsChanged wakes applyChanges. It does not block.
func (e *Entry) notifyRowsChanged() {
	select {
	case e.rowsPending <- struct{}{}:
	default: // a run that is already pending applies them too
	}
}

// applyChanges applies changed rows: the first change at once, and those that follow in
// batches, since large numbers of upstreams register, warm up and leave at the same time.
func (e *Entry) applyChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.rowsPending:
		}
		if err := sleep(ctx, e.applyRows()); err != nil {
			return err
		}
	}
}

// applyRows builds a catalog from the rows and passes it to the selector. It returns how long
// to batch changes before the next call, which is zero until both tables were read.
func (e *Entry) applyRows() time.Duration {
	now := e.timers.Now()
	e.mu.Lock()
	tablesRead := e.mirror.Ready()
	e.rebuildCatalog(now)
	e.adoptOrders(now, e.catalog.Load().Rollouts)
	splits := e.splits(now)
	e.mu.Unlock()
	// e.mu is not held here, since the selector locks it to read the group.
	e.relay.WithSelector(func(s *htselect.Selector) {
		s.Apply(now, e.catalog.Load())
		s.SetSplits(splits)
	})
	e.notifyRollouts()
	if !tablesRead {
		return 0
	}
	e.tablesApplied.Store(true)
	return applyDelay(e.timers.Now().Sub(now))
}

// applyDelay returns how long to batch changes after a run of the given duration, so that
// runs take at most maxApplyShare of the time. It is at most maxApplyDelay.
func applyDelay(took time.Duration) time.Duration {
	return min(time.Duration(float64(took)/maxApplyShare), maxApplyDelay)
}

// earliestNonZero returns the earlier of two times; a zero time means none.
func earliestNonZero(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (e *Entry) decode(t htmirror.Table, r htmirror.Row) decodedRow {
	known, ok := e.decodedRows[rowKey{t, r.Key, r.Lapsed}]
	if ok && known.era == r.Era && known.version == r.Version {
		return known
	}
	declaration, err := e.deps.Decoder.Decode(t, r)
	if err != nil {
		logrus.WithFields(logrus.Fields{"event": "row-ignored", "table": t, "key": r.Key, "version": r.Version}).
			WithError(err).Warn("row ignored: it could not be decoded")
	}
	return decodedRow{era: r.Era, version: r.Version, declaration: declaration}
}

// adoptConfig puts a configuration into force if it is newer than the current one. Parts that
// can't be used are left out and logged; a configuration of which no route can be used is
// refused.
func (e *Entry) adoptConfig(now time.Time, config *htcatalog.Config) {
	if config == e.refusedConfig || e.config != nil && config.Version <= e.config.Version {
		return
	}
	fields := logrus.Fields{"version": config.Version, "in-force": configVersion(e.config)}
	leftOut, err := config.LeaveOutInvalid()
	if err != nil {
		e.refusedConfig = config
		logrus.WithFields(fields).WithField("event", "config-refused").WithError(err).Error("configuration is invalid; the earlier one stays in force")
		return
	}
	if err := leftOut.Err(); err != nil {
		logrus.WithFields(fields).WithField("event", "config-incomplete").WithError(err).Warn("parts of the configuration can't be used and are left out")
	}
	logrus.WithFields(logrus.Fields{"event": "config-applied", "version": config.Version, "before": configVersion(e.config)}).Info("configuration in force")
	e.config = config
	e.setAccounts(now)
}

func configVersion(c *htcatalog.Config) int64 {
	if c == nil {
		return 0
	}
	return c.Version
}
