package htmodel

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText writes one table per load and scenario.
func (c Comparison) WriteText(w io.Writer) error {
	for _, b := range c.Blocks {
		if err := c.writeBlock(w, b); err != nil {
			return err
		}
	}
	return nil
}

var columns = []string{
	"policy", "p50", "p99", "p99.9", "goodput/s", "refused", "late", "flight/slots", "over", "cold/bears", "over(known)",
	"probes/budget", "over", "retries", "hedges", "/alone", "/ideal", "targets missed",
}

func (c Comparison) writeBlock(w io.Writer, b Block) error {
	fmt.Fprintf(w, "%s, load %.1f, %s, seed %d: capacity %.0f/s, %d arrivals, strongest host-alone: %s\n",
		c.Workload, b.Load, b.Scenario, c.Seed, b.Capacity, b.Arrivals, b.StrongestHostAlone)
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.Debug)
	fmt.Fprintln(t, strings.Join(columns, "\t"))
	for _, r := range b.Rows {
		missed := "none"
		if len(r.MissedTargets) > 0 {
			missed = strings.Join(r.MissedTargets, " ")
		}
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d/%d\t%d\t%d/%d\t%d(%d)\t%d/%d\t%d\t%.1f%%\t%.1f%%\t%.2f\t%.2f\t%s\n",
			r.Policy, r.P50, r.P99, r.P999, r.Goodput, r.Refused, r.Late, r.MaxInFlight, r.Slots, r.StartsBeyondSlots,
			r.MaxInFlightCold, r.ColdLimit, r.StartsBeyondCold, r.StartsBeyondKnownCold, r.Probes, r.ProbeBudget, r.ProbesOverBudget,
			100*r.RetryShare, 100*r.HedgeShare, r.P99ToHostAlone, r.P99ToIdeal, missed)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w)
	return err
}
