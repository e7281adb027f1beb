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

// pathSteps are the steps of a call that this package takes.
var pathSteps = []step{stepAccept, stepQueue, stepForward, stepSend, stepAwait, stepAnswerBack}

// pathFault is a fault that is injected once at a step on the host that takes it.
type pathFault struct {
	name string
	// strike causes the fault; its error fails the step.
	strike func(w *world, n *node, s step) error
	// never says why the fault can't occur at a step; empty if it can.
	never func(s step) string
}

func possible(step) string { return "" }

func noTable(step) string { return "a call makes no request to the table service or the host list" }

func upstreamOnly(s step) string {
	if s == stepAccept || s == stepForward || s == stepAnswerBack {
		return "the call is not at an upstream in this step"
	}
	return ""
}

func beforeStart(s step) string {
	if s == stepAwait {
		return "an upstream that has started the request no longer refuses it"
	}
	return upstreamOnly(s)
}

// atUpstream makes an upstream misbehave: while it works on the call, or else with
// the next request that it gets.
func atUpstream(w *world, s step, reply *UpstreamAnswer, err error, delay time.Duration) error {
	if s != stepAwait {
		behaveOnce(w, reply, err, delay)
		return nil
	}
	time.Sleep(delay)
	return err
}

// behaveOnce replaces the next answer of an upstream.
func behaveOnce(w *world, reply *UpstreamAnswer, err error, delay time.Duration) {
	var once atomic.Bool
	w.ups.setBehave(func(htresource.Upstream, *Call) (*UpstreamAnswer, error) {
		if !once.CompareAndSwap(false, true) {
			return nil, nil
		}
		time.Sleep(delay)
		return reply, err
	})
}

func refusedReply(state htdispatch.UpstreamState) *UpstreamAnswer {
	return &UpstreamAnswer{Refused: true, Body: io.NopCloser(strings.NewReader("")), Report: htdispatch.Report{State: state, Slots: 2}}
}

var pathFaults = []pathFault{
	{"kill", func(w *world, n *node, s step) error {
		n.kill()
		go w.takeOver(n)
		if s == stepForward || s == stepSend {
			return fmt.Errorf("%w: host killed", ErrNotSent)
		}
		return io.ErrUnexpectedEOF
	}, possible},
	{"pause-past-lease", func(w *world, n *node, _ step) error {
		go w.takeOver(n)
		time.Sleep(testTakeover + time.Second)
		return nil
	}, possible},
	{"cut-both-ways", func(w *world, n *node, _ step) error {
		w.mu.Lock()
		n.cutOff = true
		w.mu.Unlock()
		go w.takeOver(n)
		return nil
	}, possible},
	{"cut-one-way", func(*world, *node, step) error {
		time.Sleep(testSilence)
		return ErrSilent
	}, func(s step) string {
		if s == stepAccept || s == stepQueue {
			return "no message is under way in this step"
		}
		return ""
	}},
	{"silent-connections", func(w *world, _ *node, s step) error {
		return atUpstream(w, s, nil, ErrSilent, testSilence)
	}, upstreamOnly},
	{"table-down", nil, noTable},
	{"table-slow", nil, noTable},
	{"table-answer-lost", nil, noTable},
	{"host-list-late", nil, noTable},
	{"host-list-wrong", nil, noTable},
	{"upstream-slow", func(w *world, _ *node, s step) error {
		return atUpstream(w, s, nil, nil, 10*testWork)
	}, upstreamOnly},
	{"upstream-cold", func(w *world, _ *node, s step) error {
		return atUpstream(w, s, refusedReply(htdispatch.StateCold), nil, 0)
	}, beforeStart},
	{"upstream-draining", func(w *world, _ *node, s step) error {
		return atUpstream(w, s, refusedReply(htdispatch.StateDraining), nil, 0)
	}, beforeStart},
	{"upstream-shedding", func(w *world, _ *node, s step) error {
		return atUpstream(w, s, refusedReply(htdispatch.StateWarm), nil, 0)
	}, beforeStart},
	{"upstream-crash", func(w *world, _ *node, s step) error {
		return atUpstream(w, s, nil, io.ErrUnexpectedEOF, 0)
	}, upstreamOnly},
	{"operators-racing", func(w *world, _ *node, _ step) error {
		w.declare(func(s *htresource.Set) { s.Domains[0].State = htresource.DomainOut })
		w.declare(func(s *htresource.Set) { s.Domains[0].State = htresource.DomainIn })
		return nil
	}, possible},
}

