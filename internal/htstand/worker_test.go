package htstand

import (
	"testing"
	"time"
)

func newTestWorker(s UpstreamSettings, now time.Time) *worker {
	return newWorker(s.withDefaults(), now)
}

// Guards against an upstream that refuses too few requests or does not record that it was
// overloaded.
func TestWorkerRecordsOverload(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name     string
		settings UpstreamSettings
		faults   UpstreamFaults
		arrivals int
		want     Record
	}{
		{"within slots", UpstreamSettings{Slots: 2}, UpstreamFaults{}, 2, Record{MaxInFlight: 2}},
		{"above slots", UpstreamSettings{Slots: 2}, UpstreamFaults{}, 3, Record{MaxInFlight: 3, OverSlots: 1}},
		{"hard limit", UpstreamSettings{Slots: 2, HardLimit: 3}, UpstreamFaults{}, 5, Record{MaxInFlight: 3, OverSlots: 1, Refused: 2}},
		{"cold", UpstreamSettings{Slots: 3, ColdLimit: 1, ColdDuration: time.Hour}, UpstreamFaults{}, 3, Record{MaxInFlight: 3, MaxInFlightCold: 3, OverColdLimit: 2}},
		{"cold and hidden", UpstreamSettings{Slots: 3, ColdDuration: time.Hour}, UpstreamFaults{HideCold: true}, 2, Record{MaxInFlight: 2, MaxInFlightCold: 2, OverColdLimit: 1}},
		{"draining", UpstreamSettings{}, UpstreamFaults{Draining: true}, 2, Record{Refused: 2, ReceivedDraining: 2, LatestDrainingMS: 4}},
		{"shedding", UpstreamSettings{}, UpstreamFaults{ShedShare: 1}, 2, Record{Refused: 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newTestWorker(tt.settings, start)
			if err := w.setFaults(start, func(f *UpstreamFaults) error { *f = tt.faults; return nil }); err != nil {
				t.Fatal(err)
			}
			for i := range tt.arrivals {
				w.admit(start.Add(time.Duration(i+1) * 2 * time.Millisecond))
			}
			got := w.record
			same := got.MaxInFlight == tt.want.MaxInFlight && got.OverSlots == tt.want.OverSlots &&
				got.MaxInFlightCold == tt.want.MaxInFlightCold && got.OverColdLimit == tt.want.OverColdLimit &&
				got.Refused == tt.want.Refused && got.ReceivedDraining == tt.want.ReceivedDraining &&
				got.LatestDrainingMS == tt.want.LatestDrainingMS
			if !same {
				t.Errorf("record %+v, want %+v", got, tt.want)
			}
		})
	}
}

// Guards against a cold upstream that is not slower above its cold limit: tests would then
// not detect a dispatcher that ignores the limit.
func TestWorkerColdOverloadSlowdown(t *testing.T) {
	start := time.Unix(1000, 0)
	workTime := func(inFlight int) time.Duration {
		w := newTestWorker(UpstreamSettings{Slots: 4, ColdDuration: time.Hour, Seed: 1}, start)
		for range inFlight {
			w.admit(start)
		}
		d, err := w.startWork(start, run{}, 0)
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	if within, above := workTime(1), workTime(2); above < 5*within {
		t.Errorf("work takes %s above the cold limit and %s within it", above, within)
	}
}

// Guards against load endpoints that report the actual current load although a lag or a
// false load is configured.
func TestWorkerProbe(t *testing.T) {
	start := time.Unix(1000, 0)
	reported := Load{State: StateWarm, Slots: 99}
	tests := []struct {
		name   string
		faults UpstreamFaults
		want   Load
	}{
		{"no faults", UpstreamFaults{}, Load{State: StateWarm, Slots: 2, InFlight: 3, WorkMS: 10}},
		{"lag of 15 ms", UpstreamFaults{LoadLagMS: 15}, Load{State: StateWarm, Slots: 2, InFlight: 1, WorkMS: 10}},
		{"lag longer than the upstream's lifetime", UpstreamFaults{LoadLagMS: 1000}, Load{State: StateWarm, Slots: 2, WorkMS: 10}},
		{"false load", UpstreamFaults{ReportedLoad: &reported}, reported},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newTestWorker(UpstreamSettings{}, start)
			for i := range 3 {
				w.admit(start.Add(time.Duration(i+1) * 10 * time.Millisecond))
			}
			now := start.Add(30 * time.Millisecond)
			if err := w.setFaults(now, func(f *UpstreamFaults) error { *f = tt.faults; return nil }); err != nil {
				t.Fatal(err)
			}
			if got := w.probe(now); got != tt.want {
				t.Errorf("%+v, want %+v", got, tt.want)
			}
			if len(w.record.Probes) != 1 {
				t.Errorf("%d probes recorded, want 1", len(w.record.Probes))
			}
		})
	}
}

// Guards against fault settings that are accepted although their values are out of range.
func TestFaultsCheck(t *testing.T) {
	for _, f := range []UpstreamFaults{{SlowFactor: -1}, {ShedShare: 1.1}, {TruncateResponses: -1}, {LoadLagMS: -1}} {
		if f.Check() == nil {
			t.Errorf("%+v passes its check", f)
		}
	}
}
