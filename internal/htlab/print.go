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

// PrintJSON writes the result as indented JSON.
func (r Result) PrintJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// PrintTable writes the result as a table with a row for each kind of call,
// followed by the reasons, the check, samples of faults and the violations.
func (r Result) PrintTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\tsent\tdone\tnot-run\tunknown\tuntold\tlate\tcut\twrong\tno-conn\tunlabelled\tfailed\tresent\tp50\tp90\tp99\tp99.9\tmax\t")
	printRow(t, "lookups", r.Lookups)
	printRow(t, "bookings", r.Bookings)
	if err := t.Flush(); err != nil {
		return err
	}
	printReasons(w, "lookups", r.Lookups)
	printReasons(w, "bookings", r.Bookings)
	if c := r.Check; c != nil {
		fmt.Fprintf(w, "records: runs=%d ran-twice=%d not-run-ran=%d done-not-ran=%d unread=%d\n",
			c.Runs, len(c.RanTwice), len(c.NotRunRan), len(c.DoneNotRan), len(c.Unread))
		fmt.Fprintf(w, "upstreams: over-slots=%d over-cold-limit=%d received-draining=%d latest-draining=%dms probes=%d probe-overrun=%d\n",
			c.OverSlots, c.OverColdLimit, c.ReceivedDraining, c.LatestDrainingMS, c.Probes, c.ProbeOverrun)
		for _, s := range c.Samples {
			fmt.Fprintf(w, "record: %s\n", s)
		}
	}
	for _, s := range r.Samples {
		fmt.Fprintf(w, "sample: %s\n", s)
	}
	for _, v := range r.Violations() {
		fmt.Fprintf(w, "violation: %s\n", v)
	}
	return nil
}

func printRow(w io.Writer, name string, c Counts) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", name, c.Sent, c.Done, c.NotRun, c.Unknown,
		c.NoOutcome, c.Late, c.Cut, c.Wrong, c.NoConn, c.Unlabelled, c.Failed, c.Resent)
	l := c.Latency
	for _, us := range []int64{l.P50US, l.P90US, l.P99US, l.P999US, l.MaxUS} {
		fmt.Fprintf(w, "%s\t", time.Duration(us)*time.Microsecond)
	}
	fmt.Fprintln(w)
}

func printReasons(w io.Writer, name string, c Counts) {
	for _, reason := range slices.Sorted(maps.Keys(c.Reasons)) {
		fmt.Fprintf(w, "%s told %s: %d\n", name, reason, c.Reasons[reason])
	}
}

func withCount(n int, what string) string {
	return fmt.Sprintf("%d %s", n, what)
}
