package htpath

import (
	"fmt"
	"testing"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htresource"
	"hawthornturn/core/htview"
)

const (
	// domainBound bounds the time until a failure domain that was taken out gets no new
	// requests, and until one that was brought back has got some.
	domainBound = 5 * time.Second
	// contactBound bounds the time for which a host that reaches neither the other hosts
	// nor the table service still holds a lease (docs/design.md, section 9).
	contactBound = 4 * time.Second
)

// domainFault is a fault that is injected at the owner of the failure domain's shard
// at the moment at which the domain is taken out or brought back.
type domainFault struct {
	name       string
	inject     func(c *cluster, owner *entryHost)
	impossible string // why the fault cannot occur; empty if it can
}

// isolateHost makes a host unreachable, as by a network partition or a pause. The host
// misses the change, its lease ends within contactBound, and other hosts take over its
// shards.
func isolateHost(c *cluster, owner *entryHost) {
	c.mu.Lock()
	owner.isolated = true
	owner.lease = time.Now().Add(contactBound)
	c.mu.Unlock()
	go func() {
		time.Sleep(testTakeover)
		c.moveShards(owner, func(htview.Shard) []byte { return nil })
	}()
}

var domainFaults = []domainFault{
	{"kill", func(c *cluster, owner *entryHost) {
		owner.kill()
		go c.takeOver(owner)
	}, ""},
	{"pause-past-lease", isolateHost, ""},
	{"cut-both-ways", isolateHost, ""},
	{"cut-one-way", isolateHost, ""},
	{"silent-connections", func(c *cluster, _ *entryHost) { overrideOnce(c, nil, ErrSilent, testSilence) }, ""},
	{"table-down", nil, "the change is already accepted; its distribution is tested in the fault matrix of htconfig"},
	{"table-slow", nil, "the change is already accepted; its distribution is tested in the fault matrix of htconfig"},
	{"table-answer-lost", nil, "the change is already accepted; its distribution is tested in the fault matrix of htconfig"},
	{"host-list-late", nil, "the host list contains no failure domains"},
	{"host-list-wrong", nil, "the host list contains no failure domains"},
	{"upstream-slow", func(c *cluster, _ *entryHost) { overrideOnce(c, nil, nil, 10*testWork) }, ""},
	{"upstream-cold", func(c *cluster, _ *entryHost) { overrideOnce(c, refusedAnswer("cold"), nil, 0) }, ""},
	{"upstream-draining", func(c *cluster, _ *entryHost) { overrideOnce(c, refusedAnswer("draining"), nil, 0) }, ""},
	{"upstream-shedding", func(c *cluster, _ *entryHost) { overrideOnce(c, refusedAnswer("warm"), nil, 0) }, ""},
	{"upstream-crash", func(c *cluster, _ *entryHost) { overrideOnce(c, nil, ErrSilent, 0) }, ""},
	{"operators-racing", func(c *cluster, _ *entryHost) {
		c.declare(setEast(htresource.DomainIn))
		c.declare(setEast(htresource.DomainOut))
		c.declare(setEast(htresource.DomainIn))
	}, ""},
}

func setEast(state htresource.DomainState) func(*htresource.Set) {
	return func(s *htresource.Set) { s.Domains[0].State = state }
}

// TestFaultMatrixDomains injects every fault while a failure domain is taken out and
// while it is brought back. It guards against requests that reach the domain later
// than domainBound after it was taken out, against a domain that gets no requests after
// it was brought back, and against callers that the other domains do not serve.
func TestFaultMatrixDomains(t *testing.T) {
	for _, fault := range domainFaults {
		for _, s := range []string{"failure-domain-out", "failure-domain-back"} {
			t.Run(fault.name+"/"+s, func(t *testing.T) {
				if fault.impossible != "" {
					t.Log("cannot occur:", fault.impossible)
					return
				}
				withCluster(t, func(t *testing.T, c *cluster) { testDomainChange(t, c, fault, s) })
			})
		}
	}
}

func testDomainChange(t *testing.T, c *cluster, fault domainFault, s string) {
	stop := make(chan struct{})
	defer close(stop)
	go sendLookups(c, stop)
	time.Sleep(time.Second)
	member, _ := c.view.Owner(htview.PoolShard("shop", "east"))
	inject := func(at string) {
		if at == s {
			fault.inject(c, c.hosts[member.Host])
		}
	}
	inject("failure-domain-out")
	c.declare(setEast(htresource.DomainOut))
	out := time.Now()
	time.Sleep(2 * domainBound)
	if last := c.upstreams.lastSentTo("east"); last.After(out.Add(domainBound)) {
		t.Errorf("request sent %v after the failure domain was taken out", last.Sub(out))
	}
	inject("failure-domain-back")
	c.declare(setEast(htresource.DomainIn))
	back := time.Now()
	time.Sleep(testTakeover + domainBound)
	if last := c.upstreams.lastSentTo("east"); !last.After(back) {
		t.Error("no request sent after the failure domain was brought back")
	}
	if got := c.sendCall("host-1", "/last", "", time.Second); got.outcome != htcall.Done && c.hosts["host-1"].ctx.Err() == nil && !c.hosts["host-1"].isolated {
		t.Errorf("lookup after the changes: %+v", got)
	}
}

// sendLookups sends a lookup every 5 ms through the hosts in turn.
func sendLookups(c *cluster, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
			go c.sendCall(fmt.Sprintf("host-%d", i%3), fmt.Sprintf("/lookup/%d", i), "", time.Second)
		}
	}
}

func (u *fakeUpstreams) lastSentTo(domain string) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastSent[domain]
}
