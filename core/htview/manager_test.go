package htview_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"hawthornturn/core/htview"
)

// runInCluster runs body in virtual time, with n hosts that serve all shards.
func runInCluster(t *testing.T, n int, body func(c *cluster, hosts []*host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stop()
		body(c, c.startAll(n))
	})
}

// TestJoinMovesShards guards against a joining host that gets no shards or gets them
// without their state, and against shards that no host serves after the join.
func TestJoinMovesShards(t *testing.T) {
	runInCluster(t, 3, func(c *cluster, _ []*host) {
		c.run(2 * time.Second)
		late := c.start("late")
		c.run(4 * time.Second)
		c.requireAllServed()
		if c.servedCountOf(late) == 0 {
			t.Fatalf("the late host serves nothing\n%s", c.dumpStates())
		}
		if len(late.emptyInstalls) != 0 {
			t.Fatalf("shards started with empty state: %v", late.emptyInstalls)
		}
	})
}

// TestKilledHostIsReplaced guards against shards of a killed host that no host takes
// over, or that are taken over before its lease has certainly expired.
func TestKilledHostIsReplaced(t *testing.T) {
	runInCluster(t, 4, func(c *cluster, hosts []*host) {
		before := c.servedCountOf(hosts[0])
		hosts[0].kill()
		c.run(6 * time.Second)
		if n := c.servedCount(); n != len(c.shards())-before {
			t.Fatalf("%d shards served 6 s after a kill, want %d", n, len(c.shards())-before)
		}
		c.run(6 * time.Second)
		c.requireAllServed()
	})
}

// TestRestartedHostJoinsAgain guards against a restarted process that uses the lease
// of its killed predecessor, or that never joins.
func TestRestartedHostJoinsAgain(t *testing.T) {
	runInCluster(t, 3, func(c *cluster, hosts []*host) {
		hosts[0].kill()
		c.run(500 * time.Millisecond)
		again := c.start("h0")
		c.run(15 * time.Second)
		c.requireAllServed()
		if c.servedCountOf(again) == 0 {
			t.Fatalf("the restarted host serves nothing\n%s", c.dumpStates())
		}
	})
}

// TestAllHostsReplaced guards against a view whose members have all ended and that no
// other host may remove.
func TestAllHostsReplaced(t *testing.T) {
	runInCluster(t, 3, func(c *cluster, hosts []*host) {
		for _, h := range hosts {
			h.kill()
		}
		for _, name := range []string{"n0", "n1", "n2"} {
			c.start(name)
		}
		c.run(20 * time.Second)
		c.requireAllServed()
	})
}

// TestAllHostsVanish guards against the same failure when the hosts refuse no
// connections, so that only the host list shows that they have ended.
func TestAllHostsVanish(t *testing.T) {
	runInCluster(t, 2, func(c *cluster, hosts []*host) {
		for _, h := range hosts {
			c.disconnect(h)
			c.setListed(h.self.Host, false)
			h.kill()
		}
		c.start("n0")
		c.run(50 * time.Second)
		if c.servedCount() != 0 {
			t.Fatalf("members removed 50 s after they vanished, before the host list may count")
		}
		c.run(30 * time.Second)
		c.requireAllServed()
	})
}

// TestPausedHostResumesWithoutLease guards against a host that still serves after a
// pause longer than its lease, and against one that cannot rejoin.
func TestPausedHostResumesWithoutLease(t *testing.T) {
	runInCluster(t, 3, func(c *cluster, hosts []*host) {
		hosts[0].gate.pause()
		c.run(12 * time.Second)
		c.requireAllServed()
		hosts[0].gate.resume()
		c.run(20 * time.Millisecond)
		if c.servedCountOf(hosts[0]) != 0 {
			t.Fatalf("the paused host serves immediately after a pause of 12 s")
		}
		c.run(6 * time.Second)
		c.requireAllServed()
		if c.servedCountOf(hosts[0]) == 0 {
			t.Fatalf("the paused host serves nothing after its return\n%s", c.dumpStates())
		}
	})
}

// TestTableOutage guards against an interruption of service while the table is
// unreachable, and against the removal of members when it is reachable again.
func TestTableOutage(t *testing.T) {
	for _, fault := range []tableFault{tableDown, tableSilent} {
		runInCluster(t, 4, func(c *cluster, hosts []*host) {
			c.setTables(fault)
			for range 300 {
				c.run(200 * time.Millisecond)
				c.requireAllServed()
			}
			if mode := hosts[0].m.State().Mode; mode != htview.ModeHeld {
				t.Fatalf("mode %s, want held", mode)
			}
			c.setTables(tableUp)
			for range 50 {
				c.run(200 * time.Millisecond)
				c.requireAllServed()
			}
			if n := len(hosts[0].m.View().Members); n != 4 {
				t.Fatalf("%d members after the outage, want 4", n)
			}
		})
	}
}

// TestKilledDuringOutage guards against leases that are not extended because a process
// that has ended gives no hold, and against a change of ownership without the table.
func TestKilledDuringOutage(t *testing.T) {
	runInCluster(t, 4, func(c *cluster, hosts []*host) {
		c.setTables(tableDown)
		c.run(10 * time.Second)
		unserved := c.servedCountOf(hosts[0])
		hosts[0].kill()
		for range 100 {
			c.run(200 * time.Millisecond)
			if n := c.servedCount(); n != len(c.shards())-unserved {
				t.Fatalf("%d shards served, want %d\n%s", n, len(c.shards())-unserved, c.dumpStates())
			}
		}
		c.setTables(tableUp)
		c.run(20 * time.Second)
		c.requireAllServed()
	})
}

