package htselect

import (
	"time"
)

// slowFactor is how many times the expected work time an answer may take before it
// counts against the upstream.
const slowFactor = 3.0

// minRemaining is the share of the work that a call is assumed to have left, however
// long it has run: work times vary.
const minRemaining = 0.25

// Sent says that a call is being sent to the chosen upstream.
func (s *Selector) Sent(now time.Time, c *Choice) {
	c.state.inFlight++
	if c.state.cold(now) {
		c.state.coldSent = now
	}
}

// Ended says that the call is no longer at the upstream, whatever came of it.
func (s *Selector) Ended(c *Choice) {
	c.state.inFlight--
}

// Remaining returns the expected time until the answer of a call that was sent a while
// ago, from what is known of the upstream now.
func (s *Selector) Remaining(now time.Time, c *Choice, sent time.Time) time.Duration {
	done := float64(now.Sub(sent)) / max(1, float64(c.Expected))
	work := max(1-done, minRemaining) * float64(c.Work)
	return time.Duration(work * c.state.speed(now))
}

// Down reports whether the chosen upstream accepts no connection any more.
func (s *Selector) Down(c *Choice) bool { return c.state.report.Down }

// Answered says how long the upstream worked on a call and how long the answer is. It
// returns the fault that this shows, of weight 0 if there is none.
func (s *Selector) Answered(c *Choice, took time.Duration, bytes int) Fault {
	expected := float64(max(c.Expected, c.Work))
	if c.Busy {
		c.state.service.crowd(float64(took) / max(1, float64(c.Work)*c.WorkTimeFactor))
	} else {
		c.route.work.add(took, max(c.WorkTimeFactor, float64(c.Expected)/max(1, float64(c.Work))), bytes)
	}
	if float64(took) > slowFactor*expected {
		return Fault{Upstream: c.state.ref, Weight: FaultSlow}
	}
	return Fault{Upstream: c.state.ref}
}

// CallRefused says that the upstream refused the call unstarted.
func (s *Selector) CallRefused(now time.Time, c *Choice) { c.state.avoid = now.Add(refusalPause) }

// AddressReused says that another upstream answers at the address. The upstream gets no
// more calls until it is announced anew.
func (s *Selector) AddressReused(c *Choice) { c.state.misplaced = true }
