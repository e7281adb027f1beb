package htview

import (
	"errors"
	"time"
)

// Config holds the settings of a Manager. Zero durations take their defaults.
type Config struct {
	Self               Member
	LeaseRenewInterval time.Duration // interval between lease writes
	LeaseDuration      time.Duration // validity of a lease, counted from the time just before its write was sent
	TakeoverDelay      time.Duration // time without a change after which a lease row counts as expired
	HeartbeatInterval  time.Duration
	HoldDuration       time.Duration // time for which a host that gives a hold removes no member
	UnlistedTimeout    time.Duration // time without a host list entry after which a silent host counts as ended
}

// Durations and limits that are not configurable.
const (
	tableRequestTimeout = time.Second // of one table request; short enough that a renewal does not use up the lease
	peerRequestTimeout  = time.Second // of one renewal or release sent to a peer, and of the stop announcement
	// contactTimeout bounds the lease, unless holds extend it, after the last contact with
	// the table. A host without contact may miss that a failure domain is taken out, and
	// must send it no new work from 5 s after that. 4 s is within this limit.
	contactTimeout = 4 * time.Second
	// refusedConfirmation is how long a peer must refuse connections before it counts
	// as ended. Any table request that its process sent has an answer by then.
	refusedConfirmation = 2 * tableRequestTimeout
	// stateWaitTimeout is how long a new owner waits for the state of a shard whose
	// previous owner is running and has stopped serving it.
	stateWaitTimeout  = time.Second
	releaseRetryDelay = 100 * time.Millisecond
	releaseTimeout    = 5 * time.Second
	installInterval   = 100 * time.Millisecond // interval of the check for shards that can be installed
	hostListInterval  = 2 * time.Second        // interval between host list reads
	viewHistorySize   = 32                     // number of views kept to find the previous owners of a shard
	maxChangeAttempts = 8                      // attempts at a view change or a lease write before waiting for the next tick
)

// Errors of this package and of the interfaces that it uses.
var (
	// ErrConnectionRefused means that no process listens at a member's address.
	ErrConnectionRefused = errors.New("connection refused")
	// ErrNotMember means that the view does not contain the host and incarnation.
	ErrNotMember = errors.New("not a member of the view")
	// ErrStaleRenewal means that the lease row is newer than the requested write.
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

// tableContactTimeout returns the time without a table reply after which a host
// gives holds. It is little more than one renewal interval, because the holds must
// reach a peer before contactTimeout ends the peer's lease.
func (c Config) tableContactTimeout() time.Duration {
	return c.LeaseRenewInterval + c.LeaseRenewInterval/6
}
