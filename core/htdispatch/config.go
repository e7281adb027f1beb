package htdispatch

import (
	"time"

	"hawthornturn/core/htresource"
)

// Config holds the settings of a Pool. Zero values get the defaults.
type Config struct {
	Shard               string        // name of the shard, for dumps and assertions
	ColdLimit           int           // requests at once that a cold upstream bears; default 1
	QueueLimit          int           // waiting requests; default htresource.DefaultQueueLimit
	Burst               int           // requests of a caller, and of a service, that wait in order of arrival; default: capacity, at least 8
	ProbesPerSec        float64       // probe budget of each upstream; default htresource.DefaultProbesPerSec
	ProbeIdleTime       time.Duration // silence after which an idle upstream is probed; default 2 s
	ProbeTimeout        time.Duration // time after which a probe without a result has failed; default 1 s
	HoldGrace           time.Duration // time a held slot stays taken after its deadline; default 5 ms
	CancelGrace         time.Duration // time in which an upstream ends a request after its connection was closed; default 250 ms
	ColdFactor          float64       // work time of a cold upstream in units of the usual; default 5
	ColdThreshold       float64       // log-likelihood at which an upstream is taken to be cold; default 9
	WarmFactor          float64       // work time that a cold upstream must stay clearly below, in units of the usual; default 2
	WarmThreshold       float64       // log-likelihood at which a cold upstream is taken to be warm; default 1.5
	ColdRequestInterval time.Duration // a cold upstream gets a request at least this often; default 100 ms
	RefusalBackoff      time.Duration // first pause after a refusal by the upstream; doubles up to 1 s; default 20 ms
}

// minBurst is the default of Config.Burst in small shards. A caller may fill the
// slots of a shard once before others go first, so that quiet callers wait for one
// work time of it at most.
const minBurst = 8

// maxRefusedPause bounds the pause after refusals in a row.
const maxRefusedPause = time.Second

func (c Config) withDefaults() Config {
	setDefault(&c.ColdLimit, 1)
	setDefault(&c.QueueLimit, htresource.DefaultQueueLimit)
	setDefault(&c.ProbesPerSec, htresource.DefaultProbesPerSec)
	setDefault(&c.ProbeIdleTime, 2*time.Second)
	setDefault(&c.ProbeTimeout, time.Second)
	// The upstream counts its deadline from the arrival of the request, so it ends
	// later than the dispatcher's by the time on the network.
	setDefault(&c.HoldGrace, 5*time.Millisecond)
	// Upstreams accept cancellation. Without this bound, each caller that leaves
	// would take a slot out of service until its deadline.
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
