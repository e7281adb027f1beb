package htselect

import (
	"time"
)

// slowFactor is the factor of the expected work time above which an answer counts as a
// fault of the upstream.
const slowFactor = 3.0

// minRemainingShare is the least fraction of the work that a call is assumed to have left,
// however long it has run, since work times vary.
const minRemainingShare = 0.25

// Sent records that a call is sent to the chosen upstream.
func (s *Selector) Sent(now time.Time, c *Choice) {
	c.state.inFlight++
	c.state.countSplitSend(now, c)
	if c.state.cold(now) {
		c.state.coldSent = now
	}
}

// Ended records that the call is no longer at the upstream, whatever its result.
func (s *Selector) Ended(c *Choice) {
	c.state.inFlight--
	c.state.endSplitSend(c)
}

// Remaining returns the expected time until the answer to a call that was sent at a time,
// by the current report of the upstream.
func (s *Selector) Remaining(now time.Time, c *Choice, sent time.Time) time.Duration {
	done := float64(now.Sub(sent)) / max(1, float64(c.Expected))
	work := max(1-done, minRemainingShare) * float64(c.Work)
	return time.Duration(work * c.state.workTimeFactor(now))
}

// Down reports whether the chosen upstream is down by its newest report.
func (s *Selector) Down(c *Choice) bool { return c.state.report.Down }

// Answered records the work time and the size of an answer. It returns the fault that this
// indicates, with weight 0 if there is none.
func (s *Selector) Answered(c *Choice, took time.Duration, bytes int) Fault {
	expected := float64(max(c.Expected, c.Work))
	if c.Busy {
		c.state.service.addBusySample(float64(took) / max(1, float64(c.Work)*c.WorkTimeFactor))
	} else {
		c.route.work.add(took, max(c.WorkTimeFactor, float64(c.Expected)/max(1, float64(c.Work))), bytes)
	}
	if float64(took) > slowFactor*expected {
		return Fault{Upstream: c.state.ref, Weight: FaultSlow}
	}
	return Fault{Upstream: c.state.ref}
}

// CallRefused records that the upstream refused the call without starting it.
func (s *Selector) CallRefused(now time.Time, c *Choice) { c.state.avoidUntil = now.Add(refusalPause) }

// Misdirected records that another upstream answers at the address. The upstream gets no
// more calls until it is announced again.
func (s *Selector) Misdirected(c *Choice) { c.state.addressReused = true }
