package htcatalog

import (
	"fmt"
	"strings"
	"time"

	"hawthornturn/core/htfinding"
)

// Config is one version of the configuration set by operators.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route maps requests, by host name and path prefix, to the services that run them.
type Route struct {
	Name       string
	Host       string
	Prefix     string // begins and ends with a slash
	Idempotent bool
	Timeout    time.Duration // the longest time until a caller gets an answer
	Target     time.Duration // an answer within this time is on time
	Attempts   int           // the most upstreams that may run one call
	Priority   int           // 0 is the most urgent
	Parts      []Part
}

// Part is a service and the share of a route's requests that it gets.
type Part struct {
	Service string
	Weight  int
}

// Service describes the upstreams of one service.
type Service struct {
	Name          string
	HealthPath    string
	Connections   int           // the most open connections that an upstream accepts
	ColdStart     time.Duration // how long an upstream stays cold after its start
	ColdPerSecond float64       // requests per second that a cold upstream can take
}

// Limits bound the requests of callers. Zero means that no limit is declared.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Check returns the errors of the configuration.
func (c *Config) Check() htfinding.List {
	var found htfinding.List
	known := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" {
			found.Addf("services", "a service has no name")
		}
		known[s.Name] = true
	}
	for i, r := range c.Routes {
		r.check(&found, fmt.Sprintf("routes[%d]", i), known)
	}
	return found
}

func (r Route) check(found *htfinding.List, field string, known map[string]bool) {
	if r.Host == "" {
		found.Addf(field, "route %q has no host", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		found.Addf(field, "prefix %q of route %q must begin and end with a slash", r.Prefix, r.Name)
	}
	if r.Timeout <= 0 {
		found.Addf(field, "route %q has no timeout", r.Name)
	}
	if len(r.Parts) == 0 {
		found.Addf(field, "route %q names no service", r.Name)
	}
	total := 0
	for _, p := range r.Parts {
		total += p.Weight
		if !known[p.Service] {
			found.Addf(field, "route %q names the unknown service %q", r.Name, p.Service)
		}
		if p.Weight < 0 {
			found.Addf(field, "route %q has a negative weight", r.Name)
		}
	}
	if len(r.Parts) > 0 && total <= 0 {
		found.Addf(field, "the weights of route %q add up to zero", r.Name)
	}
}
