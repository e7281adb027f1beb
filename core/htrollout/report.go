package htrollout

import (
	"errors"
	"fmt"
	"time"

	"hawthornturn/core/htcatalog"
)

// Process identifies one run of a host's program: its counts begin at zero.
type Process struct {
	Host        uint32
	Incarnation uint32
}

// Report is what a host tells the others of a roll-out: all that it has counted since the
// order, so that a later report replaces the earlier ones, and lost ones do no harm.
type Report struct {
	Service string `cbor:"1,keyasint"`
	Order   int64  `cbor:"2,keyasint"`
	Stage   Stage  `cbor:"3,keyasint"`
	AgeMS   int64  `cbor:"4,keyasint"` // time since the order became known, in ms
	// OthersInFlight is the number of calls that the host has in flight at upstreams of the
	// other versions.
	OthersInFlight uint32       `cbor:"5,keyasint,omitempty"`
	Groups         []GroupTally `cbor:"6,keyasint,omitempty"`
}

// ErrInvalidReport means that a report has values out of bounds.
var ErrInvalidReport = errors.New("invalid report on a roll-out")

// Validate returns an error that wraps ErrInvalidReport if a value is out of bounds.
func (r *Report) Validate() error {
	if r.Stage < Canary || r.Stage > Done || r.AgeMS < 0 || r.AgeMS > (24*time.Hour).Milliseconds() || r.Order < 0 {
		return fmt.Errorf("%w: stage %d, age %d ms, order %d", ErrInvalidReport, r.Stage, r.AgeMS, r.Order)
	}
	for _, g := range r.Groups {
		for _, t := range []Tally{g.Others, g.Target} {
			if t.Failed > t.Sends || t.Slow > t.Sends {
				return fmt.Errorf("%w: more bad answers than sends", ErrInvalidReport)
			}
		}
	}
	return nil
}

// heard is the newest report of a host and when it came.
type heard struct {
	evidence Evidence
	stage    Stage
	inFlight uint32
	at       time.Time
}

// Receive takes over a report of another host. Reports must come in the order in which their
// process sent them; those on other orders are ignored.
func (r *Rollout) Receive(now time.Time, from Process, report *Report) {
	if report.Order != r.order.Order {
		return
	}
	if !report.Stage.Final() {
		r.record(now, from, heard{
			evidence: unpack(report.Groups), stage: report.Stage, inFlight: report.OthersInFlight, at: now,
		})
	}
	r.Adopt(now, report)
}

// Adopt takes over the stage and the age that another host reports, but not its counts.
func (r *Rollout) Adopt(now time.Time, report *Report) {
	if report.Order != r.order.Order {
		return
	}
	if start := now.Add(-time.Duration(report.AgeMS) * time.Millisecond); start.Before(r.start) {
		r.start = start
	}
	r.lastHeard = now
	if report.Stage > r.stage {
		r.setStage(now, report.Stage, "as another host reports")
	}
}

// RecordOwn takes over what this host has counted since the order.
func (r *Rollout) RecordOwn(now time.Time, e Evidence, othersInFlight int) {
	r.record(now, r.self, heard{evidence: e, stage: r.stage, inFlight: uint32(max(0, othersInFlight)), at: now})
}

func (r *Rollout) record(now time.Time, from Process, h heard) {
	before := r.hosts[from]
	for g := range h.evidence {
		var added [sides]Tally
		for s := range added {
			added[s] = h.evidence[g][s].since(before.evidence[g][s])
			if added[s].Sends == 0 {
				h.evidence[g][s] = before.evidence[g][s]
			}
		}
		if added != ([sides]Tally{}) {
			r.judge.Add(now, g, added)
		}
	}
	r.hosts[from] = h
}

// Report returns what this host tells the others. The counts no longer matter once the order
// has ended.
func (r *Rollout) Report(now time.Time) Report {
	report := Report{Service: r.order.Service, Order: r.order.Order, Stage: r.stage, AgeMS: now.Sub(r.start).Milliseconds()}
	if !r.stage.Final() {
		own := r.hosts[r.self]
		report.OthersInFlight, report.Groups = own.inFlight, own.evidence.pack()
	}
	return report
}

// OwnBad returns the number of bad answers of the target version that this host has seen.
func (r *Rollout) OwnBad() uint32 {
	own := r.hosts[r.self]
	t := own.evidence.Total(Target)
	return t.Failed + t.Slow
}

// OwnIdle reports whether this host has no call in flight at upstreams of other versions.
func (r *Rollout) OwnIdle() bool { return r.hosts[r.self].inFlight == 0 }

// Totals returns the evidence of all hosts together.
func (r *Rollout) Totals() (others, target Tally) {
	for _, h := range r.hosts {
		others = others.plus(h.evidence.Total(Others))
		target = target.plus(h.evidence.Total(Target))
	}
	return others, target
}

// Order returns the order that is carried out.
func (r *Rollout) Order() htcatalog.Rollout { return r.order }
