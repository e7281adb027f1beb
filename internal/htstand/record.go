package htstand

import (
	"maps"
	"time"
)

// Record counts the requests that an upstream received since it started. If a journal is
// configured, Started, RunsByKey and RunsByRequest include the runs that it contained at
// the start. Tests check invariants against a Record. LastReceived and Probes are times in
// milliseconds since the Unix epoch; zero means never.
type Record struct {
	Name          string         `json:"name"`
	Slots         int            `json:"slots"`
	ColdLimit     int            `json:"cold-limit"`
	Started       int            `json:"started"`         // requests whose work started
	Finished      int            `json:"finished"`        // requests whose work completed
	RunsByKey     map[string]int `json:"runs-by-key"`     // started requests by Idempotency-Key
	RunsByRequest map[string]int `json:"runs-by-request"` // started requests by X-Request-Id
	Refused       int            `json:"refused"`         // refused before the work started, for any reason
	RefusedLate   int            `json:"refused-late"`    // refused because the deadline passed before the work started
	Canceled      int            `json:"canceled"`        // aborted because the client disconnected
	Expired       int            `json:"expired"`         // aborted at the deadline after the work started
	Crashes       int            `json:"crashes"`
	// MaxInFlight is the largest number of requests in flight: accepted and not yet
	// ended, including those that wait for a slot. MaxInFlightCold is the largest
	// number at the acceptance of a request while cold, including that request.
	MaxInFlight     int `json:"max-in-flight"`
	MaxInFlightCold int `json:"max-in-flight-cold"`
	OverSlots       int `json:"over-slots"`      // requests accepted while at least Slots others were in flight
	OverColdLimit   int `json:"over-cold-limit"` // requests accepted while cold and at least ColdLimit others were in flight
	// ReceivedDraining counts work requests received while draining.
	ReceivedDraining int `json:"received-draining"`
	// LatestDrainingMS is the longest time in milliseconds between the start of
	// draining and a work request received while draining.
	LatestDrainingMS int64   `json:"latest-draining-ms"`
	LastReceived     int64   `json:"last-received"` // time of the last work request
	Probes           []int64 `json:"probes"`        // times of requests to the health and load endpoints
	Connections      int     `json:"connections"`   // connections accepted
	MaxConnections   int     `json:"max-connections"`
}

func newRecord(s UpstreamSettings) Record {
	return Record{
		Name:          s.Name,
		Slots:         s.Slots,
		ColdLimit:     s.ColdLimit,
		RunsByKey:     map[string]int{},
		RunsByRequest: map[string]int{},
		Probes:        []int64{},
	}
}

// clone returns a deep copy that later requests do not change.
func (r Record) clone() Record {
	r.RunsByKey = maps.Clone(r.RunsByKey)
	r.RunsByRequest = maps.Clone(r.RunsByRequest)
	r.Probes = append([]int64{}, r.Probes...)
	return r
}

// countReceived records the arrival of a work request. drainingSince is zero unless
// the upstream is draining.
func (r *Record) countReceived(now, drainingSince time.Time) {
	r.LastReceived = now.UnixMilli()
	if drainingSince.IsZero() {
		return
	}
	r.ReceivedDraining++
	r.LatestDrainingMS = max(r.LatestDrainingMS, now.Sub(drainingSince).Milliseconds())
}

// countAccepted records that a work request was accepted. inFlight includes it.
func (r *Record) countAccepted(inFlight int, cold bool) {
	r.MaxInFlight = max(r.MaxInFlight, inFlight)
	if inFlight > r.Slots {
		r.OverSlots++
	}
	if !cold {
		return
	}
	r.MaxInFlightCold = max(r.MaxInFlightCold, inFlight)
	if inFlight > r.ColdLimit {
		r.OverColdLimit++
	}
}

// countStarted records that the work of a request starts.
func (r *Record) countStarted(startedRun run) {
	r.Started++
	if startedRun.Key != "" {
		r.RunsByKey[startedRun.Key]++
	}
	if startedRun.RequestID != "" {
		r.RunsByRequest[startedRun.RequestID]++
	}
}
