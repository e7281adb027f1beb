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

// State is what an upstream says of itself.
type State string

// The states of an upstream.
const (
	StateWarm     State = "warm"
	StateCold     State = "cold"
	StateDraining State = "draining"
)

// UpstreamSettings describe one worker.
type UpstreamSettings struct {
	Name  string
	Slots int           // requests it works on at once; more wait inside it
	Work  time.Duration // mean work time
	Seed  uint64        // of the work times
	// HardLimit is the number of requests in flight above which it refuses
	// unstarted. Zero means none.
	HardLimit    int
	ColdLimit    int           // requests at a time it bears while cold; default 1
	ColdDuration time.Duration // cold time after start and after a crash
	ProbeCost    time.Duration // time that a request to the health or load endpoint takes
	ConnCost     time.Duration // delay of the first request on a connection
	LoadLag      time.Duration // age of what the health and load endpoints say
	// CrashPathSubstring makes a request crash the upstream if its path contains it. Empty
	// means that no request does.
	CrashPathSubstring string
	CrashDuration      time.Duration // time for which connections are refused after a crash
	// Journal names a file to which each run is appended before its work begins.
	// Runs in it count as runs of this upstream, so that a killed and restarted
	// process still accounts for them. Empty means none.
	Journal string
}

// Defaults of UpstreamSettings.
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

// UpstreamFaults is the present behaviour of an upstream. Its zero value is an
// upstream without faults.
type UpstreamFaults struct {
	// SlowFactor multiplies work times. Zero means 1.
	SlowFactor float64 `json:"slow-factor"`
	// Draining refuses all work and says so.
	Draining bool `json:"draining"`
	// ShedShare is the share of requests that are refused for load, 0 to 1.
	ShedShare float64 `json:"shed-share"`
	// TruncateResponses is the number of following answers that break off half way.
	TruncateResponses int `json:"cut-answers"`
	// HideCold reports warm while cold.
	HideCold bool `json:"hide-cold"`
	// HideDraining reports warm while draining.
	HideDraining bool `json:"hide-draining"`
	// LoadLagMS is the age of what the health and load endpoints say.
	LoadLagMS int `json:"load-lag-ms"`
	// ReportedLoad is what the health and load endpoints say instead of the truth.
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

// clone returns a copy that shares nothing with f, so that it can be decoded into.
func (f UpstreamFaults) clone() UpstreamFaults {
	if f.ReportedLoad != nil {
		lie := *f.ReportedLoad
		f.ReportedLoad = &lie
	}
	return f
}

// Load is what the load endpoint says.
type Load struct {
	State    State `json:"state"`
	Slots    int   `json:"slots"`
	InFlight int   `json:"in-flight"`
	WorkMS   int64 `json:"work-ms"` // mean work time of the last answers
}
