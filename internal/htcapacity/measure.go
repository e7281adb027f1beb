package htcapacity

import (
	"context"
	"fmt"
	"slices"
	"strings"
)

// Measurement is a named experiment that yields a series.
type Measurement struct {
	Name string
	Run  func(ctx context.Context, log func(format string, args ...any)) (Series, error)
}

// Measurements lists the experiments. Those that only compute come first.
var Measurements = []Measurement{
	{"decision", decision},
	{"lookup", lookup},
	{"route", route},
	{"owner", owner},
	{"ownership", ownership},
	{"snapshot", snapshot},
	{"memory-upstream", memoryUpstream},
	{"memory-shard", memoryShard},
	{"memory-key", memoryKey},
	{"heartbeat", heartbeat},
	{"members", members},
	{"call", call},
	{"latency", latency},
}

// MeasurementNames lists the names of Measurements.
func MeasurementNames() []string {
	var names []string
	for _, m := range Measurements {
		names = append(names, m.Name)
	}
	return names
}

// Measure runs one experiment.
func Measure(ctx context.Context, name string, log func(format string, args ...any)) (Series, error) {
	at := slices.IndexFunc(Measurements, func(m Measurement) bool { return m.Name == name })
	if at < 0 {
		return Series{}, fmt.Errorf("no measurement %q; there are %s", name, strings.Join(MeasurementNames(), ", "))
	}
	s, err := Measurements[at].Run(ctx, log)
	s.Name = name
	s.Command = "go run ./cmd/htlab capacity measure " + name
	s.Machine = thisMachine()
	return s, err
}
