package hthost

import (
	"context"
	"errors"
	"expvar"
	"net/http"

	"hawthornturn/core/htconfig"
	"hawthornturn/io/htapi"
	"hawthornturn/io/htclient"
)

// newAPI returns the server of the operators' API.
func (h *Host) newAPI(store *htconfig.Store, snapshots htconfig.Snapshots) *http.Server {
	handler := htapi.New(htapi.Config{
		Operators: h.settings.Operators,
		MaxBody:   h.settings.Limits.BodyBytes,
		Memory:    h.memory,
		Store:     store,
		Follower:  h.follower,
		Writer:    htconfig.NewWriter(store, h.follower, snapshots),
		Timer:     h.timers,
		Dump:      func(context.Context) any { return h.Dump() },
		Ready: func() error {
			if ok, reason := h.ready(); !ok {
				return errors.New(reason)
			}
			return nil
		},
	})
	return htapi.NewServer(htclient.ChargeAnswers(handler), int(min(h.settings.Limits.HeaderBytes, operatorHeadBytes)))
}

// PublishExpvar publishes the host's metrics and status via expvar. Names in expvar are
// global to the process, so only a process with a single host may call it, once.
func (h *Host) PublishExpvar() {
	expvar.Publish("calls", expvar.Func(func() any { return h.metrics.Snapshot() }))
	expvar.Publish("host", expvar.Func(func() any {
		ready, reason := h.ready()
		return Status{Name: h.settings.Name, Ready: ready, NotReadyReason: reason, AppliedRevision: h.follower.Applied(), View: h.manager.View().Number}
	}))
}

// Status is the status of a host in expvar.
type Status struct {
	Name            string `json:"name"`
	Ready           bool   `json:"ready"`
	NotReadyReason  string `json:"not-ready-reason,omitempty"`
	AppliedRevision uint64 `json:"applied-revision"`
	View            uint64 `json:"view"`
}
