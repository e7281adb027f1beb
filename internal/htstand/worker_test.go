package htstand

import (
	"testing"
	"time"
)

func newTestWorker(s UpstreamSettings, now time.Time) *worker {
	return newWorker(s.withDefaults(), now)
}

// Guards against an upstream that refuses too little or hides from its record that
// it was given too much.
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
				w.arrive(start.Add(time.Duration(i+1) * 2 * time.Millisecond))
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

// Guards against a cold upstream that is not slower above its cold limit, which
// would let a dispatcher that ignores the limit look good.
func TestWorkerCollapsesCold(t *testing.T) {
	start := time.Unix(1000, 0)
	total := func(inFlight int) time.Duration {
		w := newTestWorker(UpstreamSettings{Slots: 4, ColdDuration: time.Hour, Seed: 1}, start)
		for range inFlight {
			w.arrive(start)
		}
		d, err := w.begin(start, run{}, 0)
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	if within, above := total(1), total(2); above < 5*within {
		t.Errorf("work takes %s above the cold limit and %s within it", above, within)
	}
}

// Guards against load endpoints that tell the present truth although they are to
// lag or lie.
func TestWorkerProbe(t *testing.T) {
	start := time.Unix(1000, 0)
	lie := Load{State: StateWarm, Slots: 99}
	tests := []struct {
		name   string
		faults UpstreamFaults
		want   Load
	}{
		{"truth", UpstreamFaults{}, Load{State: StateWarm, Slots: 2, InFlight: 3, WorkMS: 10}},
		{"late by 15 ms", UpstreamFaults{LoadLagMS: 15}, Load{State: StateWarm, Slots: 2, InFlight: 1, WorkMS: 10}},
		{"older than the upstream", UpstreamFaults{LoadLagMS: 1000}, Load{State: StateWarm, Slots: 2, WorkMS: 10}},
		{"lie", UpstreamFaults{ReportedLoad: &lie}, lie},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newTestWorker(UpstreamSettings{}, start)
			for i := range 3 {
				w.arrive(start.Add(time.Duration(i+1) * 10 * time.Millisecond))
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

// Guards against fault settings that are taken in although they make no sense.
func TestFaultsCheck(t *testing.T) {
	for _, f := range []UpstreamFaults{{SlowFactor: -1}, {ShedShare: 1.1}, {TruncateResponses: -1}, {LoadLagMS: -1}} {
		if f.Check() == nil {
			t.Errorf("%+v passes its check", f)
		}
	}
}
