package htmodel

// Group is the kind of a policy. The targets compare policies across groups.
type Group string

// The groups of policies.
const (
	GroupBaseline   Group = "baseline"
	GroupHostAlone  Group = "host-alone"
	GroupDispatcher Group = "dispatcher"
	GroupIdeal      Group = "ideal"
)

// Candidate is a named policy to compare.
type Candidate struct {
	Name  string
	Group Group
	build func(*model) policy
}

// Candidates returns the policies in the order in which the table lists them.
func Candidates() []Candidate {
	hostAlone := func(name string, s hostAloneSettings) Candidate {
		return Candidate{name, GroupHostAlone, newHostAlonePolicy(s)}
	}
	return []Candidate{
		{"a round robin", GroupBaseline, newHostAlonePolicy(hostAloneSettings{roundRobin: true})},
		hostAlone("b two choices, own", hostAloneSettings{sampleSize: 2, score: ownLoad}),
		hostAlone("c two choices, own+reported", hostAloneSettings{sampleSize: 2, score: ownPlusReportedLoad}),
		hostAlone("d least own", hostAloneSettings{score: ownLoad}),
		hostAlone("d1 least own, then estimated", hostAloneSettings{score: ownThenEstimated}),
		hostAlone("d2 two choices, estimated", hostAloneSettings{sampleSize: 2, score: estimatedLoad}),
		hostAlone("d3 four choices, estimated", hostAloneSettings{sampleSize: 4, score: estimatedLoad}),
		hostAlone("d4 least estimated", hostAloneSettings{score: estimatedLoad}),
		hostAlone("d5 least expected time", hostAloneSettings{score: expectedResponseTime}),
		hostAlone("d6 least cubic time", hostAloneSettings{score: cubicLoadTime}),
		hostAlone("d7 least own, hedged", hostAloneSettings{score: ownThenEstimated, hedge: true}),
		hostAlone("d8 least estimated, hedged", hostAloneSettings{score: estimatedLoad, hedge: true}),
		hostAlone("d9 least estimated, waiting", hostAloneSettings{score: estimatedLoad, queueAtHost: true}),
		hostAlone("d10 least estimated, waiting, hedged", hostAloneSettings{score: estimatedLoad, queueAtHost: true, hedge: true}),
		{"e dispatcher per failure domain", GroupDispatcher, newDispatcherPolicy(dispatcherSettings{})},
		{"f one dispatcher", GroupDispatcher, newDispatcherPolicy(dispatcherSettings{singleShard: true})},
		{"g ideal", GroupIdeal, newIdealPolicy},
	}
}
