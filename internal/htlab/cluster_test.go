package htlab

import (
	"context"
	"fmt"
	"testing"
	"time"

	"hawthornturn/core/htassert"
	"hawthornturn/core/htresource"
	"hawthornturn/internal/htstand"
	"hawthornturn/io/htsettings"
)

// TestEndToEnd guards against failures anywhere on the path of a call. Callers use
// three entry hosts, calls are forwarded to dispatchers and key owners on other
// hosts, and every response must be complete, belong to its request and result from
// a single run.
func TestEndToEnd(t *testing.T) {
	htassert.PanicOnViolation.Store(true)
	c, err := NewCluster()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
	set := smallSet()
	if err := c.StartUpstreams(set, htstand.UpstreamSettings{Work: 2 * time.Millisecond, Seed: 1}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	revision, err := c.Apply(ctx, set)
	if err != nil {
		t.Fatal(err)
	}
	for i, domain := range []string{"east", "west", "east"} {
		if _, err := c.StartHost(fmt.Sprintf("host-%d", i), domain, nil); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.WaitReady(ctx, revision); err != nil {
		t.Fatal(err)
	}
	// A new key owner that did not receive a predecessor's state rejects calls with keys
	// created before it took over or within twice the maximum clock skew afterwards
	// (reason fenced).
	time.Sleep(2*htsettings.Defaults().MaxClockSkew + 100*time.Millisecond)
	load, err := NewLoad(LoadSettings{
		Hosts: c.CallerAddresses(), Upstreams: c.UpstreamAddresses(), Service: "shop.test",
		Rate: 100, Duration: 3 * time.Second, Seed: 1, Lookups: 3, Bookings: 1, DuplicateShare: 0.3,
		Timeout: 5 * time.Second, BodyBytes: 200,
	})
	if err != nil {
		t.Fatal(err)
	}
	result, err := load.Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", result)
	if bad := result.Violations(); len(bad) > 0 {
		t.Errorf("violations: %v", bad)
	}
	if bad := result.Nonzero([]string{"cut", "unknown", "not-run", "late"}); len(bad) > 0 {
		t.Errorf("not every call got a complete response in time: %v", bad)
	}
}

// smallSet declares one service with two failure domains.
func smallSet() *htresource.Set {
	set := &htresource.Set{
		Domains: []htresource.FailureDomain{
			{Name: "east", Region: "one", State: htresource.DomainIn},
			{Name: "west", Region: "one", State: htresource.DomainIn},
		},
		Rules: []htresource.Rule{{Name: "lookups", Service: "shop", Methods: []string{"GET"}, PathPrefix: "/"}},
		Services: []htresource.Service{
			{Name: "shop", Hosts: []string{"shop.test"}, Pool: "shop", TimeoutMS: 2000, MaxTimeoutMS: 10000},
		},
	}
	pool := htresource.Pool{Name: "shop", ColdLimit: 1, ProbesPerSec: 1, QueueLimit: 100}
	for i := range 4 {
		domain := []string{"east", "west"}[i%2]
		pool.Upstreams = append(pool.Upstreams, htresource.Upstream{
			Name: fmt.Sprintf("shop-%d", i), Address: fmt.Sprintf("127.0.0.1:%d", i+1), Domain: domain, Slots: 2,
		})
	}
	set.Pools = []htresource.Pool{pool}
	return set
}
