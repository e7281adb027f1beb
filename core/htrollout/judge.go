package htrollout

import (
	"math"
	"time"
)

const (
	// alarmThreshold is the log likelihood ratio from which the target version counts as bad.
	// While it answers no worse than assumed, one test crosses it within n sends with a
	// probability of at most n*exp(-alarmThreshold).
	alarmThreshold = 11.0
	// doubtThreshold is the ratio from which a roll-out waits for more evidence before all calls
	// move, and before it ends. At the end of the duration it decides like alarmThreshold.
	doubtThreshold = 5.0
	// failedFloor and slowFloor are the least shares of failed and slow answers that are
	// assumed of a good version, whatever the other versions answer.
	failedFloor = 0.02
	slowFloor   = 0.06
	// maxAssumed bounds the assumed share, so that a test has an alternative left.
	maxAssumed = 0.5
	// marginDeviations is the number of standard deviations by which the assumed share lies
	// above the measured one of the other versions.
	marginDeviations = 2.0
	// minComparison is the number of sends to the other versions from which their share counts.
	// Answers of the target version are not judged by their speed before.
	minComparison = 20
	// recentDecay is the time constant of the recent shares of the other versions. Trouble that
	// strikes both sides, such as the loss of a failure domain, must not be blamed on the target.
	recentDecay = 2 * time.Second
)

// failedExcess and slowExcess are the alternatives: by how much the share of failed or slow
// answers of a bad version exceeds the assumed one.
var (
	failedExcess = [...]float64{0.1, 0.3}
	slowExcess   = [...]float64{0.2, 0.45}
)

// Judge compares the answers of the target version with those of the others by a sequential
// test (CUSUM of log likelihood ratios), by group of routes and over all routes. A version may
// turn bad late or under load, so good answers of before do not weigh against later ones.
type Judge struct {
	groups [RouteGroups + 1]groupTests // the last one is over all routes
}

// groupTests are the tests on one group of routes.
type groupTests struct {
	others  Tally
	recent  recentTally
	failed  [len(failedExcess)]float64
	slow    [len(slowExcess)]float64
	targets Tally
}

// recentTally is a tally of the other versions that decays.
type recentTally struct {
	sends, failed, slow float64
	at                  time.Time
}

func (r *recentTally) add(now time.Time, t Tally) {
	if !r.at.IsZero() {
		kept := math.Exp(-float64(max(0, now.Sub(r.at))) / float64(recentDecay))
		r.sends, r.failed, r.slow = r.sends*kept, r.failed*kept, r.slow*kept
	}
	r.at = now
	r.sends, r.failed, r.slow = r.sends+float64(t.Sends), r.failed+float64(t.Failed), r.slow+float64(t.Slow)
}

// Add adds sends with results to the tests.
func (j *Judge) Add(now time.Time, group int, added [sides]Tally) {
	j.groups[group].add(now, added)
	j.groups[RouteGroups].add(now, added)
}

func (g *groupTests) add(now time.Time, added [sides]Tally) {
	if t := added[Others]; t.Sends > 0 {
		g.others = g.others.plus(t)
		g.recent.add(now, t)
	}
	t := added[Target]
	if t.Sends == 0 {
		return
	}
	g.targets = g.targets.plus(t)
	assumed := g.assumed(failedFloor, func(t Tally) uint32 { return t.Failed }, g.recent.failed)
	for i, excess := range failedExcess {
		g.failed[i] = cusum(g.failed[i], t.Sends, t.Failed, assumed, assumed+excess)
	}
	if g.others.Sends < minComparison {
		return
	}
	assumed = g.assumed(slowFloor, func(t Tally) uint32 { return t.Slow }, g.recent.slow)
	for i, excess := range slowExcess {
		g.slow[i] = cusum(g.slow[i], t.Sends, t.Slow, assumed, assumed+excess)
	}
}

// assumed returns the largest share of bad answers that a good version may have: that of the
// other versions, since the start or recently, with a margin for chance.
func (g *groupTests) assumed(floor float64, bad func(Tally) uint32, recentBad float64) float64 {
	share := max(
		upperShare(float64(bad(g.others)), float64(g.others.Sends)),
		upperShare(recentBad, g.recent.sends),
	)
	return min(max(share, floor), maxAssumed)
}

func upperShare(bad, sends float64) float64 {
	if sends < minComparison {
		return 0
	}
	share := min(1, bad/sends)
	return share + marginDeviations*math.Sqrt(share*(1-share)/sends)
}

// cusum adds sends, of which some were bad, to a sum of log likelihood ratios of the
// alternative share against the assumed one. The sum does not fall below zero.
func cusum(sum float64, sends, bad uint32, assumed, alternative float64) float64 {
	alternative = min(alternative, 0.98)
	good := float64(sends - min(sends, bad))
	sum += float64(bad)*math.Log(alternative/assumed) + good*math.Log((1-alternative)/(1-assumed))
	return max(sum, 0)
}

// Verdict is the result of the tests.
type Verdict struct {
	Bad    bool
	Doubt  bool
	Cause  string  // "failures" or "slowness"
	Group  int     // of routes, or RouteGroups for all routes
	Target Tally   // of that group
	Others Tally   // of that group
	Score  float64 // largest log likelihood ratio
}

// Verdict returns the result of the tests so far.
func (j *Judge) Verdict() Verdict {
	var v Verdict
	for i := range j.groups {
		g := &j.groups[i]
		for _, score := range g.failed {
			v.consider(score, "failures", i, g)
		}
		for _, score := range g.slow {
			v.consider(score, "slowness", i, g)
		}
	}
	v.Bad, v.Doubt = v.Score >= alarmThreshold, v.Score >= doubtThreshold
	return v
}

func (v *Verdict) consider(score float64, cause string, group int, g *groupTests) {
	if score <= v.Score {
		return
	}
	v.Score, v.Cause, v.Group, v.Target, v.Others = score, cause, group, g.targets, g.others
}
