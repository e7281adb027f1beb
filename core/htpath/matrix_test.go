package htpath

import (
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htdispatch"
	"hawthornturn/core/htresource"
)

// pathSteps are the steps of a call at which faults are injected.
var pathSteps = []step{stepAccept, stepQueue, stepForward, stepSend, stepAwait, stepAnswerBack}

// pathFault is a fault that is injected once at a step, on the host that performs it.
type pathFault struct {
	name string
	// inject causes the fault; its error fails the step.
	inject func(c *cluster, h *entryHost, s step) error
	// impossible returns why the fault cannot occur at a step, or an empty string if it
	// can.
	impossible func(s step) string
}

func alwaysPossible(step) string { return "" }

func noTableAccess(step) string {
	return "a call makes no request to the table service or the host list"
}

func onlyAtUpstream(s step) string {
	if s == stepAccept || s == stepForward || s == stepAnswerBack {
		return "the call is not at an upstream in this step"
	}
	return ""
}

func onlyBeforeStart(s step) string {
	if s == stepAwait {
		return "an upstream that has started the request no longer refuses it"
	}
	return onlyAtUpstream(s)
}

// injectAtUpstream injects a fault at an upstream: at stepAwait into the current call,
// at other steps into the next request that an upstream gets.
func injectAtUpstream(c *cluster, s step, reply *UpstreamAnswer, err error, delay time.Duration) error {
	if s != stepAwait {
		overrideOnce(c, reply, err, delay)
		return nil
	}
	time.Sleep(delay)
	return err
}

// overrideOnce replaces the next answer of an upstream after a delay. If reply and err
// are nil, it only delays the answer.
func overrideOnce(c *cluster, reply *UpstreamAnswer, err error, delay time.Duration) {
	var once atomic.Bool
	c.upstreams.setOverride(func(htresource.Upstream, *Call) (*UpstreamAnswer, error) {
		if !once.CompareAndSwap(false, true) {
			return nil, nil
		}
		time.Sleep(delay)
		return reply, err
	})
}

func refusedAnswer(state htdispatch.UpstreamState) *UpstreamAnswer {
	return &UpstreamAnswer{Refused: true, Body: io.NopCloser(strings.NewReader("")), Report: htdispatch.Report{State: state, Slots: 2}}
}

var pathFaults = []pathFault{
	{"kill", func(c *cluster, h *entryHost, s step) error {
		h.kill()
		go c.takeOver(h)
		if s == stepForward || s == stepSend {
			return fmt.Errorf("%w: host killed", ErrNotSent)
		}
		return io.ErrUnexpectedEOF
	}, alwaysPossible},
	{"pause-past-lease", func(c *cluster, h *entryHost, _ step) error {
		go c.takeOver(h)
		time.Sleep(testTakeover + time.Second)
		return nil
	}, alwaysPossible},
	{"cut-both-ways", func(c *cluster, h *entryHost, _ step) error {
		c.mu.Lock()
		h.isolated = true
		c.mu.Unlock()
		go c.takeOver(h)
		return nil
	}, alwaysPossible},
	{"cut-one-way", func(*cluster, *entryHost, step) error {
		time.Sleep(testSilence)
		return ErrSilent
	}, func(s step) string {
		if s == stepAccept || s == stepQueue {
			return "no message is in transit in this step"
		}
		return ""
	}},
	{"silent-connections", func(c *cluster, _ *entryHost, s step) error {
		return injectAtUpstream(c, s, nil, ErrSilent, testSilence)
	}, onlyAtUpstream},
	{"table-down", nil, noTableAccess},
	{"table-slow", nil, noTableAccess},
	{"table-answer-lost", nil, noTableAccess},
	{"host-list-late", nil, noTableAccess},
	{"host-list-wrong", nil, noTableAccess},
	{"upstream-slow", func(c *cluster, _ *entryHost, s step) error {
		return injectAtUpstream(c, s, nil, nil, 10*testWork)
	}, onlyAtUpstream},
	{"upstream-cold", func(c *cluster, _ *entryHost, s step) error {
		return injectAtUpstream(c, s, refusedAnswer(htdispatch.StateCold), nil, 0)
	}, onlyBeforeStart},
	{"upstream-draining", func(c *cluster, _ *entryHost, s step) error {
		return injectAtUpstream(c, s, refusedAnswer(htdispatch.StateDraining), nil, 0)
	}, onlyBeforeStart},
	{"upstream-shedding", func(c *cluster, _ *entryHost, s step) error {
		return injectAtUpstream(c, s, refusedAnswer(htdispatch.StateWarm), nil, 0)
	}, onlyBeforeStart},
	{"upstream-crash", func(c *cluster, _ *entryHost, s step) error {
		return injectAtUpstream(c, s, nil, io.ErrUnexpectedEOF, 0)
	}, onlyAtUpstream},
	{"operators-racing", func(c *cluster, _ *entryHost, _ step) error {
		c.declare(func(s *htresource.Set) { s.Domains[0].State = htresource.DomainOut })
		c.declare(func(s *htresource.Set) { s.Domains[0].State = htresource.DomainIn })
		return nil
	}, alwaysPossible},
}

