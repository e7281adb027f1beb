package htstand

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// HostState is the state of a host in the host list.
type HostState string

// The states of a listed host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the host list.
type Host struct {
	Name    string    `json:"name"`
	Address string    `json:"address"`
	State   HostState `json:"state"`
}

// Check returns an error unless the host has a name and a known state.
func (h Host) Check() error {
	if h.Name == "" {
		return fmt.Errorf("host has no name")
	}
	if h.State != HostLive && h.State != HostLeaving {
		return fmt.Errorf("host %s: state must be %q or %q, not %q", h.Name, HostLive, HostLeaving, h.State)
	}
	return nil
}

// hostVersion is the complete host list as valid from a point in time on.
type hostVersion struct {
	validFrom time.Time
	hosts     map[string]Host
}

// hostList keeps every version of the host list, so that an outdated version can be
// served.
type hostList struct {
	mu       sync.Mutex
	versions []hostVersion
}

// update applies edit to a copy of the latest version and appends the result as a
// new version that is valid from now on.
func (l *hostList) update(now time.Time, edit func(map[string]Host)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := map[string]Host{}
	if n := len(l.versions); n > 0 {
		next = maps.Clone(l.versions[n-1].hosts)
	}
	edit(next)
	l.versions = append(l.versions, hostVersion{validFrom: now, hosts: next})
}

// versionAt returns the hosts listed at a point in time, sorted by name. It returns
// an empty list for times before the first version.
func (l *hostList) versionAt(at time.Time) []Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := []Host{}
	for _, v := range slices.Backward(l.versions) {
		if !v.validFrom.After(at) {
			listed = slices.AppendSeq(listed, maps.Values(v.hosts))
			break
		}
	}
	slices.SortFunc(listed, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return listed
}
