package htentry

import (
	"encoding/json"
	"net/http"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htgroup"
	"hawthornturn/core/htmirror"
	"hawthornturn/core/htselect"
	"hawthornturn/core/httime"
)

// State is the dump of a host.
type State struct {
	Host      htgroup.Member          `json:"host"`
	Stopping  bool                    `json:"stopping"`
	Ready     string                  `json:"ready"`
	Config    int64                   `json:"config-version"`
	Versions  htmirror.Versions       `json:"versions"`
	StoreMS   int64                   `json:"store-age-ms"`
	Running   []htgroup.Member        `json:"running"`
	Silent    []htgroup.Member        `json:"quiet"`
	Upstreams []htselect.UpstreamDump `json:"upstreams"`
	Timers    []httime.Info           `json:"timers"`
}

func (e *Entry) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e.state()); err != nil {
		logrus.WithFields(logrus.Fields{"event": "state-not-sent"}).WithError(err).Debug("state dump not sent")
	}
}

func (e *Entry) state() State {
	now := e.timers.Now()
	ok, why := e.Ready()
	if ok {
		why = "ready"
	}
	s := State{
		Host:     e.settings.Self,
		Stopping: e.stopping.Load(),
		Ready:    why,
		Config:   configVersion(e.Catalog().Config),
		Timers:   e.timers.Subscriptions(),
	}
	e.relay.WithSelector(func(selector *htselect.Selector) { s.Upstreams = selector.Dump(now) })
	e.mu.Lock()
	defer e.mu.Unlock()
	s.Versions = e.mirror.Versions()
	s.StoreMS = e.group.StoreAge(now).Milliseconds()
	s.Running, s.Silent = e.group.Others(now)
	return s
}
