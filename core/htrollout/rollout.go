package htrollout

import (
	"fmt"
	"math"
	"time"

	"hawthornturn/core/htcatalog"
)

// View is what a host knows of a service and of the other hosts.
type View struct {
	Known          bool          // the configuration names the service
	Usual          time.Duration // within which most calls of the service end
	Target         int           // upstreams of the target version that may get calls
	TargetWarm     int           // those that are not in cold start
	Others         int           // upstreams of other versions that may get calls
	OthersInFlight int           // calls of this host at upstreams of other versions
	Hosts          []uint32      // the other hosts that are running
}

// Rollout is one order, as one host carries it out. It is not safe for concurrent use.
type Rollout struct {
	order  htcatalog.Rollout
	run    int64 // the version of the row by which the order became known
	limits Limits
	self   Process

	start      time.Time // when the first host knew of the order
	known      time.Time // when this host knew of it
	stage      Stage
	stageSince time.Time
	taken      Stage  // of the last call of TakeStageChange
	stageSends Tally  // of the target version when the stage began
	reason     string // why it is the stage
	withdrawn  bool   // operators have taken the order back
	joined     bool   // this host started after the order
	missing    bool   // the store lacks the order since it came back from a copy
	hosts      map[Process]heard
	lastHeard  time.Time // newest report of another host
	view       View      // of the last call of Advance
	judge      Judge
}

// New returns a Rollout of an order that has just become known. A host that has just started
// joins it: others may have carried it out for a while.
func New(now time.Time, order htcatalog.Rollout, limits Limits, self Process, joins bool) *Rollout {
	r := &Rollout{
		order: order, run: order.Order, limits: limits, self: self, joined: joins,
		start: now, known: now, stage: Canary, taken: Canary, stageSince: now, hosts: map[Process]heard{},
	}
	if !joins {
		r.lastHeard = now
	}
	return r
}

// Run identifies this roll-out among those of its service on this host.
func (r *Rollout) Run() int64 { return r.run }

// Stage returns the stage and the reason for it.
func (r *Rollout) Stage() (Stage, string) { return r.stage, r.reason }

// Verdict returns the result of the tests so far.
func (r *Rollout) Verdict() Verdict { return r.judge.Verdict() }

func (r *Rollout) setStage(now time.Time, s Stage, reason string) {
	r.stage, r.stageSince, r.reason = s, now, reason
	_, r.stageSends = r.Totals()
}

// TakeStageChange reports whether the stage has changed since the last call, by a decision of
// this host or another one, and returns the stage of then.
func (r *Rollout) TakeStageChange() (before Stage, changed bool) {
	before = r.taken
	r.taken = r.stage
	return before, before != r.stage
}

// Advance moves the roll-out on to the next stage if it is time. It must be called some ten
// times a second.
func (r *Rollout) Advance(now time.Time, v View) {
	r.view = v
	switch {
	case r.stage >= Rejected:
	case r.withdrawn:
		r.setStage(now, Rejected, "the order was taken back")
	case r.order.Invalid != "":
		r.setStage(now, Rejected, r.order.Invalid)
	case !v.Known:
		if now.Sub(r.known) >= unknownServiceTime {
			r.setStage(now, Rejected, "the service is not declared")
		}
	default:
		r.advance(now)
	}
}

func (r *Rollout) advance(now time.Time) {
	v := &r.view
	age := now.Sub(r.start)
	late := age >= r.order.Duration-statusTime
	verdict := r.judge.Verdict()
	if verdict.Bad || verdict.Doubt && late {
		r.setStage(now, Rejected, verdict.Cause)
		return
	}
	switch r.stage {
	case Canary:
		judged := r.judgedEnough(now)
		switch {
		case age >= r.order.Duration-finishTime(r.order.Duration, v.Usual) && judged && v.TargetWarm > 0 && 2*v.TargetWarm >= v.Target:
			r.setStage(now, Ramp, "no worse than the other versions")
		case late && v.Target == 0:
			r.setStage(now, Rejected, "no upstream of the version")
		case late && !judged:
			r.setStage(now, Rejected, "too few answers to judge the version")
		case late:
			r.setStage(now, Rejected, "its upstreams are in cold start")
		}
	case Ramp:
		if now.Sub(r.stageSince) >= rampTime(v.Usual) && !verdict.Doubt {
			r.setStage(now, Full, "no worse than the other versions")
		}
	}
}

// judgedEnough reports whether the target version has answered enough calls to be judged, or
// the service has so few calls that all of them stay within the exposure limits.
func (r *Rollout) judgedEnough(now time.Time) bool {
	others, target := r.Totals()
	if target.Sends >= minJudged {
		return true
	}
	age := max(now.Sub(r.start).Seconds(), 1)
	duration := r.order.Duration.Seconds()
	rate := float64(others.Sends+target.Sends) / age
	expected := float64(target.Sends) + rate*max(0, duration-age)
	return expected <= r.limits.ExposureShare*rate*duration+r.limits.ExposureSlack
}

