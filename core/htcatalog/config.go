package htcatalog

import (
	"fmt"
	"slices"
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
	// KeysRequired means that a request needs the key of an account, unless its route is public.
	KeysRequired bool
	Accounts     []Account
	LeftOut      htfinding.List // parts that could not be used when the configuration was decoded

	accounts accountIndex // set by LeaveOutInvalid, once for all catalogs of the configuration
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
	Public     bool          // requests need no key
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
	found, _ := c.checkRoutes()
	_, ambiguous := newAccountIndex(c.Accounts)
	return append(found, ambiguous...)
}

// LeaveOutInvalid leaves out the routes and accounts that can't be used, and returns what is left
// out with the places. A route with a valid host and prefix is kept without parts: its requests
// are refused and don't match a shorter prefix, whose service may be another one. It returns
// an error if no route can be used.
func (c *Config) LeaveOutInvalid() (htfinding.List, error) {
	found, usable := c.checkRoutes()
	found = append(slices.Clone(c.LeftOut), found...)
	declared := len(c.Routes)
	kept := make([]Route, 0, declared)
	left := 0
	for i, r := range c.Routes {
		if usable[i] {
			left++
		} else {
			r.Parts = nil
		}
		if r.Host != "" && validPrefix(r.Prefix) {
			kept = append(kept, r)
		}
	}
	if left == 0 && len(found) > 0 {
		return nil, fmt.Errorf("none of %d routes can be used: %w", declared, found)
	}
	c.Routes = kept
	index, ambiguous := newAccountIndex(c.Accounts)
	c.accounts = index
	return append(found, ambiguous...), nil
}

// checkRoutes returns the errors and, by route, whether it can be used.
func (c *Config) checkRoutes() (htfinding.List, []bool) {
	var found htfinding.List
	known := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" {
			found.Addf("services", "a service has no name")
		}
		known[s.Name] = true
	}
	usable := make([]bool, len(c.Routes))
	for i, r := range c.Routes {
		before := len(found)
		r.check(&found, fmt.Sprintf("routes[%d]", i), known)
		usable[i] = len(found) == before
	}
	return found, usable
}

func validPrefix(prefix string) bool {
	return strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/")
}

func (r Route) check(found *htfinding.List, field string, known map[string]bool) {
	if r.Host == "" {
		found.Addf(field, "route %q has no host", r.Name)
	}
	if !validPrefix(r.Prefix) {
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
