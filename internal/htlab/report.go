package htlab

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Failures returns the violations of all phases and the services with cut responses.
func (r Report) Failures() []string {
	found := slices.Clone(r.Violations)
	for _, p := range r.Phases {
		for service, got := range p.Services {
			if cut := got.Total(func(c Counts) int { return c.Cut }); cut > 0 {
				found = append(found, fmt.Sprintf("phase %s, service %s: %s", p.Phase, service, withCount(cut, "cut responses")))
			}
		}
	}
	slices.Sort(found)
	return found
}

// PrintJSON writes the report as indented JSON.
func (r Report) PrintJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// PrintTable writes a table with a row for each phase and service, followed by the
// times of the domain changes, the table service's load and the failures. The column
// "in time" holds the percentage of calls with outcome done, including those with a
// fault such as late.
func (r Report) PrintTable(w io.Writer) error {
	fmt.Fprintf(w, "workload=%s hosts=%d load=%.2f seed=%d table=%s\n", r.Workload, r.Hosts, r.Load, r.Seed, r.Table)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "phase\tservice\tsent\tin time\tnot-run\tunknown\tlate\tcut\twrong\tno-conn\tp50\tp99\tp99.9\t")
	for _, p := range r.Phases {
		for _, name := range slices.Sorted(maps.Keys(p.Services)) {
			printServiceRow(t, p.Phase, name, p.Services[name])
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "failure domain out: in force after %d ms, last new work after %d ms; back: in force after %d ms\n", r.OutInForceMS, r.LastNewWorkMS, r.BackInForceMS)
	fmt.Fprintf(w, "table service: %.1f writes/s, %.1f reads/s\n", r.WritesPerSec, r.ReadsPerSec)
	for _, v := range r.Failures() {
		fmt.Fprintf(w, "violation: %s\n", v)
	}
	for _, sample := range r.Samples {
		fmt.Fprintf(w, "record: %s\n", sample)
	}
	return nil
}

func printServiceRow(w io.Writer, phase, name string, r Result) {
	sum := func(counter func(Counts) int) int { return r.Total(counter) }
	sent := sum(func(c Counts) int { return c.Sent })
	done := sum(func(c Counts) int { return c.Done })
	share := 0.0
	if sent > 0 {
		share = 100 * float64(done) / float64(sent)
	}
	l := r.Lookups.Latency
	fmt.Fprintf(w, "%s\t%s\t%d\t%.2f%%\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", phase, name, sent, share,
		sum(func(c Counts) int { return c.NotRun }), sum(func(c Counts) int { return c.Unknown }),
		sum(func(c Counts) int { return c.Late }), sum(func(c Counts) int { return c.Cut }),
		sum(func(c Counts) int { return c.Wrong }), sum(func(c Counts) int { return c.NoConn }),
		microseconds(l.P50US), microseconds(l.P99US), microseconds(l.P999US))
}

func microseconds(us int64) time.Duration {
	return (time.Duration(us) * time.Microsecond).Round(10 * time.Microsecond)
}