// TestFaultMatrix injects every fault at every step of a call and checks the
// invariants: a keyed request runs at most once, a request that was answered with
// not-run did not run, and an answer belongs to its request.
func TestFaultMatrix(t *testing.T) {
	for _, fault := range pathFaults {
		for _, s := range pathSteps {
			t.Run(fault.name+"/"+string(s), func(t *testing.T) {
				if why := fault.impossible(s); why != "" {
					t.Log("cannot occur:", why)
					return
				}
				withCluster(t, func(t *testing.T, c *cluster) { injectOnce(t, c, fault, s) })
			})
		}
	}
}

// injectOnce sends a keyed request and copies of it through all hosts while a fault is
// injected once at a step.
func injectOnce(t *testing.T, c *cluster, fault pathFault, s step) {
	var injected atomic.Bool
	trigger := s
	if s == stepQueue {
		trigger = stepAccept
		occupySlots(c)
	}
	c.setHook(func(at step, h *entryHost, call *Call) error {
		if at != trigger || call.Meta.URI != "/book" || !injected.CompareAndSwap(false, true) {
			return nil
		}
		if s == stepQueue {
			// The call is queued because all slots are occupied.
			go func() {
				time.Sleep(testWork / 4)
				_ = fault.inject(c, h, s)
			}()
			return nil
		}
		return fault.inject(c, h, s)
	})
	key := c.newKey()
	var all []callResult
	for _, host := range []string{"host-0", "host-1", "host-2", "host-0"} {
		all = append(all, c.sendCall(host, "/book", key, time.Second))
	}
	waitForIdle()
	for _, host := range []string{"host-1", "host-2"} {
		all = append(all, c.sendCall(host, "/book", key, time.Second))
	}
	if !injected.Load() {
		t.Fatal("the call did not reach this step")
	}
	checkKey(t, c, all)
	checkService(t, c)
}

// occupySlots occupies every slot for a short time, so that the next call is queued.
func occupySlots(c *cluster) {
	for i := range 8 {
		go c.sendCall(fmt.Sprintf("host-%d", i%3), fmt.Sprintf("/filler/%d", i), "", time.Second)
	}
	time.Sleep(testWork / 4)
}

// checkKey compares the outcomes that callers got with the requests that ran.
func checkKey(t *testing.T, c *cluster, all []callResult) {
	t.Helper()
	runs := c.upstreams.count("/book")
	if runs > 1 {
		t.Errorf("the key ran %d times: %+v", runs, all)
	}
	for _, got := range all {
		if got.outcome == htcall.NotRun && runs > 0 {
			t.Errorf("outcome not-run, but the request ran: %+v", all)
		}
		if got.body != "" && got.body != "answer to /book" {
			t.Errorf("answer of another request: %+v", got)
		}
	}
	if highest := c.upstreams.highest; highest > 2 {
		t.Errorf("%d in flight on an upstream with 2 slots", highest)
	}
}

// checkService checks that a lookup through every host is answered after the fault.
func checkService(t *testing.T, c *cluster) {
	t.Helper()
	c.setHook(func(step, *entryHost, *Call) error { return nil })
	for _, m := range c.view.Members {
		if got := c.sendCall(m.Host, "/after", "", 2*time.Second); got.outcome != htcall.Done {
			t.Errorf("lookup through %s after the fault: %+v", m.Host, got)
		}
	}
}
