package htentry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htmirror"
	"hawthornturn/core/htselect"
)

const (
	// applyShare of the time is spent at most on applying declarations. All upstreams are
	// taken anew each time; a host may spend 4.3% of a core on control.
	applyShare = 0.04
	// maxApplyGap bounds the time for which changes are gathered. The bounds on
	// configuration and on leaving upstreams are 2 s.
	maxApplyGap = 400 * time.Millisecond
)

// decoded is the declaration of a row, kept until the row changes.
type decoded struct {
	version int64
	item    htcatalog.Declaration
}

// rebuild makes a new catalog of the mirror. The caller holds e.mu.
func (e *Entry) rebuild(now time.Time) {
	var upstreams []htcatalog.Upstream
	out := map[string]bool{}
	addresses := map[string]bool{}
	kept := map[string]decoded{}
	var graceEnd time.Time
	for _, t := range []htmirror.Table{htmirror.Declared, htmirror.Announced} {
		rows, next := e.mirror.Rows(now, t)
		graceEnd = soonest(graceEnd, next)
		for _, r := range rows {
			d := e.decode(t, r)
			kept[t.String()+"/"+r.Key] = d
			switch item := d.item.(type) {
			case *htcatalog.Config:
				e.adopt(item)
			case htcatalog.DomainOut:
				out[item.Domain] = true
			case htcatalog.Upstream:
				upstreams = append(upstreams, item)
				addresses[item.Address] = true
			}
		}
	}
	e.decoded = kept
	e.graceEnd = graceEnd
	catalog := htcatalog.New(e.config, upstreams, out)
	e.catalog.Store(catalog)
	e.ports.RetainConnections(addresses)
	logrus.WithFields(logrus.Fields{
		"event": "catalog-changed", "config": configVersion(e.config), "upstreams": len(upstreams),
		"domains-out": len(out), "versions": e.mirror.Versions(),
	}).Info("declarations applied")
}

// rowsChanged lets new rows be applied soon. It does not block.
func (e *Entry) rowsChanged() {
	select {
	case e.unapplied <- struct{}{}:
	default: // they will be applied with those before
	}
}

// applyChanges applies changed rows: the first change at once, and those that follow
// together. Upstreams register, turn warm and leave in large numbers at a time.
func (e *Entry) applyChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.unapplied:
		}
		if err := sleep(ctx, e.apply()); err != nil {
			return err
		}
	}
}

// apply makes a catalog of the rows and gives it to the selector. It returns how long to
// gather changes before it is called again; a host that was not complete does not wait.
func (e *Entry) apply() time.Duration {
	now := e.timers.Now()
	e.mu.Lock()
	complete := e.mirror.Ready()
	e.rebuild(now)
	e.mu.Unlock()
	// Without e.mu, since the selector asks the group.
	e.relay.WithSelector(func(s *htselect.Selector) { s.Apply(now, e.catalog.Load()) })
	if !complete {
		return 0
	}
	e.complete.Store(true)
	return applyGap(e.timers.Now().Sub(now))
}

// applyGap returns how long to gather changes if applying them takes some time.
func applyGap(took time.Duration) time.Duration {
	return min(time.Duration(float64(took)/applyShare), maxApplyGap)
}

func soonest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (e *Entry) decode(t htmirror.Table, r htmirror.Row) decoded {
	known, ok := e.decoded[t.String()+"/"+r.Key]
	if ok && known.version == r.Version {
		return known
	}
	item, err := e.ports.Decoder.Decode(t, r)
	if err != nil {
		logrus.WithFields(logrus.Fields{"event": "row-ignored", "table": t, "key": r.Key, "version": r.Version}).
			WithError(err).Warn("row can't be used")
	}
	return decoded{version: r.Version, item: item}
}

// adopt takes over a configuration that is valid and newer than the one in force.
func (e *Entry) adopt(config *htcatalog.Config) {
	if e.config != nil && config.Version <= e.config.Version {
		return
	}
	if err := config.Check().Err(); err != nil {
		logrus.WithFields(logrus.Fields{"event": "config-refused", "version": config.Version, "in-force": configVersion(e.config)}).
			WithError(err).Error("configuration is invalid; the earlier one stays in force")
		return
	}
	logrus.WithFields(logrus.Fields{"event": "config-applied", "version": config.Version, "before": configVersion(e.config)}).Info("configuration in force")
	e.config = config
}

func configVersion(c *htcatalog.Config) int64 {
	if c == nil {
		return 0
	}
	return c.Version
}