// Settled reports whether no host uses the other versions any more, so that they may stop:
// all running hosts have moved and have no call in flight there. A host from which no report
// came for silentTime is out of touch and is not waited for.
func (r *Rollout) Settled(now time.Time) bool {
	if r.stage != Full || now.Sub(r.stageSince) < minFullTime || r.view.OthersInFlight > 0 || r.judge.Verdict().Doubt {
		return false
	}
	_, target := r.Totals()
	inTime := now.Sub(r.start) < r.order.Duration-statusTime
	if inTime && target.Sends < r.stageSends.Sends+minFullJudged {
		return false
	}
	newest := map[uint32]heard{}
	for p, h := range r.hosts {
		if known, ok := newest[p.Host]; !ok || h.at.After(known.at) {
			newest[p.Host] = h
		}
	}
	for _, host := range r.view.Hosts {
		h, reported := newest[host]
		if !reported {
			h.at = r.known
		}
		if now.Sub(h.at) >= silentTime {
			continue
		}
		if h.stage != Full || h.inFlight > 0 {
			return false
		}
	}
	return true
}

// Status returns the status that is to stand in the store.
func (r *Rollout) Status(now time.Time) Status {
	s := Status{State: Running, Target: r.order.Version}
	switch {
	case r.stage == Done, r.Settled(now):
		s.State = Completed
	case r.stage == Rejected, r.stage == Undone:
		s.State = RolledBack
	}
	return s
}

// Confirm records that the store holds the final status of this order.
func (r *Rollout) Confirm(now time.Time, s State) {
	switch s {
	case Completed:
		r.setStage(now, Done, r.reason)
	case RolledBack:
		r.setStage(now, Undone, r.reason)
	}
}

// Split is how the calls of a service are divided between the versions of its upstreams.
type Split struct {
	// Run tells two roll-outs of a service apart.
	Run    int64
	Target string // empty if there is no order
	// Share is the share of the calls that the target version may get: none if 0, all of them
	// if 1 and as long as it has upstreams. Slack is the number of calls that it may get
	// before that, from this host.
	Share float64
	Slack float64
	// LastResort says that the target version gets calls if the service has no other one.
	LastResort bool
	// Turn selects the upstreams of the target version that get the calls of a small share.
	Turn int
	// Refused are versions that get no calls while the service has upstreams of others.
	Refused []string
}

// Place is the place of a host among all hosts.
type Place struct {
	Running int  // hosts, including this one
	Rank    int  // of this host, for the service
	Alone   bool // no other host is known, running or not
}

// Split returns the division for this host. It returns false if the order changes nothing.
func (r *Rollout) Split(now time.Time, p Place) (Split, bool) {
	if r.order.Invalid != "" || r.order.Version == "" {
		return Split{}, false
	}
	s := Split{Run: r.run, Target: r.order.Version}
	switch r.stage {
	case Canary, Ramp:
		if !p.Alone && now.Sub(r.lastHeard) >= min(isolationTime, r.limits.RollbackTime/2) {
			return s, true
		}
		s.Share = canaryShare * r.limits.ExposureShare
		if r.stage == Ramp {
			s.Share = max(s.Share, rampShare)
		}
		if !r.joined || p.Alone {
			s.Slack = slackOf(canarySlack*r.limits.ExposureSlack, p)
		}
		s.Slack += fractionOf(p.Rank)
		s.Turn = int(now.Sub(r.start) / turnTime)
	case Full, Done:
		s.Share = 1
	case Rejected, Undone:
		// An order that was taken back may have completed for hosts that this one did not hear.
		s.LastResort = r.withdrawn
	}
	return s, true
}

// slackOf divides a number of calls by hosts. Hosts of the first ranks get one call more where
// the number can't be divided evenly.
func slackOf(calls float64, p Place) float64 {
	n, hosts := int(calls), max(p.Running, 1)
	slack := n / hosts
	if p.Rank < n%hosts {
		slack++
	}
	return float64(slack)
}

// fractionOf returns the fraction of a call with which the host of a rank begins, since few
// hosts would otherwise earn a whole call of a small share. The fractions are spread evenly, so
// that the sum of the whole calls is as if calls could be divided.
func fractionOf(rank int) float64 {
	_, fraction := math.Modf(float64(rank) / math.Phi)
	return fraction
}

// Describe returns the evidence of all hosts for logs.
func (r *Rollout) Describe() string {
	others, target := r.Totals()
	return fmt.Sprintf("target %d sends, %d failed, %d slow; others %d sends, %d failed, %d slow",
		target.Sends, target.Failed, target.Slow, others.Sends, others.Failed, others.Slow)
}
