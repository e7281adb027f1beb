package htgroup

import "time"

const (
	// MinHeartbeatInterval is the shortest time between the heartbeats that a host sends
	// through the hub. It applies to a host with a role, and in a small group to every host.
	MinHeartbeatInterval = 500 * time.Millisecond
	// maxHeartbeatInterval bounds the time between heartbeats, so that the loss of a host is
	// detected within three quarters of a minute. At the design size of 407 hosts in 18
	// failure domains, the hubs use half of heartbeatRate and the other hosts send a
	// heartbeat every 13 s.
	maxHeartbeatInterval = 15 * time.Second
	// HeartbeatSize is the number of bytes that one heartbeat adds to the datagrams that a
	// host receives.
	HeartbeatSize = 56
	// heartbeatRate bounds the heartbeats that a host receives, in bytes per second. Control
	// traffic may use 4 KB/s, and the rest is left to changes. The hub of a failure domain
	// sends at this rate to each host there.
	heartbeatRate = 3840
	// minNonRoleShare is the share of heartbeatRate that is reserved for hosts without a role,
	// regardless of the number of hubs.
	minNonRoleShare = 0.25
	// missedHeartbeats is the number of consecutive heartbeats after whose loss a host counts
	// as silent. heartbeatMargin is added for the delay of the path through the hubs.
	missedHeartbeats = 3
	heartbeatMargin  = 100 * time.Millisecond
)

// HeartbeatInterval returns the time between the heartbeats that this host sends to all
// others. For a hub or a reader of the store it is MinHeartbeatInterval, because their loss
// must be detected soon. Of the other hosts only the number matters, so their interval grows
// with it: every heartbeat reaches every host.
func (g *Group) HeartbeatInterval(now time.Time) time.Duration {
	hub, remote := g.Hubs(now)
	if hub.Address == g.self.Address || within(now, g.peers[g.self.Address].lastStoreResponse, ReaderTimeout) {
		return MinHeartbeatInterval
	}
	roles := 1 + len(remote) + readers
	remainingRate := max(heartbeatRate-float64(roles)*HeartbeatSize/MinHeartbeatInterval.Seconds(), minNonRoleShare*heartbeatRate)
	seconds := float64(g.Size(now)-roles) * HeartbeatSize / remainingRate
	interval := time.Duration(seconds * float64(time.Second))
	// Heartbeats are sent at multiples of the shortest interval.
	return min(max(interval.Truncate(MinHeartbeatInterval)+MinHeartbeatInterval, MinHeartbeatInterval), maxHeartbeatInterval)
}

// timeoutFor returns the time without a message after which a host counts as silent. The
// parameter untilNext is the time until its next heartbeat, or 0 for MinHeartbeatInterval.
func timeoutFor(untilNext time.Duration) time.Duration {
	return missedHeartbeats*min(max(untilNext, MinHeartbeatInterval), maxHeartbeatInterval) + heartbeatMargin
}
