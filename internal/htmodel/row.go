package htmodel

import (
	"slices"
	"time"
)

// Targets of section 1.7 of docs/design.md.
const (
	targetP99ToHostAlone = 0.5 // maximum p99 relative to the strongest host-alone policy
	targetP99ToIdeal     = 1.5 // maximum p99 relative to the ideal
	targetExtraShare     = 0.1 // maximum retries and hedges per first attempt
)

// Row holds the results of one policy. Times are in milliseconds. P50, P99 and P999 are
// percentiles of the added time: the time from sending the request to the answer, both
// at the caller, less the work of the request at full speed. A request that is not done
// in time counts with the whole timeout.
type Row struct {
	Policy string  `json:"policy"`
	Group  Group   `json:"group"`
	P50    float64 `json:"p50-ms"`
	P99    float64 `json:"p99-ms"`
	P999   float64 `json:"p999-ms"`

	Goodput  float64 `json:"goodput-per-s"`
	Arrivals int     `json:"arrivals"`
	Done     int     `json:"done"`
	Refused  int     `json:"refused"`
	Late     int     `json:"late"`

	Slots             int `json:"slots"`
	MaxInFlight       int `json:"highest-in-flight"`
	Starts            int `json:"starts"`
	StartsBeyondSlots int `json:"starts-beyond-slots"`
	ColdLimit         int `json:"cold-bears"`
	MaxInFlightCold   int `json:"highest-in-flight-cold"`
	StartsOnCold      int `json:"starts-on-cold"`
	StartsBeyondCold  int `json:"starts-beyond-cold"`
	// StartsBeyondKnownCold counts only the starts of requests sent after an answer had
	// reported the cold state. No policy can avoid the others.
	StartsBeyondKnownCold int `json:"starts-beyond-known-cold"`
	StartsAfterDomainOut  int `json:"starts-after-domain-out"`

	Probes           int     `json:"probes"`
	ProbeBudget      int     `json:"probe-budget"`
	ProbesOverBudget int     `json:"probes-over-budget"`
	RetryShare       float64 `json:"retry-share"`
	HedgeShare       float64 `json:"hedge-share"`

	P99ToHostAlone float64  `json:"p99-to-strongest-host-alone"`
	P99ToIdeal     float64  `json:"p99-to-ideal"`
	MissedTargets  []string `json:"missed-targets"`

	tail []tailPoint
}

// tailPoint is a point of the distribution of added time.
type tailPoint struct {
	ms    float64
	share float64 // share of requests that took longer
}

func newRow(c Candidate, w Workload, r *record, duration time.Duration) Row {
	row := Row{
		Policy: c.Name, Group: c.Group,
		P50: r.percentile(50), P99: r.percentile(99), P999: r.percentile(99.9),
		Goodput:  float64(r.doneAfterWarmUp) / (duration - warmUp).Seconds(),
		Arrivals: r.arrivals, Done: r.outcomes[done], Refused: r.outcomes[refused], Late: r.outcomes[late],
		Slots: w.Slots, MaxInFlight: r.maxInFlight, Starts: r.starts, StartsBeyondSlots: r.startsBeyondSlots,
		ColdLimit: coldLimit, MaxInFlightCold: r.maxInFlightCold, StartsOnCold: r.startsOnCold,
		StartsBeyondCold: r.startsBeyondCold, StartsBeyondKnownCold: r.startsBeyondKnownCold, StartsAfterDomainOut: r.startsAfterDomainOut,
		Probes: r.probes, ProbesOverBudget: r.probesOverBudget,
		ProbeBudget: int(float64(w.Upstreams) * (probeBurst + probeRate*duration.Seconds())),
		RetryShare:  float64(r.retries) / float64(r.arrivals),
		HedgeShare:  float64(r.hedges) / float64(r.arrivals),
	}
	for _, b := range r.addedTime.CumulativeDistributionWithTicks(10) {
		row.tail = append(row.tail, tailPoint{float64(b.ValueAt) / 1000, 1 - b.Quantile/100})
	}
	return row
}

// percentile returns a percentile of the added time in milliseconds.
func (r *record) percentile(p float64) float64 {
	// The histogram rounds up, even beyond the timeout, which is the largest value.
	return min(float64(r.addedTime.ValueAtQuantile(p))/1000, float64(timeout.Milliseconds()))
}

// compareWithReferences compares all rows with the host-alone row with the lowest p99,
// with the ideal row and with the targets. Without one of the two it does nothing.
func (b *Block) compareWithReferences() {
	strongest, ideal := -1, -1
	for i, r := range b.Rows {
		if r.Group == GroupHostAlone && (strongest < 0 || r.P99 < b.Rows[strongest].P99) {
			strongest = i
		}
		if r.Group == GroupIdeal {
			ideal = i
		}
	}
	if strongest < 0 || ideal < 0 {
		return
	}
	b.StrongestHostAlone = b.Rows[strongest].Policy
	for i := range b.Rows {
		b.Rows[i].evaluate(b.Rows[strongest].P99, b.Rows[ideal].P99)
	}
}

func (r *Row) evaluate(hostAloneP99, idealP99 float64) {
	r.P99ToHostAlone = r.P99 / hostAloneP99
	r.P99ToIdeal = r.P99 / idealP99
	r.MissedTargets = []string{}
	targets := []struct {
		name string
		met  bool
	}{
		{"alone", r.P99ToHostAlone <= targetP99ToHostAlone},
		{"ideal", r.P99ToIdeal <= targetP99ToIdeal},
		{"slots", r.StartsBeyondSlots == 0},
		{"cold", r.StartsBeyondKnownCold == 0},
		{"probes", r.ProbesOverBudget == 0},
		{"extra", r.RetryShare+r.HedgeShare <= targetExtraShare},
	}
	for _, t := range targets {
		if !t.met {
			r.MissedTargets = append(r.MissedTargets, t.name)
		}
	}
}

// Meets reports whether the row meets the named target.
func (r Row) Meets(target string) bool {
	return !slices.Contains(r.MissedTargets, target)
}
