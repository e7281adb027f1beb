package htconfig

import (
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hawthornturn/core/htresource"
	"hawthornturn/core/httable"
)

// spreadBound is the bound of invariant config-monotonic today.
const spreadBound = 5 * time.Second

// Guards against an accepted change that is lost, applied twice or reverted, or
// that stays off a host, under each fault.
func TestFaultMatrix(t *testing.T) {
	cells := []struct {
		name string
		run  func(*cluster)
	}{
		{"kill/configuration-write", killWrite},
		{"kill/configuration-spread", killSpread},
		{"pause/configuration-write", pauseWrite},
		{"pause/configuration-spread", pauseSpread},
		{"cut-both-ways/configuration-write", cutWrite},
		{"cut-both-ways/configuration-spread", cutSpread},
		{"cut-one-way/configuration-write", oneWayWrite},
		{"cut-one-way/configuration-spread", oneWaySpread},
		{"table-down/configuration-write", downWrite},
		{"table-down/configuration-spread", downSpread},
		{"slow/configuration-write", slowWrite},
		{"slow/configuration-spread", slowSpread},
		{"answer-lost/configuration-write", lostWrite},
		{"answer-lost/configuration-spread", lostSpread},
		{"operators-racing/configuration-write", racingWrite},
		{"operators-racing/configuration-spread", racingSpread},
	}
	for _, cell := range cells {
		t.Run(cell.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				c.hosts[0].mustApply("a:in", "b:in")
				// Each host has sent a heartbeat, and no heartbeat or poll is due at this moment:
				// one that is would race with the step.
				time.Sleep(PollInterval + 250*time.Millisecond)
				cell.run(c)
				c.stop()
			})
		})
	}
}

// The accepting host dies after the commit; the operator sends the change again
// through another host.
func killWrite(c *cluster) {
	first := c.hosts[0]
	first.link.loseCommit = []loss{lossAll}
	go func() { _, _ = first.apply(domains("a:out", "b:in"), Precondition{Version: 1}) }()
	synctest.Wait()
	first.kill()
	c.wantUnchanged(c.hosts[0], domains("a:out", "b:in"), 2)
}

// The accepting host dies between commit and push.
func killSpread(c *cluster) {
	if _, err := c.hosts[0].store.Apply(c.t.Context(), domains("a:out"), Precondition{Any: true}, false); err != nil {
		c.t.Error(err)
	}
	c.hosts[0].kill()
	c.wantInForce(c.hosts[0], 2)
}

// The accepting host is paused between reading and committing while another
// operator's change is accepted.
func pauseWrite(c *cluster) {
	gate := make(chan struct{})
	paused := c.hosts[0]
	done := make(chan error)
	paused.link.set(func(l *link) { l.commitGate = gate })
	go func() {
		_, err := paused.apply(domains("a:in"), Precondition{Any: true})
		done <- err
	}()
	synctest.Wait()
	c.hosts[1].mustApply("a:out", "b:in")
	time.Sleep(time.Second)
	close(gate)
	var conflict *ConflictError
	if err := <-done; !errors.As(err, &conflict) || conflict.Current != 2 {
		c.t.Errorf("error = %v, want a conflict at 2", err)
	}
	c.wantInForce(paused, 2)
}

// A host is paused while a change spreads.
func pauseSpread(c *cluster) {
	gate := make(chan struct{})
	c.missSpread(func(l *link) { l.gate = gate })
	close(gate)
	c.heal(c.hosts[2])
	c.wantInForce(c.hosts[0], 2)
}

// The accepting host can reach neither the table nor its peers.
func cutWrite(c *cluster) {
	c.isolate(c.hosts[0])
	c.hosts[0].link.set(func(l *link) { l.delay = time.Hour })
	if _, err := c.hosts[0].apply(domains("a:out"), Precondition{Any: true}); !errors.Is(err, httable.ErrUnavailable) {
		c.t.Errorf("error = %v", err)
	}
	c.heal(c.hosts[0])
	c.wantInForce(c.hosts[0], 1)
}

// A host can reach neither the table nor its peers while a change spreads.
func cutSpread(c *cluster) {
	c.missSpread(func(l *link) { l.delay = time.Hour })
	c.heal(c.hosts[2])
	c.wantInForce(c.hosts[0], 2)
}

// The commit reaches the table, but no answer comes back until the write is given
// up. The operator is told that the result is unknown and sends the change again.
func oneWayWrite(c *cluster) {
	first := c.hosts[0]
	first.link.loseCommit = []loss{lossAll}
	if _, err := first.apply(domains("a:out", "b:in"), Precondition{Version: 1}); !errors.Is(err, httable.ErrResultUnknown) {
		c.t.Errorf("error = %v, want an unknown result", err)
	}
	c.heal(first)
	c.wantUnchanged(first, domains("a:out", "b:in"), 2)
}

// The accepting host cannot push to one host, which reaches the table.
func oneWaySpread(c *cluster) {
	c.cutOff("host-0", "host-2", true)
	c.hosts[0].mustApply("a:out")
	if c.hosts[2].follower.Applied() != 1 || c.hosts[1].follower.Applied() != 2 {
		c.t.Error("the cut did not keep the push from exactly one host")
	}
	c.wantInForce(c.hosts[1], 2)
}

