package htgroup

import "time"

const (
	// HeartbeatInterval is the time between the beats of a host with a duty, by way of the hub, and
	// of every host while they are few.
	HeartbeatInterval = 500 * time.Millisecond
	// maxBeatPeriod bounds the time between beats, so that a lost host is noticed within
	// three quarters of a minute. At the size to design for, 407 hosts in 18 failure
	// domains, the hubs take half of beatRate and the others beat every 13 s.
	maxBeatPeriod = 15 * time.Second
	// HeartbeatSize is what one beat adds to the datagrams that a host receives, in bytes.
	HeartbeatSize = 56
	// beatRate bounds what a host receives in beats, in bytes a second. Control may take
	// 4 KB/s; the rest is left to news. The hub of a failure domain sends as much to each
	// host there.
	beatRate = 3840
	// leastRest is the share of beatRate that is left to hosts without a duty, however many
	// hubs there are.
	leastRest = 0.25
	// missedBeats is how many beats may be lost until a host counts as silent, with a margin
	// of beatMargin for the way through the hubs.
	missedBeats = 3
	beatMargin  = 100 * time.Millisecond
)

// HeartbeatInterval returns the time between the beats that this host sends to all others. Hubs and
// readers of the store are to be missed soon. Of the others only the number matters, so that
// they beat less often where they are many: all beats reach every host.
func (g *Group) HeartbeatInterval(now time.Time) time.Duration {
	hub, far := g.Hubs(now)
	if hub.Address == g.self.Address || recent(now, g.peers[g.self.Address].storeSeen, ReaderTimeout) {
		return HeartbeatInterval
	}
	duties := 1 + len(far) + readers
	rest := max(beatRate-float64(duties)*HeartbeatSize/HeartbeatInterval.Seconds(), leastRest*beatRate)
	seconds := float64(g.Size(now)-duties) * HeartbeatSize / rest
	period := time.Duration(seconds * float64(time.Second))
	// Beats come at multiples of the shortest period.
	return min(max(period.Truncate(HeartbeatInterval)+HeartbeatInterval, HeartbeatInterval), maxBeatPeriod)
}

// silenceLimit returns how long a host may be silent that said when its next beat comes.
func silenceLimit(next time.Duration) time.Duration {
	return missedBeats*min(max(next, HeartbeatInterval), maxBeatPeriod) + beatMargin
}
