package htstand

import (
	"slices"
	"time"
)

// Default rate limits of the platform's storage, in requests per second.
const (
	DefaultWritesPerSec = 400
	DefaultReadsPerSec  = 2000
)

// PlatformFaults holds the faults that the platform injects and its rate limits,
// WritesPerSec and ReadsPerSec. The zero value of each other field injects no fault. A
// rate limit of zero admits one request and then refuses all others.
type PlatformFaults struct {
	// Down refuses every storage request with status 503.
	Down bool `json:"down"`
	// Unresponsive accepts storage requests and neither applies nor answers them.
	Unresponsive bool `json:"silent"`
	// DelayMS is the delay in milliseconds before a storage request takes effect. A
	// write takes effect even if its client has disconnected by then.
	DelayMS int `json:"delay-ms"`
	// ResponseDelayMS is the delay in milliseconds between the effect of a storage
	// request and its response.
	ResponseDelayMS int `json:"answer-delay-ms"`
	// LoseResponses is the number of next writes that take effect but whose
	// connection is closed without a response.
	LoseResponses int `json:"lose-answers"`
	// DropWrites is the number of next writes that have no effect and whose
	// connection is closed without a response.
	DropWrites int `json:"drop-writes"`
	// WritesPerSec and ReadsPerSec are rate limits of storage requests. Requests above
	// them are answered with status 429.
	WritesPerSec float64 `json:"writes-per-sec"`
	ReadsPerSec  float64 `json:"reads-per-sec"`
	// HostListDown refuses reads of the host list with status 503.
	HostListDown bool `json:"host-list-down"`
	// HostListLagMS is the age in milliseconds of the host list that is served.
	HostListLagMS int `json:"host-list-lag-ms"`
	// HostListOmit names the hosts that are omitted from the served host list.
	HostListOmit []string `json:"host-list-omit"`
	// HostListAdd holds entries that are added to the served host list and replace
	// hosts of the same name.
	HostListAdd []Host `json:"host-list-add"`
}

// clone returns a deep copy of f, so that decoding into the copy does not change f.
func (f PlatformFaults) clone() PlatformFaults {
	f.HostListOmit = slices.Clone(f.HostListOmit)
	f.HostListAdd = slices.Clone(f.HostListAdd)
	return f
}

// applyToHostList returns hosts without those omitted or replaced by the faults,
// followed by the entries that the faults add.
func (f PlatformFaults) applyToHostList(hosts []Host) []Host {
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
