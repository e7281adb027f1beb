package htsettings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"time"

	"hawthornturn/core/htfinding"
)

// Bounds of settings.
const (
	// MinKeyLength is the least number of characters of an operator's key, so that it can't be
	// guessed.
	MinKeyLength = 16
	// MaxBodyBytes is the largest limit on bodies that may be set.
	MaxBodyBytes = 1 << 30
	// MinMemoryBytes and MaxMemoryBytes bound the memory that a process may be given.
	MinMemoryBytes = 64 << 20
	MaxMemoryBytes = 1 << 40
	// MinDescriptors and MaxDescriptors bound the descriptors that a process may be given.
	MinDescriptors = 300
	MaxDescriptors = 1 << 24
	// MaxClockRateError is the largest relative difference in rate between the monotonic
	// clocks of two hosts (section 5 of docs/design.md). TakeoverDelay must exceed a lease by
	// it, so that no host takes over from one whose lease is still valid by its own clock.
	MaxClockRateError = 0.01
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Check returns the findings on settings that are invalid.
func (s *Settings) Check() htfinding.List {
	var l htfinding.List
	checkName(&l, "name", s.Name)
	checkName(&l, "failure-domain", s.FailureDomain)
	s.checkListen(&l)
	checkURL(&l, "platform.table", s.Platform.Table)
	checkURL(&l, "platform.host-list", s.Platform.HostList)
	checkSet(&l, "peer-tls.ca", s.PeerTLS.CA)
	checkSet(&l, "peer-tls.cert", s.PeerTLS.Cert)
	checkSet(&l, "peer-tls.key", s.PeerTLS.Key)
	if s.CallerTLS != nil {
		checkSet(&l, "caller-tls.cert", s.CallerTLS.Cert)
		checkSet(&l, "caller-tls.key", s.CallerTLS.Key)
	}
	s.checkOperators(&l)
	s.checkTimings(&l)
	checkRange(&l, "limits.header-bytes", s.Limits.HeaderBytes, 1<<10, 1<<20)
	checkRange(&l, "limits.body-bytes", s.Limits.BodyBytes, 1<<10, MaxBodyBytes)
	checkRange(&l, "limits.memory-bytes", s.Limits.MemoryBytes, MinMemoryBytes, MaxMemoryBytes)
	if s.Limits.Descriptors != 0 {
		checkRange(&l, "limits.descriptors", s.Limits.Descriptors, MinDescriptors, MaxDescriptors)
	}
	return l
}

func (s *Settings) checkListen(l *htfinding.List) {
	addresses := []struct {
		field   string
		address netip.AddrPort
	}{
		{"listen.callers", s.Listen.Callers},
		{"listen.peers", s.Listen.Peers},
		{"listen.operators", s.Listen.Operators},
	}
	for _, a := range addresses {
		if !a.address.IsValid() || a.address.Port() == 0 {
			l.Addf(a.field, "must be IP:port with a port above 0")
		}
	}
	if s.Listen.Peers.Addr().IsUnspecified() {
		l.Addf("listen.peers", "must name one IP address, because peers connect to it")
	}
	if s.Listen.Callers.IsValid() && s.Listen.Callers == s.Listen.Operators {
		l.Addf("listen.operators", "must differ from listen.callers")
	}
}

func (s *Settings) checkOperators(l *htfinding.List) {
	if len(s.Operators) == 0 {
		l.Addf("operators", "must name at least one key")
	}
	names, keys := map[string]bool{}, map[string]bool{}
	for i, o := range s.Operators {
		field := fmt.Sprintf("operators[%d]", i)
		checkName(l, field+".name", o.Name)
		if names[o.Name] {
			l.Addf(field+".name", "duplicate operator %q", o.Name)
		}
		names[o.Name] = true
		if len(o.Key) < MinKeyLength {
			l.Addf(field+".key", "must have at least %d characters", MinKeyLength)
		} else if keys[o.Key] {
			l.Addf(field+".key", "must differ from the keys of other operators")
		}
		keys[o.Key] = true
		if o.Role != RoleReader && o.Role != RoleWriter {
			l.Addf(field+".role", "must be %q or %q, not %q", RoleReader, RoleWriter, o.Role)
		}
	}
}

func (s *Settings) checkTimings(l *htfinding.List) {
	timings := []struct {
		field string
		value time.Duration
	}{
		{"lease.renew", s.Lease.RenewInterval},
		{"lease.duration", s.Lease.Duration},
		{"lease.takeover-delay", s.Lease.TakeoverDelay},
		{"lease.hold-duration", s.Lease.HoldDuration},
		{"lease.gone-after", s.Lease.UnlistedTimeout},
		{"heartbeat-interval", s.HeartbeatInterval},
		{"max-clock-skew", s.MaxClockSkew},
		{"drain-timeout", s.DrainTimeout},
	}
	for _, t := range timings {
		if t.value <= 0 {
			l.Addf(t.field, "must be above 0, not %v", t.value)
		}
	}
	if s.StopNotice < 0 {
		l.Addf("stop-notice", "must not be negative")
	}
	if s.Lease.RenewInterval*2 > s.Lease.Duration {
		l.Addf("lease.renew", "must be at most half of lease.duration, so that one lost renewal does not end a lease")
	}
	longestLease := time.Duration(float64(s.Lease.Duration) * (1 + MaxClockRateError))
	if s.Lease.TakeoverDelay <= longestLease {
		l.Addf("lease.takeover-delay", "must be above lease.duration by more than %g%%, the largest error in clock rate", MaxClockRateError*100)
	}
	if s.HeartbeatInterval*2 > s.Lease.HoldDuration {
		l.Addf("heartbeat-interval", "must be at most half of lease.hold-duration")
	}
}

func checkName(l *htfinding.List, field, name string) {
	if !namePattern.MatchString(name) {
		l.Addf(field, "must be 1 to 63 of a-z, 0-9 and inner hyphens, not %q", name)
	}
}

func checkSet(l *htfinding.List, field, value string) {
	if value == "" {
		l.Addf(field, "must be set")
	}
}

func checkURL(l *htfinding.List, field, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		l.Addf(field, "must be an http or https URL, not %q", value)
	}
}

func checkRange(l *htfinding.List, field string, value, low, high int64) {
	if value < low || value > high {
		l.Addf(field, "must be %d to %d, not %d", low, high, value)
	}
}
