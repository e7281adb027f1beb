package htentry

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htrollout"
	"hawthornturn/core/htselect"
	"hawthornturn/io/htgossip"
	"hawthornturn/io/htlog"
)

const (
	// rolloutCheckInterval is the time between two looks at the roll-outs that are under way.
	rolloutCheckInterval = 50 * time.Millisecond
	// Reports on roll-outs are sent at least every maxReportInterval, and if anything was
	// counted every minReportInterval, or reportIntervalPerHost times the number of hosts if
	// that is longer. Bad answers and new stages are reported at the next look.
	minReportInterval     = 100 * time.Millisecond
	maxReportInterval     = time.Second
	reportIntervalPerHost = 4 * time.Millisecond
	// maxReports bounds the reports in one message. The stages of orders that have ended take
	// turns in the messages.
	maxReports = 6
)

// rolloutState is the state of roll-outs on this host, guarded by Entry.mu.
type rolloutState struct {
	manager htrollout.Manager
	// early are stages that were fetched before the rows of their orders.
	early    []htrollout.Report
	statuses map[string]storedStatus // by service
	// statusesLost is set while the statuses of roll-outs that have ended are to be read too.
	statusesLost bool
	sent         map[string]sentReport // by service
	reported     time.Time             // when the last reports were sent
}

// sentReport is what the last report on a roll-out said.
type sentReport struct {
	order int64
	stage htrollout.Stage
	bad   uint32
	idle  bool // no calls at the other versions
}

func newRolloutState(limits htrollout.Limits, self htrollout.Process) rolloutState {
	return rolloutState{
		manager:  htrollout.NewManager(limits, self),
		statuses: map[string]storedStatus{},
		sent:     map[string]sentReport{},
	}
}

// adopt takes over stages that another host reports, also those of orders whose rows have been
// fetched with them and are not applied yet.
func (s *rolloutState) adopt(now time.Time, reports []htrollout.Report) {
	if len(reports) == 0 {
		return
	}
	s.early = reports
	s.manager.Adopt(now, reports)
}

// stages returns the stages of the roll-outs for a host that has just started.
func (s *rolloutState) stages(now time.Time) []htrollout.Report {
	reports := s.manager.Reports(now, math.MaxInt)
	for i := range reports {
		reports[i].Groups = nil
	}
	return reports
}

// adoptOrders takes over the declared orders. The caller holds e.mu.
func (e *Entry) adoptOrders(now time.Time, orders []htcatalog.Rollout) {
	s := &e.rollouts
	started := s.manager.SetOrders(now, orders, !e.tablesApplied.Load())
	for _, r := range started {
		o := r.Order()
		delete(s.statuses, o.Service)
		fields := logrus.Fields{
			htlog.FieldEvent: "rollout-ordered", "service": o.Service, "version": o.Version, "duration-ms": o.Duration.Milliseconds(), "order": o.Order,
		}
		if o.Invalid != "" {
			e.metrics.incrementCounter("hawthornturn_rollout_orders_invalid_total", o.Service, "")
			logrus.WithFields(fields).WithField("because", o.Invalid).Warn("order of a roll-out can't be carried out")
			continue
		}
		logrus.WithFields(fields).Info("roll-out ordered")
	}
	if len(started) > 0 {
		s.manager.Adopt(now, s.early)
		s.early = nil
	}
}

// notifyRollouts wakes manageRollouts. It does not block.
func (e *Entry) notifyRollouts() { wake(e.rolloutsWake) }

func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default: // a look that is pending sees the change
	}
}

// receiveRollouts takes over the reports of another host.
func (e *Entry) receiveRollouts(now time.Time, m *htgossip.Message) {
	e.mu.Lock()
	idle := e.rollouts.manager.Idle(now)
	e.rollouts.manager.Receive(now, htrollout.Process{Host: uint32(m.Origin), Incarnation: m.Incarnation}, m.Rollouts)
	e.mu.Unlock()
	if !idle {
		e.notifyRollouts()
	}
}

// manageRollouts carries out the roll-outs on this host until ctx ends. It sleeps while there
// is none to carry out.
func (e *Entry) manageRollouts(ctx context.Context) error {
	for {
		e.checkRollouts()
		e.mu.Lock()
		idle := e.rollouts.manager.Idle(e.timers.Now())
		e.mu.Unlock()
		if !idle {
			if err := sleep(ctx, rolloutCheckInterval); err != nil {
				return err
			}
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.rolloutsWake:
		}
	}
}

// checkRollouts counts, decides, applies the decisions to the choice of upstreams, and tells
// the other hosts.
func (e *Entry) checkRollouts() {
	now := e.timers.Now()
	e.mu.Lock()
	rollouts := e.rollouts.manager.Rollouts()
	e.mu.Unlock()
	counts := make([]htselect.VersionCounts, len(rollouts))
	evidence := make([]htrollout.Evidence, len(rollouts))
	if len(rollouts) > 0 {
		e.relay.WithSelector(func(s *htselect.Selector) {
			for i, r := range rollouts {
				o := r.Order()
				counts[i] = s.VersionCounts(now, o.Service, o.Version)
				evidence[i] = s.SplitEvidence(now, o.Service, r.Run())
			}
		})
	}
	e.mu.Lock()
	hosts := e.otherHosts(now)
	for i, r := range rollouts {
		r.RecordOwn(now, evidence[i], counts[i].OthersInFlight)
		r.Advance(now, e.rolloutView(r.Order().Service, counts[i], hosts))
		if before, changed := r.TakeStageChange(); changed {
			e.logStage(r, before)
		}
	}
	e.rollouts.manager.Forget(now)
	splits := e.splits(now)
	e.mu.Unlock()
	e.relay.WithSelector(func(s *htselect.Selector) { s.SetSplits(splits) })
	e.reportRollouts(now)
	wake(e.statusWake)
}

