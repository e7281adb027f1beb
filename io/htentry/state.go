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

// State is the state of a host as served to operators.
type State struct {
	Host      htgroup.Member          `json:"host"`
	Stopping  bool                    `json:"stopping"`
	Ready     string                  `json:"ready"`
	Config    int64                   `json:"config-version"`
	Versions  htmirror.Versions       `json:"versions"`
	Era       int64                   `json:"store-era"` // to which the versions belong
	StoreMS   int64                   `json:"store-age-ms"`
	Running   []htgroup.Member        `json:"running"`
	Silent    []htgroup.Member        `json:"quiet"`
	Upstreams []htselect.UpstreamDump `json:"upstreams"`
	Rollouts  []RolloutState          `json:"rollouts"`
	Timers    []httime.Info           `json:"timers"`
}

// RolloutState is a roll-out as this host sees it.
type RolloutState struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Stage   string `json:"stage"`
	Because string `json:"because"`
	AgeMS   int64  `json:"age-ms"`
	// Answers are those of all hosts that this one has heard of.
	Answers string `json:"answers"`
}

func (e *Entry) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e.state()); err != nil {
		logrus.WithFields(logrus.Fields{"event": "state-not-sent"}).WithError(err).Debug("sending the state failed")
	}
}

func (e *Entry) state() State {
	now := e.timers.Now()
	ok, readiness := e.Ready()
	if ok {
		readiness = "ready"
	}
	s := State{
		Host:     e.settings.Self,
		Stopping: e.stopping.Load(),
		Ready:    readiness,
		Config:   configVersion(e.Catalog().Config),
		Timers:   e.timers.Subscriptions(),
	}
	e.relay.WithSelector(func(selector *htselect.Selector) { s.Upstreams = selector.Dump(now) })
	e.mu.Lock()
	defer e.mu.Unlock()
	s.Versions, s.Era = e.mirror.Versions(), e.mirror.Era()
	s.StoreMS = e.group.StoreAge(now).Milliseconds()
	s.Running, s.Silent = e.group.Others(now)
	for _, r := range e.rollouts.manager.Rollouts() {
		stage, reason := r.Stage()
		s.Rollouts = append(s.Rollouts, RolloutState{
			Service: r.Order().Service, Version: r.Order().Version, Stage: stage.String(), Because: reason,
			AgeMS: r.Report(now).AgeMS, Answers: r.Describe(),
		})
	}
	return s
}