// The table is down before a write and after its first attempt.
func downWrite(c *cluster) {
	c.hosts[0].link.set(func(l *link) { l.down = true })
	if _, err := c.hosts[0].apply(domains("a:out"), Precondition{Any: true}); !errors.Is(err, httable.ErrUnavailable) {
		c.t.Errorf("error = %v", err)
	}
	c.heal(c.hosts[0])
	c.hosts[0].link.loseCommit = []loss{lossAll}
	time.AfterFunc(2*time.Second, func() { c.heal(c.hosts[0]) })
	if revision := c.hosts[0].mustApply("a:out"); revision != 2 {
		c.t.Errorf("revision = %d, want 2", revision)
	}
	c.wantInForce(c.hosts[0], 2)
}

// The table goes down after a commit; a host that missed the push gets the set
// from a peer.
func downSpread(c *cluster) {
	c.cutOff("host-0", "host-2", true)
	c.hosts[0].mustApply("a:out")
	for _, h := range c.hosts {
		h.link.set(func(l *link) { l.down = true })
	}
	c.wantInForce(c.hosts[1], 2)
}

func slowWrite(c *cluster) {
	c.hosts[0].link.set(func(l *link) { l.delay = 900 * time.Millisecond })
	c.hosts[0].mustApply("a:out")
	c.wantInForce(c.hosts[0], 2)
}

// A host that missed the push reads a table whose every answer is late.
func slowSpread(c *cluster) {
	c.cutOff("host-0", "host-2", true)
	c.hosts[2].link.set(func(l *link) { l.delay = 1100 * time.Millisecond })
	c.hosts[0].mustApply("a:out")
	c.wantInForce(c.hosts[1], 2)
}

// Answers are lost after, before and during the commit.
func lostWrite(c *cluster) {
	c.hosts[0].link.loseCommit = []loss{lossAnswer, lossRequest, lossLate}
	c.hosts[0].mustApply("a:out")
	c.hosts[0].mustApply("a:in")
	c.hosts[0].mustApply("a:out")
	c.wantInForce(c.hosts[0], 4)
}

// A host that missed the push gets no answer from the table.
func lostSpread(c *cluster) {
	c.cutOff("host-0", "host-2", true)
	c.hosts[2].link.set(func(l *link) { l.loseReads = true })
	c.hosts[0].mustApply("a:out")
	c.wantInForce(c.hosts[1], 2)
}

// Three operators change the same revision at the same time.
func racingWrite(c *cluster) {
	var group sync.WaitGroup
	errs := make([]error, len(c.hosts))
	for i, h := range c.hosts {
		h.link.set(func(l *link) { l.delay = time.Millisecond })
		group.Go(func() {
			_, errs[i] = h.apply(domains([]string{"a:out", "b:out", "c:out"}[i]), Precondition{Version: 1})
		})
	}
	group.Wait()
	won := 0
	for _, err := range errs {
		var conflict *ConflictError
		if err == nil {
			won++
		} else if !errors.As(err, &conflict) || conflict.Current != 2 {
			c.t.Errorf("error = %v, want a conflict at 2", err)
		}
	}
	if won != 1 {
		c.t.Errorf("%d operators won", won)
	}
	c.wantInForce(c.hosts[0], 2)
}

// Operators change different resources through all hosts; none loses a change
// that was accepted.
func racingSpread(c *cluster) {
	var group sync.WaitGroup
	for _, h := range c.hosts {
		h.link.set(func(l *link) { l.delay = time.Millisecond })
		group.Go(func() {
			for range 10 {
				for _, state := range []htresource.DomainState{"out", "in"} {
					domain := htresource.FailureDomain{Name: h.name, State: state}
					if _, err := h.writer.Put(c.t.Context(), domain, Precondition{Any: true}); err != nil {
						c.t.Errorf("put at %s: %v", h.name, err)
					}
				}
			}
		})
	}
	group.Wait()
	c.wantInForce(c.hosts[0], 61)
	if all := c.hosts[0].follower.Current().All(); len(all) != 5 {
		c.t.Errorf("declared: %v", all)
	}
}

// missSpread applies a change while host-2 has a fault and no peers, and checks
// that the change does not count as in force.
func (c *cluster) missSpread(fault func(*link)) {
	c.t.Helper()
	c.isolate(c.hosts[2])
	c.hosts[2].link.set(fault)
	c.hosts[0].mustApply("a:out", "b:in")
	time.Sleep(time.Minute)
	status := c.hosts[0].follower.InForce(2)
	if status.InForce || len(status.Behind) != 1 || status.Behind[0] != (HostRevision{"host-2", 1}) {
		c.t.Errorf("status = %+v, want host-2 behind at 1", status)
	}
}

func (c *cluster) isolate(h *host) {
	for _, o := range c.others(h.name) {
		c.cutOff(h.name, o.name, true)
	}
}

func (c *cluster) heal(h *host) {
	for _, o := range c.others(h.name) {
		c.cutOff(h.name, o.name, false)
	}
	h.link.set(func(l *link) { l.down, l.delay, l.gate, l.loseReads = false, 0, nil, false })
}

// wantInForce checks that revision is everywhere within the bound.
func (c *cluster) wantInForce(h *host, revision uint64) {
	c.t.Helper()
	time.Sleep(spreadBound)
	if s := h.follower.InForce(revision); !s.InForce {
		c.t.Errorf("status = %+v", s)
	}
	c.check(revision)
}

// wantUnchanged applies a set that is already accepted as revision.
func (c *cluster) wantUnchanged(h *host, set *htresource.Set, revision uint64) {
	c.t.Helper()
	result, err := h.apply(set, Precondition{Version: revision - 1})
	if err != nil || result.Revision != revision || len(result.Changes) != 0 {
		c.t.Errorf("second apply = %+v, %v", result, err)
	}
	c.wantInForce(h, revision)
}
