package htentry

import (
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htmirror"
	"hawthornturn/core/htselect"
)

// decoded is the declaration of a row, kept until the row changes.
type decoded struct {
	version int64
	item    htcatalog.Item
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
			case htcatalog.Outage:
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
	e.ports.Retain(addresses)
	logrus.WithFields(logrus.Fields{
		"event": "catalog-changed", "config": configVersion(e.config), "upstreams": len(upstreams),
		"domains-out": len(out), "versions": e.mirror.Versions(),
	}).Info("declarations applied")
}

// applyCatalog gives the catalog to the selector. It must be called without e.mu,
// since the selector asks the group.
func (e *Entry) applyCatalog(now time.Time) {
	e.relay.Do(func(s *htselect.Selector) { s.Apply(now, e.catalog.Load()) })
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
