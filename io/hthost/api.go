package hthost

import (
	"context"
	"errors"
	"expvar"
	"net/http"

	"hawthornturn/core/htconfig"
	"hawthornturn/io/htapi"
)

// newAPI returns the server of the operators' API.
func (h *Host) newAPI(store *htconfig.Store, spread htconfig.Snapshots) *http.Server {
	handler := htapi.New(htapi.Config{
		Operators: h.settings.Operators,
		MaxBody:   h.settings.Limits.BodyBytes,
		Store:     store,
		Follower:  h.follower,
		Writer:    htconfig.NewWriter(store, h.follower, spread),
		Timer:     h.timers,
		Dump:      func(context.Context) any { return h.Dump() },
		Ready: func() error {
			if ok, why := h.ready(); !ok {
				return errors.New(why)
			}
			return nil
		},
	})
	return htapi.NewServer(handler, h.settings.Limits)
}

// PublishExpvar makes the host's metrics part of expvar. Names in expvar are global to
// the process, so only a process with a single host may call it, once.
func (h *Host) PublishExpvar() {
	expvar.Publish("calls", expvar.Func(func() any { return h.metrics.Snapshot() }))
	expvar.Publish("host", expvar.Func(func() any {
		ready, why := h.ready()
		return Status{Name: h.settings.Name, Ready: ready, NotReadyReason: why, AppliedRevision: h.follower.Applied(), View: h.manager.View().Number}
	}))
}

// Status is the state of a host in expvar.
type Status struct {
	Name            string `json:"name"`
	Ready           bool   `json:"ready"`
	NotReadyReason  string `json:"not-ready-reason,omitempty"`
	AppliedRevision uint64 `json:"applied-revision"`
	View            uint64 `json:"view"`
}