// TestRenewThroughPeer guards against a host whose lease expires although a peer could
// renew it.
func TestRenewThroughPeer(t *testing.T) {
	for _, fault := range []tableFault{tableDown, tableSilent} {
		runInCluster(t, 3, func(c *cluster, hosts []*host) {
			hosts[0].setTable(fault)
			for range 150 {
				c.run(200 * time.Millisecond)
				c.requireAllServed()
			}
			late := c.start("late")
			c.run(4 * time.Second)
			c.requireAllServed()
			if c.servedCountOf(late) == 0 {
				t.Fatalf("no shard moved to the late host")
			}
		})
	}
}

// TestCutOff guards against a host that continues to serve although it reaches neither
// the table nor its peers.
func TestCutOff(t *testing.T) {
	runInCluster(t, 3, func(c *cluster, hosts []*host) {
		hosts[0].setTable(tableDown)
		c.cutBothWays(hosts[0], hosts[1])
		c.cutBothWays(hosts[0], hosts[2])
		c.run(4200 * time.Millisecond)
		if state := hosts[0].m.State(); state.Mode != htview.ModeCutOff || !hosts[0].m.LeaseUntil(time.Now()).IsZero() {
			t.Fatalf("mode %s 4.2 s after the last contact", state.Mode)
		}
		c.run(10 * time.Second)
		c.requireAllServed()
		c.clearFaults()
		c.run(8 * time.Second)
		c.requireAllServed()
	})
}

// TestLeave guards against a planned stop that loses state or leaves shards that no
// host serves.
func TestLeave(t *testing.T) {
	runInCluster(t, 3, func(c *cluster, hosts []*host) {
		c.resetEmptyInstalls()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := hosts[0].m.Leave(ctx); err != nil {
			t.Fatalf("leave: %v", err)
		}
		hosts[0].kill()
		c.run(200 * time.Millisecond)
		c.requireAllServed()
		for _, h := range c.live() {
			if len(h.emptyInstalls) != 0 {
				t.Fatalf("shards started with empty state: %v", h.emptyInstalls)
			}
		}
	})
}

// TestStoppedHostRoutesToSuccessors guards against a stopped host that takes itself for the
// owner of its former shards: reports of calls that ended after the hand-over reached no
// new owner, and calls that it had accepted found no dispatcher.
func TestStoppedHostRoutesToSuccessors(t *testing.T) {
	for _, tableState := range []struct {
		name string
		down bool
	}{{"left the view", false}, {"table down", true}} {
		t.Run(tableState.name, func(t *testing.T) {
			runInCluster(t, 3, func(c *cluster, hosts []*host) {
				if tableState.down {
					c.setTables(tableDown)
				}
				left := hosts[0].m.Leave(context.Background())
				if (left != nil) != tableState.down {
					t.Fatalf("leave: %v", left)
				}
				c.run(200 * time.Millisecond)
				self := hosts[0].m.Self()
				for _, s := range c.shards() {
					got, ok := hosts[0].m.Owner(s)
					want, _ := hosts[1].m.View().Without(self.Host).Owner(s)
					if !ok || got != want {
						t.Fatalf("%s: the stopped host takes %q for the owner, want %q", s, got.Host, want.Host)
					}
				}
			})
		})
	}
}

// TestLeaveDuringOutage guards against a stopped host whose missing hold prevents the
// other hosts from extending their leases, and against the loss of its state once the
// table is reachable again.
func TestLeaveDuringOutage(t *testing.T) {
	runInCluster(t, 3, func(c *cluster, hosts []*host) {
		c.resetEmptyInstalls()
		c.setTables(tableDown)
		c.run(8 * time.Second)
		unserved := c.servedCountOf(hosts[0])
		if err := hosts[0].m.Leave(context.Background()); err == nil {
			t.Fatalf("Leave succeeded although the table is down")
		}
		c.disconnect(hosts[0]) // its address does not refuse connections
		c.run(20 * time.Second)
		if n := c.servedCount(); n != len(c.shards())-unserved {
			t.Fatalf("%d shards served, want %d\n%s", n, len(c.shards())-unserved, c.dumpStates())
		}
		hosts[0].kill()
		c.setTables(tableUp)
		c.run(20 * time.Second)
		c.requireAllServed()
		for _, h := range c.live() {
			if len(h.emptyInstalls) != 0 {
				t.Fatalf("shards started with empty state: %v", h.emptyInstalls)
			}
		}
	})
}

// TestLeaveOfRemovedHost guards against a host that was removed while it was paused
// and sends its outdated state to a new owner when it stops. The owner in between has
// served the shard, so keys would run again.
func TestLeaveOfRemovedHost(t *testing.T) {
	runInCluster(t, 3, func(c *cluster, hosts []*host) {
		hosts[0].gate.pause()
		sent := hosts[0].releaseCount()
		stopped := make(chan error, 1)
		go func() { stopped <- hosts[0].m.Leave(context.Background()) }()
		c.run(12 * time.Second)
		c.requireAllServed()
		hosts[0].gate.resume()
		if err := <-stopped; err != nil {
			t.Fatalf("leave: %v", err)
		}
		if n := hosts[0].releaseCount() - sent; n != 0 {
			t.Fatalf("the removed host sent %d releases", n)
		}
	})
}
