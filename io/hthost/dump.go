package hthost

import (
	"time"

	"hawthornturn/core/htdispatch"
	"hawthornturn/core/httime"
	"hawthornturn/core/htview"
	"hawthornturn/io/htfront"
)

// Dump is the state of an entry host.
type Dump struct {
	Host              string            `json:"host"`
	FailureDomain     string            `json:"failure-domain"`
	UptimeMS          int64             `json:"uptime-ms"`
	Stopping          bool              `json:"stopping"`
	Ready             bool              `json:"ready"`
	NotReadyReason    string            `json:"not-ready-reason,omitempty"`
	AppliedRevision   uint64            `json:"applied-revision"`
	CallMetrics       htfront.Snapshot  `json:"calls"`
	ForwardedInFlight int64             `json:"forwarded-in-flight"`
	Membership        htview.Dump       `json:"membership"`
	Shards            []htdispatch.Dump `json:"shards"`
	Connections       map[string]int64  `json:"upstream-connections"`
	Timers            []httime.Info     `json:"timers"`
}

// Dump returns the state of the host.
func (h *Host) Dump() Dump {
	ready, reason := h.ready()
	dump := Dump{
		Host:              h.settings.Name,
		FailureDomain:     h.settings.FailureDomain,
		UptimeMS:          time.Since(h.started).Milliseconds(),
		Stopping:          h.stopping.Load(),
		Ready:             ready,
		NotReadyReason:    reason,
		AppliedRevision:   h.follower.Applied(),
		CallMetrics:       h.metrics.Snapshot(),
		ForwardedInFlight: h.peerServer.InFlight(),
		Membership:        h.manager.State(),
		Connections:       h.upstreamClient.Connections(),
		Timers:            h.timers.Subscriptions(),
	}
	for _, d := range h.shards.Dispatchers() {
		dump.Shards = append(dump.Shards, d.Dump())
	}
	return dump
}
