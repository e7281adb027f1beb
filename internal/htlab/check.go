package htlab

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/internal/htstand"
)

// RecordCheck compares what callers were told with what the upstreams recorded.
type RecordCheck struct {
	RanTwice   []string `json:"ran-twice"`    // keys that ran more than once
	NotRunRan  []string `json:"not-run-ran"`  // requests told not-run that ran
	DoneNotRan []string `json:"done-not-ran"` // requests told done that no upstream ran
	Unread     []string `json:"unread"`       // upstreams whose record could not be read
	Runs       int      `json:"runs"`         // runs of this load's requests
	Samples    []string `json:"samples"`      // descriptions of the first entries above

	// The rest is summed over the upstreams' records.
	OverSlots        int   `json:"over-slots"`
	OverColdLimit    int   `json:"over-cold-limit"`
	ReceivedDraining int   `json:"received-draining"`
	LatestDrainingMS int64 `json:"latest-draining-ms"`
	Probes           int   `json:"probes"`
	ProbeOverrun     int   `json:"probe-overrun"` // probes above the budget
}

// compare checks the verdicts of a load against the records of all upstreams. A
// record that is missing can hide a run, so DoneNotRan is only complete, and only
// free of false entries, if every record could be read.
func compare(verdicts []verdict, records []htstand.Record, probesPerSec float64) *RecordCheck {
	byKey := map[string]int{}
	byRequest := map[string]int{}
	check := &RecordCheck{}
	for _, r := range records {
		for k, n := range r.RunsByKey {
			byKey[k] += n
		}
		for id, n := range r.RunsByRequest {
			byRequest[id] += n
		}
		check.OverSlots += r.OverSlots
		check.OverColdLimit += r.OverColdLimit
		check.ReceivedDraining += r.ReceivedDraining
		check.LatestDrainingMS = max(check.LatestDrainingMS, r.LatestDrainingMS)
		check.Probes += len(r.Probes)
		check.ProbeOverrun += probeOverrun(r.Probes, probesPerSec)
	}
	counted := map[string]bool{}
	for _, v := range verdicts {
		c := v.call
		runs := byRequest[c.requestID]
		if !counted[c.requestID] {
			counted[c.requestID] = true
			check.Runs += runs
			if c.key != "" && byKey[c.key] > 1 {
				check.RanTwice = append(check.RanTwice, c.key)
				check.sample(len(check.RanTwice), "ran twice", v, byKey[c.key])
			}
		}
		if v.outcome == htcall.NotRun && runs > 0 {
			check.NotRunRan = append(check.NotRunRan, c.requestID)
			check.sample(len(check.NotRunRan), "told not-run but ran", v, runs)
		}
		if v.outcome == htcall.Done && runs == 0 {
			check.DoneNotRan = append(check.DoneNotRan, c.requestID)
			check.sample(len(check.DoneNotRan), "told done but did not run", v, runs)
		}
	}
	check.NotRunRan = sortedUnique(check.NotRunRan)
	check.DoneNotRan = sortedUnique(check.DoneNotRan)
	return check
}

// sample describes the entry that is the given number of its list.
func (c *RecordCheck) sample(number int, what string, v verdict, runs int) {
	if number > maxSamples {
		return
	}
	c.Samples = append(c.Samples, fmt.Sprintf("%s: %s runs=%d", what, v, runs))
}

// probeOverrun returns by how many probes the worst period exceeds a budget in
// probes a second; a budget of 0 means that there is none. One probe more than the
// budget of a period is allowed, because both ends of a period may be probed, and
// one more, because a probe may be delayed on its way.
func probeOverrun(times []int64, budget float64) int {
	const allowed = 2
	if budget <= 0 {
		return 0
	}
	worst := 0
	// excess is that of the worst period that ends at the present probe.
	excess := 0.0
	for i, t := range times {
		if i > 0 {
			excess = max(0, excess-budget*float64(t-times[i-1])/1000)
		}
		excess++
		worst = max(worst, int(math.Ceil(excess-allowed)))
	}
	return worst
}

func sortedUnique(list []string) []string {
	slices.Sort(list)
	return slices.Compact(list)
}

// recordTimeout bounds the reading of one record.
const recordTimeout = 10 * time.Second

// readRecords reads the records of the upstreams and returns the addresses of
// those that could not be read.
func readRecords(ctx context.Context, upstreams []string) ([]htstand.Record, []string) {
	var records []htstand.Record
	var unread []string
	client := &http.Client{Timeout: recordTimeout}
	defer client.CloseIdleConnections()
	for _, address := range upstreams {
		r, err := readRecord(ctx, client, address)
		if err != nil {
			unread = append(unread, fmt.Sprintf("%s: %s", address, err))
			continue
		}
		records = append(records, r)
	}
	return records, unread
}

func readRecord(ctx context.Context, client *http.Client, address string) (htstand.Record, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/-/record", nil)
	if err != nil {
		return htstand.Record{}, err
	}
	response, err := client.Do(request)
	if err != nil {
		return htstand.Record{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return htstand.Record{}, fmt.Errorf("status %d", response.StatusCode)
	}
	var r htstand.Record
	if err := json.NewDecoder(response.Body).Decode(&r); err != nil {
		return htstand.Record{}, fmt.Errorf("decode record: %w", err)
	}
	return r, nil
}
