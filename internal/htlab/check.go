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

// RecordCheck is the result of comparing the outcomes reported to callers with the
// requests that the upstreams recorded.
type RecordCheck struct {
	RanTwice   []string `json:"ran-twice"`    // keys whose request ran more than once
	NotRunRan  []string `json:"not-run-ran"`  // requests reported as not-run that ran
	DoneNotRan []string `json:"done-not-ran"` // requests reported as done that no upstream ran
	Unread     []string `json:"unread"`       // upstreams whose record could not be read
	Runs       int      `json:"runs"`         // runs of this load's requests
	Samples    []string `json:"samples"`      // descriptions of the first entries above

	// The following are sums over the upstreams' records, except LatestDrainingMS,
	// which is the highest value of all records.
	OverSlots        int   `json:"over-slots"`
	OverColdLimit    int   `json:"over-cold-limit"`
	ReceivedDraining int   `json:"received-draining"`
	LatestDrainingMS int64 `json:"latest-draining-ms"`
	Probes           int   `json:"probes"`
	ProbeOverrun     int   `json:"probe-overrun"` // probes above the budget
}

// compareRecords compares the results of a load with the records of all upstreams.
// Runs in a record that could not be read are not counted: DoneNotRan can then
// contain requests that did run, and RanTwice and NotRunRan can lack entries.
func compareRecords(results []callResult, records []htstand.Record, probesPerSec float64) *RecordCheck {
	runsByKey := map[string]int{}
	runsByRequest := map[string]int{}
	check := &RecordCheck{}
	for _, r := range records {
		for k, n := range r.RunsByKey {
			runsByKey[k] += n
		}
		for id, n := range r.RunsByRequest {
			runsByRequest[id] += n
		}
		check.OverSlots += r.OverSlots
		check.OverColdLimit += r.OverColdLimit
		check.ReceivedDraining += r.ReceivedDraining
		check.LatestDrainingMS = max(check.LatestDrainingMS, r.LatestDrainingMS)
		check.Probes += len(r.Probes)
		check.ProbeOverrun += probeOverrun(r.Probes, probesPerSec)
	}
	seen := map[string]bool{}
	for _, result := range results {
		c := result.call
		runs := runsByRequest[c.requestID]
		if !seen[c.requestID] {
			seen[c.requestID] = true
			check.Runs += runs
			if c.key != "" && runsByKey[c.key] > 1 {
				check.RanTwice = append(check.RanTwice, c.key)
				check.addSample(len(check.RanTwice), "ran twice", result, runsByKey[c.key])
			}
		}
		if result.outcome == htcall.NotRun && runs > 0 {
			check.NotRunRan = append(check.NotRunRan, c.requestID)
			check.addSample(len(check.NotRunRan), "reported as not-run but ran", result, runs)
		}
		if result.outcome == htcall.Done && runs == 0 {
			check.DoneNotRan = append(check.DoneNotRan, c.requestID)
			check.addSample(len(check.DoneNotRan), "reported as done but did not run", result, runs)
		}
	}
	check.NotRunRan = sortedUnique(check.NotRunRan)
	check.DoneNotRan = sortedUnique(check.DoneNotRan)
	return check
}

// addSample adds a description of the entry with the given number, counted from 1,
// in its list, unless the list already has maxSamples of them.
func (c *RecordCheck) addSample(number int, what string, result callResult, runs int) {
	if number > maxSamples {
		return
	}
	c.Samples = append(c.Samples, fmt.Sprintf("%s: %s runs=%d", what, result, runs))
}

// probeOverrun returns by how many probes the worst period exceeds a budget in
// probes per second; a budget of 0 means no limit. The times are in milliseconds.
// Each period may contain two probes more than its budget: one because a period that
// starts and ends with a probe contains one probe more than intervals between probes,
// and one because a probe may be delayed in the network.
func probeOverrun(times []int64, budget float64) int {
	const allowed = 2
	if budget <= 0 {
		return 0
	}
	worst := 0
	// excess is the number of probes above the budget in the worst period that ends
	// at the current probe.
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

// recordTimeout bounds the request for the record of one upstream.
const recordTimeout = 10 * time.Second

// readRecords reads the records of the upstreams. It also returns the address and
// error of each upstream whose record could not be read.
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
