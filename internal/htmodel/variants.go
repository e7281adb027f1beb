package htmodel

import "time"

// Variants returns variants of the dispatcher policy, with the policies that the targets
// compare with. Each variant differs by one change from the one that its name refers to.
func Variants() []Candidate {
	variant := func(name string, s dispatcherSettings) Candidate {
		return Candidate{name, GroupDispatcher, newDispatcherPolicy(s)}
	}
	const ms = time.Millisecond
	return []Candidate{
		{"d1 least own, then estimated", GroupHostAlone, newHostAlonePolicy(hostAloneSettings{score: ownThenEstimated})},
		{"d4 least estimated", GroupHostAlone, newHostAlonePolicy(hostAloneSettings{score: estimatedLoad})},
		variant("e real router", dispatcherSettings{}),
		variant("e1 e, seen", dispatcherSettings{rule: ruleSeen}),
		variant("e2 e, aged 10 ms", dispatcherSettings{rule: ruleAged}),
		variant("e3 e2, aged 40 ms", dispatcherSettings{rule: ruleAged, viewDecay: 40 * ms}),
		variant("e4 e2, of two shards", dispatcherSettings{rule: ruleTwoShards}),
		variant("e5 e2, local shard 0.1 better", dispatcherSettings{rule: ruleAged, localPreference: 0.1}),
		variant("e6 e2, gossip", dispatcherSettings{rule: ruleGossip}),
		variant("e7 e2, exact", dispatcherSettings{rule: ruleExact}),
		variant("e8 e, connections ahead", dispatcherSettings{spareConnections: true}),
		variant("e9 e8, redirect", dispatcherSettings{spareConnections: true, redirect: true}),
		variant("e10 e8, steal", dispatcherSettings{spareConnections: true, steal: true}),
		variant("e11 e10, redirect", dispatcherSettings{spareConnections: true, steal: true, redirect: true}),
		variant("e12 e10, queue of 256", dispatcherSettings{spareConnections: true, steal: true, queueLimit: 256}),
		variant("e13 e10, queue of 1024", dispatcherSettings{spareConnections: true, steal: true, queueLimit: 1024}),
		variant("e14 e10, one caller", dispatcherSettings{spareConnections: true, steal: true, singleCaller: true}),
		variant("e15 e10, cold by report only", dispatcherSettings{spareConnections: true, steal: true, coldByReportOnly: true}),
		variant("e16 e10, hedge after 100 ms", dispatcherSettings{spareConnections: true, steal: true, hedgeDelay: 100 * ms}),
		variant("e17 e10, hedge after 200 ms", dispatcherSettings{spareConnections: true, steal: true, hedgeDelay: 200 * ms}),
		variant("e18 e, queue of 256", dispatcherSettings{queueLimit: 256}),
		variant("e19 e, queue of 1024", dispatcherSettings{queueLimit: 1024}),
		variant("f real", dispatcherSettings{singleShard: true}),
		variant("f1 f, connections ahead", dispatcherSettings{singleShard: true, spareConnections: true}),
		{"g ideal", GroupIdeal, newIdealPolicy},
	}
}
