package htstand

import (
	"slices"
	"time"
)

// Default limits of the platform's storage, requests per second.
const (
	DefaultWritesPerSec = 400
	DefaultReadsPerSec  = 2000
)

// PlatformFaults is the present behaviour of the platform. Its zero value, apart
// from the rate limits, is a platform without faults.
type PlatformFaults struct {
	// Down refuses every storage request with 503.
	Down bool `json:"down"`
	// Unresponsive takes storage requests and never answers or applies them.
	Unresponsive bool `json:"silent"`
	// DelayMS is waited before a storage request takes effect. A write takes effect
	// even if its client has left by then.
	DelayMS int `json:"delay-ms"`
	// ResponseDelayMS is waited between the effect of a storage request and its answer.
	ResponseDelayMS int `json:"answer-delay-ms"`
	// LoseResponses is the number of following writes that take effect but whose
	// connection is closed without an answer.
	LoseResponses int `json:"lose-answers"`
	// DropWrites is the number of following writes whose connection is closed
	// without an answer and without effect.
	DropWrites int `json:"drop-writes"`
	// WritesPerSec and ReadsPerSec are limits; requests above them get 429.
	WritesPerSec float64 `json:"writes-per-sec"`
	ReadsPerSec  float64 `json:"reads-per-sec"`
	// HostListDown refuses reads of the host list with 503.
	HostListDown bool `json:"host-list-down"`
	// HostListLagMS is the age of the host list that is served.
	HostListLagMS int `json:"host-list-lag-ms"`
	// HostListOmit names hosts that are left out of the host list.
	HostListOmit []string `json:"host-list-omit"`
	// HostListAdd is added to the host list, in place of hosts of the same name.
	HostListAdd []Host `json:"host-list-add"`
}

// clone returns a copy that shares nothing with f, so that it can be decoded into.
func (f PlatformFaults) clone() PlatformFaults {
	f.HostListOmit = slices.Clone(f.HostListOmit)
	f.HostListAdd = slices.Clone(f.HostListAdd)
	return f
}

// distort returns the host list as the faults make it appear.
func (f PlatformFaults) distort(hosts []Host) []Host {
	shown := []Host{}
	for _, h := range hosts {
		replaced := slices.ContainsFunc(f.HostListAdd, func(a Host) bool { return a.Name == h.Name })
		if !replaced && !slices.Contains(f.HostListOmit, h.Name) {
			shown = append(shown, h)
		}
	}
	return append(shown, f.HostListAdd...)
}

func milliseconds(ms int) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
