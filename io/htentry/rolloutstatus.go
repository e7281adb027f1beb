package htentry

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htrollout"
	"hawthornturn/io/htlog"
)

// statusRetryInterval is the time between attempts to write the status of a roll-out.
const statusRetryInterval = 500 * time.Millisecond

// storedStatus is the status of a service as it stands in the store.
type storedStatus struct {
	status  htrollout.Status
	version int64
}

// keepRolloutStatuses writes the status of each roll-out to the store while this host reads the
// store, until ctx ends. Two hosts may do so at the same time: a write is conditional on the
// status that its writer knows.
func (e *Entry) keepRolloutStatuses(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.statusWake:
		}
		for e.deps.RolloutStatuses != nil {
			r := e.nextStatus()
			if r == nil {
				break
			}
			err := e.keepStatus(ctx, r)
			if err == nil {
				continue
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			e.metrics.storeFailures.Add(1)
			logrus.WithFields(logrus.Fields{htlog.FieldEvent: "rollout-status-failed", "service": r.Order().Service}).
				WithError(err).Warn("status of a roll-out not written; trying again")
			if err := sleep(ctx, statusRetryInterval); err != nil {
				return err
			}
		}
	}
}

// nextStatus returns a roll-out whose status in the store is unknown or not what it should be,
// or nil if there is none or this host does not read the store.
func (e *Entry) nextStatus() *htrollout.Rollout {
	now := e.timers.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if reads, _ := e.group.ReadsStore(now); !reads || e.stopping.Load() {
		return nil
	}
	for _, r := range e.rollouts.manager.Rollouts() {
		stage, _ := r.Stage()
		stored, known := e.rollouts.statuses[r.Order().Service]
		if stage.Final() && !known && !e.rollouts.statusesLost {
			continue // the host that wrote it told this one
		}
		if !known || stored.status != r.Status(now) {
			return r
		}
	}
	e.rollouts.statusesLost = false
	return nil
}

// recheckRollouts has the statuses of all roll-outs read and, where they differ, written again.
// It is called when the store has come back from a copy, which may lack the newest ones. The caller
// holds e.mu.
func (e *Entry) recheckRollouts() {
	e.rollouts.manager.StoreRestored(e.timers.Now())
	e.rollouts.statuses = map[string]storedStatus{}
	e.rollouts.statusesLost = true
	wake(e.statusWake)
}

// keepStatus reads the status of a roll-out if it is unknown, and otherwise writes it.
func (e *Entry) keepStatus(ctx context.Context, r *htrollout.Rollout) error {
	e.mu.Lock()
	o := r.Order()
	stored, known := e.rollouts.statuses[o.Service]
	wanted := r.Status(e.timers.Now())
	e.mu.Unlock()
	e.metrics.storeCalls.Add(1)
	if !known {
		status, version, err := e.deps.RolloutStatuses.ReadStatus(ctx, o.Service)
		if err != nil {
			return err
		}
		e.recordStatus(r, storedStatus{status, version})
		return nil
	}
	version, err := e.deps.RolloutStatuses.WriteStatus(ctx, o.Service, wanted, stored.version)
	if err != nil {
		// The write may have been done, so that the next attempt begins by reading.
		e.mu.Lock()
		delete(e.rollouts.statuses, o.Service)
		e.mu.Unlock()
		if errors.Is(err, htrollout.ErrConflict) {
			return nil
		}
		return err
	}
	logrus.WithFields(logrus.Fields{htlog.FieldEvent: "rollout-status", "service": o.Service, "version": wanted.Target, "state": wanted.State}).
		Info("status of a roll-out written")
	e.recordStatus(r, storedStatus{wanted, version})
	return nil
}

// recordStatus records a status that stands in the store. A final one that was written after
// the order ends the roll-out, whoever wrote it.
func (e *Entry) recordStatus(r *htrollout.Rollout, s storedStatus) {
	now := e.timers.Now()
	o := r.Order()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rollouts.statuses[o.Service] = s
	before, _ := r.Stage()
	if before.Final() || !s.status.State.Final() || s.status.Target != o.Version || s.version <= o.Order {
		return
	}
	r.Confirm(now, s.status.State)
	e.notifyRollouts()
}
