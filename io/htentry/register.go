package htentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htgroup"
)

const (
	// registerRetryInterval is the time between attempts to register.
	registerRetryInterval = time.Second
	// registerSpread is the time over which hosts that learn of a new era of the store at the
	// same moment spread their calls to it.
	registerSpread = 2 * time.Second
)

// registerWithRetry registers this host and reads the rows of the others, and does so again in
// each era of the store. It retries until that succeeds, until ctx ends.
func (e *Entry) registerWithRetry(ctx context.Context) error {
	for {
		_, eraChanged := e.StoreEra()
		err := e.register(ctx)
		if err == nil {
			e.registered = true
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-eraChanged:
			}
			if err := sleep(ctx, rand.N(registerSpread)); err != nil {
				return err
			}
			continue
		}
		logrus.WithFields(logrus.Fields{"event": "not-registered"}).WithError(err).Warn("registering in the store failed; retrying")
		if err := sleep(ctx, registerRetryInterval); err != nil {
			return err
		}
	}
}

// register writes this host's row before it reads the others', so that of two hosts that
// start together at least one learns of the other. A restarted host finds its row unchanged
// and writes nothing: after a power failure all hosts start at once, and the store takes few
// writes a second.
func (e *Entry) register(ctx context.Context) error {
	if !e.settings.FirstStart || e.registered {
		members, err := e.listMembers(ctx)
		if err != nil || slices.ContainsFunc(members, e.settings.Self.SameHost) {
			return err
		}
	}
	e.metrics.storeCalls.Add(1)
	writeErr := e.deps.Directory.Register(ctx, e.settings.Self)
	_, err := e.listMembers(ctx)
	return errors.Join(writeErr, err)
}

// listMembers reads the rows of all hosts, adds them to the group and pings those that are
// silent.
func (e *Entry) listMembers(ctx context.Context) ([]htgroup.Member, error) {
	e.metrics.storeCalls.Add(1)
	members, err := e.deps.Directory.Members(ctx)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	for _, m := range members {
		e.group.Add(m)
	}
	e.mu.Unlock()
	e.pingSilentHosts()
	return members, nil
}
