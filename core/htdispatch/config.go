package htdispatch

import (
	"time"

	"hawthornturn/core/htresource"
)

// Config holds the settings of a Pool. Zero values are replaced by the defaults.
type Config struct {
	Shard               string        // shard name used in dumps and assertion messages
	ColdLimit           int           // maximum concurrent requests on a cold upstream; default 1
	QueueLimit          int           // maximum queued requests; default htresource.DefaultQueueLimit
	Burst               int           // maximum queued requests of each caller, and of each service, that get a turn in the order of arrival; a caller's turns go to its earliest deadlines; default: capacity, at least 8
	ProbesPerSec        float64       // probe budget per upstream; default htresource.DefaultProbesPerSec
	ProbeIdleTime       time.Duration // inactivity after which an idle upstream is probed; default 2 s
	ProbeTimeout        time.Duration // timeout after which a probe without a result counts as failed; default 1 s
	HoldGrace           time.Duration // time a held slot stays occupied after its deadline; default 5 ms
	CancelGrace         time.Duration // time within which an upstream ends a request after its connection was closed; default 250 ms
	ColdFactor          float64       // expected work time of a cold upstream as a multiple of the usual; default 5
	ColdThreshold       float64       // log-likelihood ratio at which a warm upstream is classified as cold; default 9
	WarmFactor          float64       // work time, as a multiple of the usual, that a cold upstream must stay clearly below; default 2
	WarmThreshold       float64       // log-likelihood ratio at which a cold upstream is classified as warm; default 1.5
	ColdRequestInterval time.Duration // an idle cold upstream becomes preferred for a request after this time; default 100 ms
	RefusalBackoff      time.Duration // initial backoff after the upstream refuses a request; doubles up to 1 s; default 20 ms
}

// minBurst is the lower bound of the default Config.Burst, which otherwise is the
// capacity. A caller can thus fill the slots of a shard once before other callers take
// precedence, so that callers with few requests wait for at most one of its work times.
const minBurst = 8

// maxRefusalBackoff bounds the backoff after consecutive refusals by an upstream.
const maxRefusalBackoff = time.Second

func (c Config) withDefaults() Config {
	setDefault(&c.ColdLimit, 1)
	setDefault(&c.QueueLimit, htresource.DefaultQueueLimit)
	setDefault(&c.ProbesPerSec, htresource.DefaultProbesPerSec)
	setDefault(&c.ProbeIdleTime, 2*time.Second)
	setDefault(&c.ProbeTimeout, time.Second)
	// The upstream measures its timeout from the arrival of the request, so its
	// deadline is later than the dispatcher's by the network latency.
	setDefault(&c.HoldGrace, 5*time.Millisecond)
	// Upstreams support cancellation. Without this bound, each request whose caller
	// disconnects would occupy a slot until its deadline.
	setDefault(&c.CancelGrace, 250*time.Millisecond)
	setDefault(&c.ColdFactor, 5)
	setDefault(&c.ColdThreshold, 9)
	setDefault(&c.WarmFactor, 2)
	setDefault(&c.WarmThreshold, 1.5)
	setDefault(&c.ColdRequestInterval, 100*time.Millisecond)
	setDefault(&c.RefusalBackoff, 20*time.Millisecond)
	return c
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}
