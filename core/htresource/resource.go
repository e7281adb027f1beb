package htresource

import (
	"fmt"
	"net/netip"
	"regexp"
	"time"

	"hawthornturn/core/htfinding"
)

// Kind is the type of a resource.
type Kind string

// The kinds of resources.
const (
	KindService       Kind = "service"
	KindPool          Kind = "pool"
	KindFailureDomain Kind = "failure-domain"
	KindRule          Kind = "rule"
)

// Kinds lists all kinds in the order in which resources are listed. References point
// to earlier kinds, except that a rule refers to a service.
var Kinds = []Kind{KindFailureDomain, KindPool, KindRule, KindService}

// Limits and defaults of declared values.
const (
	MaxNameLength       = 63   // characters of the name of a resource or upstream
	MaxSlots            = 1024 // slots and cold limit of an upstream
	MaxTimeout          = 60 * time.Second
	DefaultTimeout      = 2 * time.Second
	DefaultQueueLimit   = 64 // queued calls of a pool per failure domain
	MaxQueueLimit       = 10000
	MaxProbesPerSec     = 100.0
	DefaultProbesPerSec = 1.0
	// DefaultRetryShare bounds the retries and hedges that spend the retry budget, as a share
	// of the first attempts of a service. It is also the largest share that a service may set.
	DefaultRetryShare = 0.1
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Resource is one declared object. Its implementations are FailureDomain, Pool,
// Rule and Service.
type Resource interface {
	Kind() Kind
	ResourceName() string
	// Check returns the findings of the resource alone. Set.Check also checks the
	// references to other resources.
	Check() htfinding.List
	sealed()
}

// DomainState says whether a failure domain is in service.
type DomainState string

// The states of a failure domain.
const (
	DomainIn  DomainState = "in"
	DomainOut DomainState = "out"
)

// FailureDomain is a group of hosts and upstreams that fail, or are taken out of
// service, together.
type FailureDomain struct {
	Name   string      `yaml:"name" json:"name" cbor:"name"`
	Region string      `yaml:"region" json:"region" cbor:"region"`
	State  DomainState `yaml:"state" json:"state" cbor:"state"`
}

// Kind returns KindFailureDomain.
func (FailureDomain) Kind() Kind { return KindFailureDomain }

// ResourceName returns the name.
func (d FailureDomain) ResourceName() string { return d.Name }

func (FailureDomain) sealed() {}

// Check implements Resource.
func (d FailureDomain) Check() htfinding.List {
	var l htfinding.List
	checkName(&l, "name", d.Name)
	if d.State != DomainIn && d.State != DomainOut {
		l.Addf("state", "must be %q or %q, not %q", DomainIn, DomainOut, d.State)
	}
	return l
}

// Upstream is a worker process that executes requests.
type Upstream struct {
	Name    string `yaml:"name" json:"name" cbor:"name"`
	Address string `yaml:"address" json:"address" cbor:"address"` // IP:port
	Domain  string `yaml:"failure-domain" json:"failure-domain" cbor:"failure-domain"`
	Slots   int    `yaml:"slots" json:"slots" cbor:"slots"` // requests that it can execute concurrently
	Leaving bool   `yaml:"leaving,omitempty" json:"leaving,omitempty" cbor:"leaving,omitempty"`
}

// Pool is a set of upstreams that serve the same requests.
type Pool struct {
	Name           string     `yaml:"name" json:"name" cbor:"name"`
	Upstreams      []Upstream `yaml:"upstreams" json:"upstreams" cbor:"upstreams"`
	ColdLimit      int        `yaml:"cold-limit" json:"cold-limit" cbor:"cold-limit"`                // concurrent requests that a cold upstream can handle; default 1
	ProbesPerSec   float64    `yaml:"probe-budget" json:"probe-budget" cbor:"probe-budget"`          // probes per second to each upstream, summed over all hosts
	QueueLimit     int        `yaml:"queue-limit" json:"queue-limit" cbor:"queue-limit"`             // queued calls per failure domain
	MaxConnections int        `yaml:"max-connections" json:"max-connections" cbor:"max-connections"` // connections that an upstream accepts; 0 means that no limit is declared
}

// Kind returns KindPool.
func (Pool) Kind() Kind { return KindPool }

// ResourceName returns the name.
func (p Pool) ResourceName() string { return p.Name }

func (Pool) sealed() {}

// Check implements Resource.
func (p Pool) Check() htfinding.List {
	var l htfinding.List
	checkName(&l, "name", p.Name)
	names := map[string]bool{}
	addresses := map[string]bool{}
	for i, u := range p.Upstreams {
		field := fmt.Sprintf("upstreams[%d]", i)
		checkName(&l, field+".name", u.Name)
		if names[u.Name] {
			l.Addf(field+".name", "duplicate upstream %q", u.Name)
		}
		names[u.Name] = true
		if _, err := netip.ParseAddrPort(u.Address); err != nil {
			l.Addf(field+".address", "must be IP:port, not %q", u.Address)
		}
		if addresses[u.Address] {
			l.Addf(field+".address", "duplicate address %q", u.Address)
		}
		addresses[u.Address] = true
		if u.Domain == "" {
			l.Addf(field+".failure-domain", "must be set")
		}
		if u.Slots < 1 || u.Slots > MaxSlots {
			l.Addf(field+".slots", "must be 1 to %d, not %d", MaxSlots, u.Slots)
		}
	}
	if p.ColdLimit < 0 || p.ColdLimit > MaxSlots {
		l.Addf("cold-limit", "must be 0 to %d, not %d", MaxSlots, p.ColdLimit)
	}
	if !(p.ProbesPerSec >= 0 && p.ProbesPerSec <= MaxProbesPerSec) { // rejects NaN too, which CBOR can encode
		l.Addf("probe-budget", "must be 0 to %g probes a second, not %g", MaxProbesPerSec, p.ProbesPerSec)
	}
	if p.QueueLimit < 0 || p.QueueLimit > MaxQueueLimit {
		l.Addf("queue-limit", "must be 0 to %d, not %d", MaxQueueLimit, p.QueueLimit)
	}
	if p.MaxConnections < 0 {
		l.Addf("max-connections", "must not be negative")
	}
	return l
}

// Domains returns the distinct failure domains of the pool's upstreams, in the order of
// first use.
func (p Pool) Domains() []string {
	var domains []string
	seen := map[string]bool{}
	for _, u := range p.Upstreams {
		if !seen[u.Domain] {
			seen[u.Domain] = true
			domains = append(domains, u.Domain)
		}
	}
	return domains
}

// Rule declares that some requests of a service are idempotent: those with one of its
// methods and a path that starts with its path prefix. A request that matches no rule is
// not idempotent.
type Rule struct {
	Name       string   `yaml:"name" json:"name" cbor:"name"`
	Service    string   `yaml:"service" json:"service" cbor:"service"`
	Methods    []string `yaml:"methods" json:"methods" cbor:"methods"`
	PathPrefix string   `yaml:"path-prefix" json:"path-prefix" cbor:"path-prefix"`
}

// Kind returns KindRule.
func (Rule) Kind() Kind { return KindRule }

// ResourceName returns the name.
func (r Rule) ResourceName() string { return r.Name }

func (Rule) sealed() {}

// Check implements Resource.
func (r Rule) Check() htfinding.List {
	var l htfinding.List
	checkName(&l, "name", r.Name)
	if r.Service == "" {
		l.Addf("service", "must be set")
	}
	if len(r.Methods) == 0 {
		l.Addf("methods", "must name at least one method")
	}
	for i, m := range r.Methods {
		if !methodPattern.MatchString(m) {
			l.Addf(fmt.Sprintf("methods[%d]", i), "%q is not an HTTP method", m)
		}
	}
	if r.PathPrefix == "" || r.PathPrefix[0] != '/' {
		l.Addf("path-prefix", "must start with /, not %q", r.PathPrefix)
	}
	return l
}

var methodPattern = regexp.MustCompile(`^[A-Z]+$`)

// Service is a set of host names that callers send requests to, and the pool that
// handles those requests.
type Service struct {
	Name         string   `yaml:"name" json:"name" cbor:"name"`
	Hosts        []string `yaml:"hosts" json:"hosts" cbor:"hosts"` // values of the Host header field
	Pool         string   `yaml:"pool" json:"pool" cbor:"pool"`
	TimeoutMS    int      `yaml:"timeout-ms" json:"timeout-ms" cbor:"timeout-ms"`             // timeout of a call that requests none; 0 means DefaultTimeout
	MaxTimeoutMS int      `yaml:"max-timeout-ms" json:"max-timeout-ms" cbor:"max-timeout-ms"` // longest timeout that a caller may request
	RetryShare   *float64 `yaml:"retry-share,omitempty" json:"retry-share,omitempty" cbor:"retry-share,omitempty"`
}

// Kind returns KindService.
func (Service) Kind() Kind { return KindService }

// ResourceName returns the name.
func (s Service) ResourceName() string { return s.Name }

func (Service) sealed() {}

// Check implements Resource.
func (s Service) Check() htfinding.List {
	var l htfinding.List
	checkName(&l, "name", s.Name)
	if len(s.Hosts) == 0 {
		l.Addf("hosts", "must name at least one host")
	}
	for i, h := range s.Hosts {
		if h == "" {
			l.Addf(fmt.Sprintf("hosts[%d]", i), "must not be empty")
		}
	}
	if s.Pool == "" {
		l.Addf("pool", "must be set")
	}
	maxMS := int(MaxTimeout.Milliseconds())
	if s.TimeoutMS < 0 || s.TimeoutMS > maxMS {
		l.Addf("timeout-ms", "must be 0 to %d, not %d", maxMS, s.TimeoutMS)
	}
	if s.MaxTimeoutMS < 0 || s.MaxTimeoutMS > maxMS {
		l.Addf("max-timeout-ms", "must be 0 to %d, not %d", maxMS, s.MaxTimeoutMS)
	}
	if s.RetryShare != nil && !(*s.RetryShare >= 0 && *s.RetryShare <= DefaultRetryShare) {
		l.Addf("retry-share", "must be 0 to %g, not %g", DefaultRetryShare, *s.RetryShare)
	}
	return l
}

// Timeout returns the timeout of a call that requested a timeout, or of one that
// requested none if requested is 0. The result is at most MaxTimeoutMS or, if that is 0,
// the larger one of 10 s and the service's own timeout.
func (s Service) Timeout(requested time.Duration) time.Duration {
	timeout := time.Duration(s.TimeoutMS) * time.Millisecond
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	maxTimeout := time.Duration(s.MaxTimeoutMS) * time.Millisecond
	if maxTimeout == 0 {
		maxTimeout = max(timeout, 10*time.Second)
	}
	if requested > 0 {
		timeout = requested
	}
	return min(timeout, maxTimeout)
}

func checkName(l *htfinding.List, field, name string) {
	if len(name) > MaxNameLength || !namePattern.MatchString(name) {
		l.Addf(field, "must be 1 to %d of a-z, 0-9 and inner hyphens, not %q", MaxNameLength, name)
	}
}
