package htview

import (
	"errors"
	"time"
)

// Config holds the settings of a Manager. Zero durations take their defaults.
type Config struct {
	Self               Member
	LeaseRenewInterval time.Duration // period of lease writes
	LeaseDuration      time.Duration // a lease is valid this long after the moment before its write
	TakeoverDelay      time.Duration // an unchanged lease row is taken as lapsed after this
	HeartbeatInterval  time.Duration
	HoldDuration       time.Duration // how long a hold binds its giver
	UnlistedTimeout    time.Duration // a host that the host list has not named for this long is gone
}

// Fixed durations.
const (
	tableTimeout = time.Second     // of one table request; a renewal must not use up the lease
	renewTimeout = time.Second     // of one renewal through a peer
	contactLimit = 4 * time.Second // a host out of contact for longer may miss a failure domain being taken out (5 s)
	// refusedSettle is how long a peer must refuse connections before it counts as
	// gone: a table request that it sent before its end is answered by then.
	refusedSettle = 2 * tableTimeout
	// releaseWait is how long a new owner waits for the state of a shard whose
	// previous owner is alive and has stopped serving it.
	releaseWait  = time.Second
	releaseRetry = 100 * time.Millisecond
	releaseLimit = 5 * time.Second
	installEvery = 100 * time.Millisecond // period of the check for shards that became free
	listEvery    = 2 * time.Second        // period of host list reads
	historySize  = 32                     // views kept to find the previous owners of a shard
	changeTries  = 8                      // attempts at a view change before waiting for the next tick
)

// Errors of this package and of its ports.
var (
	// ErrConnectionRefused means that no process listens at a member's address.
	ErrConnectionRefused = errors.New("connection refused")
	// ErrNotMember means that the view does not contain the host and incarnation.
	ErrNotMember = errors.New("not a member of the view")
	// ErrStaleRenewal means that the lease row is newer than the write asked for.
	ErrStaleRenewal = errors.New("lease row is newer")
	// ErrNotOwner means that a released shard has another owner in a newer view.
	ErrNotOwner = errors.New("shard has another owner")
)

func (c Config) withDefaults() Config {
	setDefault(&c.LeaseRenewInterval, 1500*time.Millisecond)
	setDefault(&c.LeaseDuration, 5*time.Second)
	setDefault(&c.TakeoverDelay, 7*time.Second)
	setDefault(&c.HeartbeatInterval, 500*time.Millisecond)
	setDefault(&c.HoldDuration, 5*time.Second)
	setDefault(&c.UnlistedTimeout, time.Minute)
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// holdAfter is the time without table contact from which a host gives holds. It
// is little more than one renewal period: the holds must reach a peer before
// contactLimit ends its lease.
func (c Config) holdAfter() time.Duration {
	return c.LeaseRenewInterval + c.LeaseRenewInterval/6
}
