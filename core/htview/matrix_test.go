package htview_test

import (
	"context"
	"testing"
	"time"

	"hawthornturn/core/htcall"
)

// matrixFault is a row of the fault matrix: how the fault is injected at victim, a
// host of the cluster, and how long shards may stay unserved because of it.
type matrixFault struct {
	name      string
	inject    func(c *cluster, victim, peer *host)
	maxOutage time.Duration // time until all shards are served again while the fault lasts; 0 if all stay served
}

// recoveryTime allows for the takeover delay, one run of observe and the handover.
const recoveryTime = 12 * time.Second

var matrixFaults = []matrixFault{
	{"kill", func(_ *cluster, victim, _ *host) { victim.kill() }, recoveryTime},
	{"pause-past-lease", func(_ *cluster, victim, _ *host) { victim.gate.pause() }, recoveryTime},
	{"cut-both-ways", func(c *cluster, victim, peer *host) { c.cutBothWays(victim, peer) }, 0},
	{"cut-one-way", func(c *cluster, victim, peer *host) { c.cutOneWay(victim, peer) }, 0},
	{"table-down", func(c *cluster, _, _ *host) { c.setTables(tableDown) }, 0},
	{"table-slow", func(c *cluster, _, _ *host) { c.setTables(tableSlow) }, 0},
	{"answer-lost", func(c *cluster, _, _ *host) { c.setTables(tableLost) }, 0},
	{"host-list-late", func(c *cluster, victim, _ *host) { c.setListed(victim.self.Host, false) }, 0},
	{"host-list-wrong", func(c *cluster, _, _ *host) { c.setListsWrong() }, 0},
}

// matrixSteps are the columns of the fault matrix.
var matrixSteps = []struct {
	name string
	run  func(c *cluster, f matrixFault, victim, peer *host)
}{
	{"lease-renewal", renewalUnderFault},
	{"hand-over", handOverUnderFault},
	{"planned-stop", stopUnderFault},
	{"keyed-call", keyedCallUnderFault},
}

// TestFaultMatrix runs each step of the membership under each fault. It guards against
// a shard that is served by two hosts at any sample, shards that are not served again
// within the bound of the fault, and a cluster that has not recovered after the end of
// the fault.
func TestFaultMatrix(t *testing.T) {
	for _, f := range matrixFaults {
		for _, step := range matrixSteps {
			t.Run(f.name+"/"+step.name, func(t *testing.T) {
				runInCluster(t, 4, func(c *cluster, hosts []*host) {
					step.run(c, f, hosts[0], hosts[1])
					c.clearFaults()
					c.run(25 * time.Second)
					c.requireAllServed()
				})
			})
		}
	}
}

// renewalUnderFault runs long enough under the fault that leases expire unless they
// are renewed.
func renewalUnderFault(c *cluster, f matrixFault, victim, peer *host) {
	f.inject(c, victim, peer)
	if f.maxOutage > 0 {
		c.run(f.maxOutage)
		c.requireAllServed()
		return
	}
	for range 100 {
		c.run(200 * time.Millisecond)
		c.requireAllServed()
	}
}

// handOverUnderFault injects the fault while a host joins, so that shards move under
// the fault.
func handOverUnderFault(c *cluster, f matrixFault, victim, peer *host) {
	late := c.start("late")
	c.run(2 * time.Millisecond) // to a time between its first read and its join
	f.inject(c, victim, peer)
	late.setTable(victim.tableFault())
	c.run(max(f.maxOutage, recoveryTime))
	c.requireAllServed()
}

// stopUnderFault starts a planned stop of the victim right after the fault begins.
func stopUnderFault(c *cluster, f matrixFault, victim, peer *host) {
	f.inject(c, victim, peer)
	stopped := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	go func() { stopped <- victim.m.Leave(ctx) }()
	c.run(9 * time.Second)
	victim.gate.resume()
	left := <-stopped
	victim.kill()
	if f.name == "table-down" {
		if left == nil {
			c.t.Fatalf("Leave succeeded although the table is down")
		}
		c.t.Logf("the shards of the stopped host stay unserved until the table is up, because ownership does not change without it")
		c.setTables(tableUp)
	}
	c.run(recoveryTime)
	c.requireAllServed()
}

// keyedCallUnderFault sends keyed calls before, during and after the fault. Most keys
// are sent several times.
func keyedCallUnderFault(c *cluster, f matrixFault, victim, peer *host) {
	l, stop := newCallRecord(), make(chan struct{})
	go c.sendKeyedCalls(l, 11, stop)
	c.run(2 * time.Second)
	f.inject(c, victim, peer)
	c.run(recoveryTime)
	c.clearFaults()
	c.run(5 * time.Second)
	close(stop)
	c.run(time.Second)
	l.check(c.t)
	if l.outcomes[htcall.Done] < 100 || l.outcomes[htcall.NotRun] == 0 {
		c.t.Fatalf("too few done or not-run outcomes: %v", l.outcomes)
	}
}

// setListsWrong makes the host list name none of the hosts.
func (c *cluster) setListsWrong() {
	for _, h := range c.live() {
		c.setListed(h.self.Host, false)
	}
}

// TestWrongListDuringOutage guards against taking an empty host list as proof that
// silent members have ended. One member still reaches the table, and the others must
// not extend their leases without a hold from it.
func TestWrongListDuringOutage(t *testing.T) {
	runInCluster(t, 3, func(c *cluster, hosts []*host) {
		connected := hosts[2]
		for _, h := range hosts[:2] {
			h.setTable(tableDown)
			c.cutBothWays(h, connected)
		}
		c.setListsWrong()
		c.run(90 * time.Second)
		if n := c.servedCountOf(connected); n != len(c.shards()) {
			t.Fatalf("the member that reaches the table serves %d shards", n)
		}
	})
}

// TestHoldsDoNotRestoreLease guards against a host that was removed while it was paused
// and extends its expired lease by holds of members that do not know of the removal.
func TestHoldsDoNotRestoreLease(t *testing.T) {
	runInCluster(t, 3, func(c *cluster, hosts []*host) {
		paused, isolated, remover := hosts[0], hosts[1], hosts[2]
		isolated.setTable(tableDown)
		paused.setTable(tableDown)
		c.cutBothWays(isolated, remover)
		paused.gate.pause()
		c.run(9 * time.Second)
		late := c.start("late")
		c.cutBothWays(late, isolated)
		c.cutBothWays(late, paused)
		c.run(8 * time.Second)
		remover.kill()
		c.run(15 * time.Second)
		paused.gate.resume()
		c.run(20 * time.Second)
		if n := c.servedCountOf(paused); n != 0 {
			t.Fatalf("the removed host serves %d shards", n)
		}
		if c.servedCountOf(late) == 0 {
			t.Fatalf("the host that took over serves nothing\n%s", c.dumpStates())
		}
	})
}
