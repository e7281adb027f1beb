package htrelay

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"
)

// fleetHosts defaults to three upstreams per host, as on the platform after its
// growth. A single host knows of all calls, so the value that it reaches is an upper bound
// for several hosts, which don't know of each other's calls.
var fleetHosts = flag.Int("fleet.hosts", 12, "hosts of the fleet under load")

// Guards against using the upstreams worse than the users require. An answer on time has
// the value 1, a late one 0.1 and a refusal 0. The mean value per call over all hosts must
// be at least 0.95 on quiet days, 0.85 on heavy ones, and in overload 0.85 divided by the
// load, that is 0.85 of what the upstreams can answer. No caller may wait past its timeout.
func TestFleetUnderLoad(t *testing.T) {
	const (
		late   = 0.1 // value of a late answer
		quiet  = 0.95
		heavy  = 0.85
		margin = 50 * time.Millisecond // for the last recheck of a waiting call
	)
	tests := []struct {
		name       string
		load       float64 // as a fraction of the capacity
		idempotent bool    // false in the cases with the suffix "once", whose calls may run only once
		lasts      time.Duration
		minValue   float64 // least mean value per call
	}{
		{"quiet", 0.3, true, 20 * time.Second, quiet},
		{"nine tenths", 0.9, true, 5 * time.Second, heavy},
		{"one and a half times", 1.5, true, 3 * time.Second, heavy / 1.5},
		{"twice", 2, true, 3 * time.Second, heavy / 2},
		{"quiet, once", 0.3, false, 20 * time.Second, quiet},
		{"nine tenths, once", 0.9, false, 5 * time.Second, heavy},
		{"one and a half times, once", 1.5, false, 3 * time.Second, heavy / 1.5},
		{"twice, once", 2, false, 3 * time.Second, heavy / 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				got, f := runFleet(t, *fleetHosts, tt.load, tt.idempotent, tt.lasts)
				total := float64(got.onTime + got.late + got.refused)
				share := (float64(got.onTime) + late*float64(got.late)) / total
				t.Logf("%.3f earned: %.3f on time, %.3f late, %.3f refused of %.0f; %d probes; slowest refusal after %v",
					share, float64(got.onTime)/total, float64(got.late)/total, float64(got.refused)/total, total, f.sentProbes(), got.slowestRefusal)
				if share < tt.minValue {
					t.Errorf("%.3f earned, want %.3f", share, tt.minValue)
				}
				if slowest := max(got.slowest, got.slowestRefusal); slowest > fleetTimeout+margin {
					t.Errorf("a caller waited %v with a timeout of %v", slowest, fleetTimeout)
				}
			})
		})
	}
}
