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

// maxPropagation bounds the time until all hosts have applied an accepted change. The
// bound is part of invariant config-monotonic.
const maxPropagation = 5 * time.Second

// Guards against an accepted change that, under one of the faults, is lost, applied
// twice, reverted or never applied on some host.
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
				// By now each host has sent a heartbeat, and no heartbeat or poll is due:
				// one that is due would race with the step.
				time.Sleep(PollInterval + 250*time.Millisecond)
				cell.run(c)
				c.stop()
			})
		})
	}
}

// The accepting host crashes after the commit, and the operator retries the change
// through another host.
func killWrite(c *cluster) {
	first := c.hosts[0]
	first.link.commitLosses = []loss{lossAllResponses}
	go func() { _, _ = first.apply(domains("a:out", "b:in"), Precondition{Version: 1}) }()
	synctest.Wait()
	first.kill()
	c.wantUnchanged(c.hosts[0], domains("a:out", "b:in"), 2)
}

// The accepting host crashes between commit and push.
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

// A host is paused while a change is distributed.
func pauseSpread(c *cluster) {
	gate := make(chan struct{})
	c.propagateWithFault(func(l *link) { l.gate = gate })
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

// A host can reach neither the table nor its peers while a change is distributed.
func cutSpread(c *cluster) {
	c.propagateWithFault(func(l *link) { l.delay = time.Hour })
	c.heal(c.hosts[2])
	c.wantInForce(c.hosts[0], 2)
}

// The commit reaches the table, but no response arrives until the write times out.
// The operator gets an error for an unknown result and retries the change.
func oneWayWrite(c *cluster) {
	first := c.hosts[0]
	first.link.commitLosses = []loss{lossAllResponses}
	if _, err := first.apply(domains("a:out", "b:in"), Precondition{Version: 1}); !errors.Is(err, httable.ErrResultUnknown) {
		c.t.Errorf("error = %v, want an unknown result", err)
	}
	c.heal(first)
	c.wantUnchanged(first, domains("a:out", "b:in"), 2)
}

// The accepting host cannot push to one host, but that host can reach the table.
func oneWaySpread(c *cluster) {
	c.setCut("host-0", "host-2", true)
	c.hosts[0].mustApply("a:out")
	if c.hosts[2].follower.Applied() != 1 || c.hosts[1].follower.Applied() != 2 {
		c.t.Error("the cut did not block the push to exactly one host")
	}
	c.wantInForce(c.hosts[1], 2)
}

// The table is down before one write, and after the first attempt of another.
func downWrite(c *cluster) {
	c.hosts[0].link.set(func(l *link) { l.down = true })
	if _, err := c.hosts[0].apply(domains("a:out"), Precondition{Any: true}); !errors.Is(err, httable.ErrUnavailable) {
		c.t.Errorf("error = %v", err)
	}
	c.heal(c.hosts[0])
	c.hosts[0].link.commitLosses = []loss{lossAllResponses}
	time.AfterFunc(2*time.Second, func() { c.heal(c.hosts[0]) })
	if revision := c.hosts[0].mustApply("a:out"); revision != 2 {
		c.t.Errorf("revision = %d, want 2", revision)
	}
	c.wantInForce(c.hosts[0], 2)
}

// The table goes down after a commit. A host that missed the push fetches the set
// from a peer.
func downSpread(c *cluster) {
	c.setCut("host-0", "host-2", true)
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

// A host that missed the push reads a table whose responses all arrive after the
// timeout.
func slowSpread(c *cluster) {
	c.setCut("host-0", "host-2", true)
	c.hosts[2].link.set(func(l *link) { l.delay = 1100 * time.Millisecond })
	c.hosts[0].mustApply("a:out")
	c.wantInForce(c.hosts[1], 2)
}

// The response to the first attempt is lost after the commit, the second request is
// lost before it, and the third commit is applied after its caller got an error.
func lostWrite(c *cluster) {
	c.hosts[0].link.commitLosses = []loss{lossResponse, lossRequest, lossLate}
	c.hosts[0].mustApply("a:out")
	c.hosts[0].mustApply("a:in")
	c.hosts[0].mustApply("a:out")
	c.wantInForce(c.hosts[0], 4)
}

// A host that missed the push cannot read the table.
func lostSpread(c *cluster) {
	c.setCut("host-0", "host-2", true)
	c.hosts[2].link.set(func(l *link) { l.responsesLost = true })
	c.hosts[0].mustApply("a:out")
	c.wantInForce(c.hosts[1], 2)
}

// Three operators concurrently change the same revision.
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
	accepted := 0
	for _, err := range errs {
		var conflict *ConflictError
		if err == nil {
			accepted++
		} else if !errors.As(err, &conflict) || conflict.Current != 2 {
			c.t.Errorf("error = %v, want a conflict at 2", err)
		}
	}
	if accepted != 1 {
		c.t.Errorf("%d changes were accepted, want 1", accepted)
	}
	c.wantInForce(c.hosts[0], 2)
}

// Operators concurrently change different resources through all hosts, and no
// accepted change is lost.
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

// propagateWithFault applies a change while host-2 has a fault and is isolated from
// its peers, and checks that the change does not count as in force.
func (c *cluster) propagateWithFault(fault func(*link)) {
	c.t.Helper()
	c.isolate(c.hosts[2])
	c.hosts[2].link.set(fault)
	c.hosts[0].mustApply("a:out", "b:in")
	time.Sleep(time.Minute)
	status := c.hosts[0].follower.RevisionStatus(2)
	if status.InForce || len(status.Behind) != 1 || status.Behind[0] != (HostRevision{"host-2", 1}) {
		c.t.Errorf("status = %+v, want host-2 behind at 1", status)
	}
}

// isolate cuts the network from h to all other hosts, so that no request from or to h
// gets a response.
func (c *cluster) isolate(h *host) {
	for _, o := range c.others(h.name) {
		c.setCut(h.name, o.name, true)
	}
}

// heal removes the network cuts around h and the faults of its link.
func (c *cluster) heal(h *host) {
	for _, o := range c.others(h.name) {
		c.setCut(h.name, o.name, false)
	}
	h.link.set(func(l *link) { l.down, l.delay, l.gate, l.responsesLost = false, 0, nil, false })
}

// wantInForce checks that every host has applied revision after maxPropagation.
func (c *cluster) wantInForce(h *host, revision uint64) {
	c.t.Helper()
	time.Sleep(maxPropagation)
	if s := h.follower.RevisionStatus(revision); !s.InForce {
		c.t.Errorf("status = %+v", s)
	}
	c.check(revision)
}

// wantUnchanged applies a set that was already accepted as revision, and checks that
// this changes nothing.
func (c *cluster) wantUnchanged(h *host, set *htresource.Set, revision uint64) {
	c.t.Helper()
	result, err := h.apply(set, Precondition{Version: revision - 1})
	if err != nil || result.Revision != revision || len(result.Changes) != 0 {
		c.t.Errorf("second apply = %+v, %v", result, err)
	}
	c.wantInForce(h, revision)
}
