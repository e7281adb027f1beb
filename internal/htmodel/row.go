package htmodel

import (
	"slices"
	"time"
)

// Targets of section 1.7 of docs/design.md.
const (
	targetAlone = 0.5 // p99 against the strongest host-alone policy
	targetIdeal = 1.5 // p99 against the ideal
	targetExtra = 0.1 // retries and hedges against first tries
)

// Row is the result of one policy. Times are in milliseconds. Added time is the
// time from the caller's send to its answer, less the work of the request at full
// speed; a request that is not done in time counts with the whole timeout.
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
	// StartsBeyondKnownCold counts only starts that were sent after an answer that says
	// cold had arrived. Nobody can avoid the others.
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
	share float64 // of requests that took longer
}

func newRow(c Candidate, w Workload, r *record, length time.Duration) Row {
	row := Row{
		Policy: c.Name, Group: c.Group,
		P50: r.percentile(50), P99: r.percentile(99), P999: r.percentile(99.9),
		Goodput:  float64(r.doneInTime) / (length - warmUp).Seconds(),
		Arrivals: r.arrivals, Done: r.outcomes[done], Refused: r.outcomes[refused], Late: r.outcomes[late],
		Slots: w.Slots, MaxInFlight: r.highest, Starts: r.starts, StartsBeyondSlots: r.overStarts,
		ColdLimit: coldBears, MaxInFlightCold: r.coldHighest, StartsOnCold: r.coldStarts,
		StartsBeyondCold: r.coldOver, StartsBeyondKnownCold: r.coldOverKnown, StartsAfterDomainOut: r.domainOutStarts,
		Probes: r.probes, ProbesOverBudget: r.probeOver,
		ProbeBudget: int(float64(w.Upstreams) * (probeBurst + probeRate*length.Seconds())),
		RetryShare:  float64(r.retries) / float64(r.arrivals),
		HedgeShare:  float64(r.hedges) / float64(r.arrivals),
	}
	for _, b := range r.added.CumulativeDistributionWithTicks(10) {
		row.tail = append(row.tail, tailPoint{float64(b.ValueAt) / 1000, 1 - b.Quantile/100})
	}
	return row
}

// percentile returns a percentile of the added time in milliseconds.
func (r *record) percentile(p float64) float64 {
	// The histogram rounds up, also beyond the longest possible value.
	return min(float64(r.added.ValueAtQuantile(p))/1000, float64(timeout.Milliseconds()))
}

// judge finds the strongest host-alone row and the ideal, and compares all rows
// with them and with the targets.
func (b *Block) judge() {
	strongest, best := -1, -1
	for i, r := range b.Rows {
		if r.Group == GroupHostAlone && (strongest < 0 || r.P99 < b.Rows[strongest].P99) {
			strongest = i
		}
		if r.Group == GroupIdeal {
			best = i
		}
	}
	if strongest < 0 || best < 0 {
		return
	}
	b.StrongestHostAlone = b.Rows[strongest].Policy
	for i := range b.Rows {
		b.Rows[i].compare(b.Rows[strongest].P99, b.Rows[best].P99)
	}
}

func (r *Row) compare(alone, ideal float64) {
	r.P99ToHostAlone = r.P99 / alone
	r.P99ToIdeal = r.P99 / ideal
	r.MissedTargets = []string{}
	targets := []struct {
		name string
		met  bool
	}{
		{"alone", r.P99ToHostAlone <= targetAlone},
		{"ideal", r.P99ToIdeal <= targetIdeal},
		{"slots", r.StartsBeyondSlots == 0},
		{"cold", r.StartsBeyondKnownCold == 0},
		{"probes", r.ProbesOverBudget == 0},
		{"extra", r.RetryShare+r.HedgeShare <= targetExtra},
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
