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

// Measurements lists the experiments. Those without network traffic come first.
var Measurements = []Measurement{
	{"decision", measureDecision},
	{"lookup", measureLookup},
	{"route", measureRoute},
	{"owner", measureOwner},
	{"ownership", measureOwnership},
	{"snapshot", measureSnapshot},
	{"memory-upstream", measureUpstreamMemory},
	{"memory-shard", measureShardMemory},
	{"memory-key", measureKeyMemory},
	{"heartbeat", measureHeartbeat},
	{"members", measureMembers},
	{"call", measureCalls},
	{"latency", measureLatency},
}

// MeasurementNames returns the names of Measurements, in their order.
func MeasurementNames() []string {
	var names []string
	for _, m := range Measurements {
		names = append(names, m.Name)
	}
	return names
}

// Measure runs the experiment with the given name.
func Measure(ctx context.Context, name string, log func(format string, args ...any)) (Series, error) {
	at := slices.IndexFunc(Measurements, func(m Measurement) bool { return m.Name == name })
	if at < 0 {
		return Series{}, fmt.Errorf("unknown measurement %q, want one of %s", name, strings.Join(MeasurementNames(), ", "))
	}
	s, err := Measurements[at].Run(ctx, log)
	s.Name = name
	s.Command = "go run ./cmd/htlab capacity measure " + name
	s.Machine = thisMachine()
	return s, err
}
