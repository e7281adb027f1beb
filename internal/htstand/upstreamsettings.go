package htstand

import (
	"errors"
	"fmt"
	"time"
)

// Header fields between hawthornturn and an upstream.
const (
	HeaderTimeoutMS  = "Request-Timeout-Ms"
	HeaderRequestID  = "X-Request-Id"
	HeaderKey        = "Idempotency-Key"
	HeaderState      = "Upstream-State"
	HeaderSlots      = "Upstream-Slots"
	HeaderInFlight   = "Upstream-In-Flight"
	HeaderWorkMS     = "Upstream-Work-Ms"
	HeaderNotStarted = "Upstream-Not-Started"
)

// State is the state that an upstream reports.
type State string

// The states of an upstream.
const (
	StateWarm     State = "warm"
	StateCold     State = "cold"
	StateDraining State = "draining"
)

// UpstreamSettings configures one upstream.
type UpstreamSettings struct {
	Name  string
	Slots int           // number of requests processed concurrently; further ones are queued
	Work  time.Duration // mean work time
	Seed  uint64        // random seed of the work times
	// HardLimit is the largest number of requests in flight. Further requests are
	// refused. Zero means no limit.
	HardLimit    int
	ColdLimit    int           // requests in flight that do not overload it while cold; default 1
	ColdDuration time.Duration // how long it is cold after a start and after a crash
	ProbeCost    time.Duration // how long a request to the health or load endpoint takes
	ConnCost     time.Duration // delay of the first request on a connection
	LoadLag      time.Duration // age of the load that the health and load endpoints report
	// CrashPathSubstring marks requests that crash the upstream: those whose path
	// contains it. If it is empty, no request crashes the upstream.
	CrashPathSubstring string
	CrashDuration      time.Duration // how long connections are refused after a crash
	// Journal is the path of a file to which each run is appended before its work
	// starts. Runs already in the file count as runs of this upstream, so that the
	// record of a killed and restarted process includes them. Empty means no journal.
	Journal string
}

// Default values of UpstreamSettings.
const (
	DefaultSlots         = 2
	DefaultWork          = 10 * time.Millisecond
	DefaultColdLimit     = 1
	DefaultCrashDuration = time.Second
)

func (s UpstreamSettings) withDefaults() UpstreamSettings {
	if s.Name == "" {
		s.Name = "upstream"
	}
	if s.Slots == 0 {
		s.Slots = DefaultSlots
	}
	if s.Work == 0 {
		s.Work = DefaultWork
	}
	if s.ColdLimit == 0 {
		s.ColdLimit = DefaultColdLimit
	}
	if s.CrashDuration == 0 {
		s.CrashDuration = DefaultCrashDuration
	}
	return s
}

// UpstreamFaults holds the faults that an upstream injects. The zero value injects no
// faults.
type UpstreamFaults struct {
	// SlowFactor multiplies work times. Zero means 1.
	SlowFactor float64 `json:"slow-factor"`
	// Draining refuses all work requests and reports the state draining.
	Draining bool `json:"draining"`
	// ShedShare is the share of work requests, 0 to 1, that are refused as load
	// shedding.
	ShedShare float64 `json:"shed-share"`
	// TruncateResponses is the number of next responses that are cut off after half of
	// their bytes.
	TruncateResponses int `json:"cut-answers"`
	// HideCold reports the state warm while cold.
	HideCold bool `json:"hide-cold"`
	// HideDraining hides the state draining; the state reported is warm or cold.
	HideDraining bool `json:"hide-draining"`
	// LoadLagMS is the age in milliseconds of the load that the health and load
	// endpoints report, unless UpstreamSettings.LoadLag is longer.
	LoadLagMS int `json:"load-lag-ms"`
	// ReportedLoad is the load that the health and load endpoints report instead of the
	// actual one. Nil means that they report the actual load.
	ReportedLoad *Load `json:"lie"`
}

// Check returns an error if a value is out of range.
func (f UpstreamFaults) Check() error {
	if f.SlowFactor < 0 {
		return fmt.Errorf("slow-factor must not be negative, not %g", f.SlowFactor)
	}
	if f.ShedShare < 0 || f.ShedShare > 1 {
		return fmt.Errorf("shed-share must be 0 to 1, not %g", f.ShedShare)
	}
	if f.TruncateResponses < 0 {
		return errors.New("cut-answers must not be negative")
	}
	if f.LoadLagMS < 0 {
		return errors.New("load-lag-ms must not be negative")
	}
	return nil
}

// clone returns a deep copy of f, so that decoding into the copy does not change f.
func (f UpstreamFaults) clone() UpstreamFaults {
	if f.ReportedLoad != nil {
		reported := *f.ReportedLoad
		f.ReportedLoad = &reported
	}
	return f
}

// Load is the load of an upstream as it reports it.
type Load struct {
	State    State `json:"state"`
	Slots    int   `json:"slots"`
	InFlight int   `json:"in-flight"`
	WorkMS   int64 `json:"work-ms"` // exponentially weighted mean of the work times in milliseconds
}