// TestFaultMatrix injects every fault at every step of a call and checks what must
// hold whatever happens: a keyed request runs at most once, a caller that is told
// not-run can rely on it, and an answer belongs to its request.
func TestFaultMatrix(t *testing.T) {
	for _, fault := range pathFaults {
		for _, s := range pathSteps {
			t.Run(fault.name+"/"+string(s), func(t *testing.T) {
				if why := fault.never(s); why != "" {
					t.Log("can't occur:", why)
					return
				}
				inWorld(t, func(t *testing.T, w *world) { strikeOnce(t, w, fault, s) })
			})
		}
	}
}

// strikeOnce sends a keyed request and copies of it through all hosts while a fault
// strikes once at a step.
func strikeOnce(t *testing.T, w *world, fault pathFault, s step) {
	var struck atomic.Bool
	trigger := s
	if s == stepQueue {
		trigger = stepAccept
		occupySlots(w)
	}
	w.setHook(func(at step, n *node, call *Call) error {
		if at != trigger || call.Meta.URI != "/book" || !struck.CompareAndSwap(false, true) {
			return nil
		}
		if s == stepQueue {
			// The call enters the queue behind the occupied slots.
			go func() {
				time.Sleep(testWork / 4)
				_ = fault.strike(w, n, s)
			}()
			return nil
		}
		return fault.strike(w, n, s)
	})
	key := w.newKey()
	var all []told
	for _, host := range []string{"host-0", "host-1", "host-2", "host-0"} {
		all = append(all, w.enter(host, "/book", key, time.Second))
	}
	settle()
	for _, host := range []string{"host-1", "host-2"} {
		all = append(all, w.enter(host, "/book", key, time.Second))
	}
	if !struck.Load() {
		t.Fatal("the call did not take this step")
	}
	checkKey(t, w, all)
	checkService(t, w)
}

// occupySlots fills every slot for a while, so that the next call queues.
func occupySlots(w *world) {
	for i := range 8 {
		go w.enter(fmt.Sprintf("host-%d", i%3), fmt.Sprintf("/filler/%d", i), "", time.Second)
	}
	time.Sleep(testWork / 4)
}

// checkKey checks what callers were told against what ran.
func checkKey(t *testing.T, w *world, all []told) {
	t.Helper()
	runs := w.ups.count("/book")
	if runs > 1 {
		t.Errorf("the key ran %d times: %+v", runs, all)
	}
	for _, got := range all {
		if got.outcome == htcall.NotRun && runs > 0 {
			t.Errorf("told not-run, but the request ran: %+v", all)
		}
		if got.body != "" && got.body != "answer to /book" {
			t.Errorf("answer of another request: %+v", got)
		}
	}
	if highest := w.ups.highest; highest > 2 {
		t.Errorf("%d in flight on an upstream of 2 slots", highest)
	}
}

// checkService checks that a lookup is answered after the fault.
func checkService(t *testing.T, w *world) {
	t.Helper()
	w.setHook(func(step, *node, *Call) error { return nil })
	for _, m := range w.view.Members {
		if got := w.enter(m.Host, "/after", "", 2*time.Second); got.outcome != htcall.Done {
			t.Errorf("lookup through %s after the fault: %+v", m.Host, got)
		}
	}
}