// splits returns how the calls of services are divided between versions. The caller holds e.mu.
func (e *Entry) splits(now time.Time) map[string]htrollout.Split {
	running, silent := e.group.Others(now)
	return e.rollouts.manager.Splits(now, func(service string) htrollout.Place {
		return htrollout.Place{
			Running: len(running) + 1, Rank: e.group.RankAll(xxhash.Sum64String(service)), Alone: len(running)+len(silent) == 0,
		}
	})
}

// otherHosts returns the other running hosts. The caller holds e.mu.
func (e *Entry) otherHosts(now time.Time) []uint32 {
	running, _ := e.group.Others(now)
	hosts := make([]uint32, 0, len(running))
	for _, m := range running {
		hosts = append(hosts, uint32(htgossip.PeerIDOf(m.Address.Addr())))
	}
	return hosts
}

// rolloutView returns what this host knows of a service. The caller holds e.mu.
func (e *Entry) rolloutView(service string, c htselect.VersionCounts, hosts []uint32) htrollout.View {
	v := htrollout.View{
		Target: c.Target, TargetWarm: c.TargetWarm, Others: c.Others, OthersInFlight: c.OthersInFlight, Hosts: hosts,
	}
	catalog := e.catalog.Load()
	v.Known = catalog.Service(service) != nil
	if catalog.Config == nil {
		return v
	}
	for i := range catalog.Config.Routes {
		route := &catalog.Config.Routes[i]
		for _, p := range route.Parts {
			if p.Service == service {
				v.Usual = max(v.Usual, route.Target)
			}
		}
	}
	return v
}

// logStage logs and counts a new stage of a roll-out. The caller holds e.mu.
func (e *Entry) logStage(r *htrollout.Rollout, before htrollout.Stage) {
	stage, reason := r.Stage()
	o := r.Order()
	others, target := r.Totals()
	fields := logrus.Fields{
		"service": o.Service, "version": o.Version, "order": o.Order, "before": before, "stage": stage, "because": reason,
		"target-sends": target.Sends, "target-failed": target.Failed, "target-slow": target.Slow,
		"other-sends": others.Sends, "other-failed": others.Failed, "other-slow": others.Slow,
	}
	e.metrics.incrementCounter("hawthornturn_rollout_stages_total", o.Service, `stage="`+stage.String()+`"`)
	switch stage {
	case htrollout.Rejected, htrollout.Undone:
		verdict := r.Verdict()
		fields[htlog.FieldEvent], fields["score"] = "rollout-rolled-back", int(verdict.Score)
		fields["group"], fields["group-sends"], fields["group-failed"], fields["group-slow"] = verdict.Group, verdict.Target.Sends, verdict.Target.Failed, verdict.Target.Slow
		logrus.WithFields(fields).Warn("roll-out rolled back; the version gets no calls")
	case htrollout.Done:
		fields[htlog.FieldEvent] = "rollout-completed"
		logrus.WithFields(fields).Info("roll-out completed")
	default:
		fields[htlog.FieldEvent] = "rollout-step"
		logrus.WithFields(fields).Info("roll-out goes on")
	}
}

// reportRollouts tells the other hosts of the roll-outs if that is due: at once of bad answers,
// new stages and the last call at the other versions, otherwise at intervals.
func (e *Entry) reportRollouts(now time.Time) {
	e.mu.Lock()
	s := &e.rollouts
	urgent := s.recordSent()
	due := false
	if !s.manager.Idle(now) {
		interval := max(minReportInterval, time.Duration(e.group.Size(now))*reportIntervalPerHost)
		due = now.Sub(s.reported) >= min(interval, maxReportInterval)
	}
	if urgent || due {
		s.reported = now
	}
	reports := s.manager.Reports(now, maxReports)
	e.mu.Unlock()
	switch {
	case urgent:
		m := e.newMessage()
		m.Rollouts = reports
		e.sendViaHub(m)
	case due:
		e.sendViaHub(e.newHeartbeat(routeViaHub))
	}
}

// recordSent records what is reported now, and reports whether that is urgent.
func (s *rolloutState) recordSent() bool {
	urgent := false
	services := map[string]bool{}
	for _, r := range s.manager.Rollouts() {
		o := r.Order()
		services[o.Service] = true
		stage, _ := r.Stage()
		next := sentReport{order: o.Order, stage: stage, bad: r.OwnBad(), idle: r.OwnIdle()}
		last := s.sent[o.Service]
		s.sent[o.Service] = next
		urgent = urgent || last.order != next.order || last.stage != next.stage || last.bad != next.bad ||
			stage == htrollout.Full && last.idle != next.idle
	}
	for service := range s.sent {
		if !services[service] {
			delete(s.sent, service)
		}
	}
	return urgent
}
