package hthost

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htassert"
)

// drainPollInterval is the time between checks whether calls in flight have ended.
const drainPollInterval = 10 * time.Millisecond

// stop performs the planned stop: first readiness checks fail, then the shards are handed
// over, then the calls in flight end. The listeners for peers and operators close only after
// that. It returns an error if calls were cut.
func (h *Host) stop() error {
	h.stopping.Store(true)
	h.log("stop-announced").Info("planned stop started; /ready fails from now on")
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.StopNotice+h.settings.DrainTimeout)
	defer cancel()
	go func() {
		select {
		case <-h.stopNow:
			cancel()
		case <-ctx.Done():
		}
	}()
	select {
	case <-time.After(h.settings.StopNotice):
	case <-ctx.Done():
	}
	leaveErr := h.manager.Leave(ctx)
	if leaveErr != nil {
		h.log("leave-incomplete").WithError(leaveErr).Warn("leaving the view or handing over the shards did not complete")
	}
	callerErr := h.callerServer.Shutdown(ctx)
	h.callers.AwaitClosed(ctx)
	peerErr := h.drain(ctx)
	select {
	case <-h.stopNow:
		return ErrStoppedNow
	default:
	}
	cutErr := errors.Join(callerErr, peerErr)
	htassert.That(cutErr == nil, htassert.PlannedStop, "host %s: %v", h.settings.Name, cutErr)
	h.log("stopped").Info("stopped")
	if cutErr != nil {
		return fmt.Errorf("calls were cut: %w", cutErr)
	}
	return nil
}

// drain waits until the calls that other hosts forwarded to this one have ended, keyed calls
// without a waiting caller have ended, and their results are reported to the new owners of the
// keys. It returns an error if ctx ends first.
func (h *Host) drain(ctx context.Context) error {
	tick := h.timers.Subscribe("drain", drainPollInterval)
	defer tick.Stop()
	for {
		forwarded, keyed, reports := h.peerServer.InFlight(), h.keyOwner.Running(), h.reporter.Pending()
		if forwarded == 0 && keyed == 0 && reports == 0 {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("%d forwarded and %d keyed calls in flight, %d reports to send: %w", forwarded, keyed, reports, ctx.Err())
		}
	}
}

func (h *Host) log(event string) *logrus.Entry {
	return logrus.WithFields(logrus.Fields{"event": event, "host": h.settings.Name})
}
