package htlab

import (
	"errors"
	"fmt"
	"time"
)

// LoadSettings are the settings of one load.
type LoadSettings struct {
	Hosts           []string      // addresses of the entry hosts, IP:port
	Service         string        // value of the Host header field
	Path            string        // path of all requests
	Rate            float64       // calls per second
	Duration        time.Duration // time during which calls are sent
	Seed            uint64        // seed of the arrival schedule
	Lookups         int           // weight of lookups among the calls
	Bookings        int           // weight of bookings among the calls
	DuplicateShare  float64       // share of bookings, 0 to 1, that are sent twice through different hosts
	MaxDuplicateGap time.Duration // longest time between the two copies of a booking
	Timeout         time.Duration // time from sending a call to its deadline
	// Grace is the time for which the caller still waits after the deadline, so that
	// it receives a response that is sent at the deadline.
	Grace time.Duration
	// Settle is the time between the end of the last call and the reading of the
	// upstreams' records, because a request that was reported as not-run must not run
	// later either. Zero means Timeout.
	Settle    time.Duration
	Callers   int           // number of different callers
	BodyBytes int           // size of a booking's body
	Work      time.Duration // mean work time requested from the upstream; zero means the upstream's own
	Stream    time.Duration // time over which the upstream streams its response
	// ReadyEvery is the period at which /ready of each entry host is requested. Hosts
	// that do not respond with status 200 get no calls while another host is ready.
	// Zero means that all hosts get calls.
	ReadyEvery time.Duration
	// Upstreams are the addresses of the upstreams whose records are compared with the
	// responses.
	Upstreams []string
	// ProbesPerSec is the probe budget of each upstream in probes per second, against
	// which the records are checked. Zero means that it is not checked.
	ProbesPerSec float64
}

// Defaults of LoadSettings.
const (
	DefaultPath            = "/work"
	DefaultTimeout         = 2 * time.Second
	DefaultGrace           = time.Second
	DefaultMaxDuplicateGap = 20 * time.Millisecond
	DefaultCallers         = 8
)

func (s LoadSettings) withDefaults() LoadSettings {
	if s.Path == "" {
		s.Path = DefaultPath
	}
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
	if s.Grace == 0 {
		s.Grace = DefaultGrace
	}
	if s.Settle == 0 {
		s.Settle = s.Timeout
	}
	if s.MaxDuplicateGap == 0 {
		s.MaxDuplicateGap = DefaultMaxDuplicateGap
	}
	if s.Callers == 0 {
		s.Callers = DefaultCallers
	}
	if s.Lookups == 0 && s.Bookings == 0 {
		s.Lookups, s.Bookings = 4, 1
	}
	return s
}

// Validate returns an error if a value is missing or out of range.
func (s LoadSettings) Validate() error {
	switch {
	case len(s.Hosts) == 0:
		return errors.New("load: no entry hosts")
	case s.Rate <= 0:
		return fmt.Errorf("load: rate must be above 0, not %g", s.Rate)
	case s.Duration <= 0:
		return fmt.Errorf("load: duration must be above 0, not %s", s.Duration)
	case s.Lookups < 0 || s.Bookings < 0:
		return errors.New("load: weights must not be negative")
	case s.DuplicateShare < 0 || s.DuplicateShare > 1:
		return fmt.Errorf("load: share sent twice must be 0 to 1, not %g", s.DuplicateShare)
	case s.Callers < 0 || s.BodyBytes < 0:
		return errors.New("load: callers and body size must not be negative")
	case s.Timeout < 0 || s.Grace < 0 || s.Settle < 0 || s.MaxDuplicateGap < 0 || s.ReadyEvery < 0:
		return errors.New("load: times must not be negative")
	}
	return nil
}
