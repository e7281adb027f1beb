package hthost

import (
	"golang.org/x/sys/unix"

	"hawthornturn/core/htmemory"
	"hawthornturn/io/htclient"
	"hawthornturn/io/htsettings"
)

// Shares of the memory and the descriptors of a host.
var (
	callersShare   = htclient.Share{Memory: 0.2, Descriptors: 0.35}
	operatorsShare = htclient.Share{Memory: 0.05, Descriptors: 0.1}
)

const (
	// callsMemoryShare is for what calls hold of their bodies and answers.
	callsMemoryShare = 0.35
	// upstreamsDescriptorShare is for connections to upstreams.
	upstreamsDescriptorShare = 0.45
	// reservedDescriptors are kept for files, the platform and other hosts.
	reservedDescriptors = 200
	// peersMemoryShare is for connections of other hosts, which hold peerConnBytes each.
	peersMemoryShare = 0.1
	peerConnBytes    = 64 << 10
	// operatorHeadBytes bounds the header of an operator's request.
	operatorHeadBytes = 16 << 10
)

// resources returns what the process may hold.
func resources(limits htsettings.Limits) htclient.Resources {
	descriptors := limits.Descriptors
	if descriptors == 0 {
		descriptors = htsettings.MaxDescriptors
		var system unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err == nil {
			descriptors = min(descriptors, int64(min(system.Cur, htsettings.MaxDescriptors)))
		}
	}
	return htclient.Resources{Memory: limits.MemoryBytes, Descriptors: int(max(descriptors-reservedDescriptors, 1))}
}

// maxPeerConns returns the number of connections of other hosts that may be open at a time.
func maxPeerConns(limits htsettings.Limits) int {
	return int(peersMemoryShare * float64(limits.MemoryBytes) / peerConnBytes)
}

// newBounds creates the bounds of what clients make the host hold.
func (h *Host) newBounds() {
	limits := h.settings.Limits
	h.resources = resources(limits)
	h.callers = htclient.New("callers", h.resources, callersShare, func() int { return int(limits.HeaderBytes) }, h.timers.Now)
	h.operators = htclient.New("operators", h.resources, operatorsShare, func() int { return int(min(limits.HeaderBytes, operatorHeadBytes)) }, h.timers.Now)
	h.memory = htmemory.NewBudget(int64(callsMemoryShare * float64(limits.MemoryBytes)))
	h.memory.OnShortage(h.callers.ReclaimBodies)
}
