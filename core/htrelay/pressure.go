package htrelay

const (
	// pressureWeight is the weight of the newest call in the share of calls that had to
	// wait. Ten calls take about a second on a host of the users' sites.
	pressureWeight = 0.1
	// overloadPressure is the share from which a service counts as overloaded.
	overloadPressure = 0.5
)

// entered takes in whether a call had to wait for an upstream.
func (q *queue) entered(waits bool) {
	q.pressure *= 1 - pressureWeight
	if waits {
		q.pressure += pressureWeight
	}
}

// overloaded reports whether the calls that can still be on time need all upstreams. It
// answers the load of a burst while upstreams are lost: hosts don't know of each other's
// waiting calls, and a late call on one would take the place of one on another that can be
// on time. Late calls then wait until the pressure falls or they are refused.
func (q *queue) overloaded() bool { return q.pressure >= overloadPressure }
