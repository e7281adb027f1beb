package htentry

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htgroup"
	"hawthornturn/core/htmirror"
	"hawthornturn/core/htselect"
	"hawthornturn/io/htgossip"
)

const (
	// LongPollTimeout is the length of a long poll. A reader that loses its connection without
	// an error is detected only after it; configuration must take effect within 2 s.
	LongPollTimeout = 900 * time.Millisecond
	// pollPause is the time after a change before the next poll, so that changes in quick
	// succession cost one call together. Upstreams register and warm up in large numbers;
	// changes must take effect within 2 s.
	pollPause = 150 * time.Millisecond
	// readerCheckInterval is the time between checks whether this host is a reader of the store.
	readerCheckInterval = 100 * time.Millisecond
	// retryInterval is the time between calls to a store that does not answer, for the first
	// fastRetryRanks hosts in the ranking of readers of the store (htgroup.Group.ReadsStore).
	// Each call to the store is billed, so hosts of later ranks wait retryRankStep longer for
	// each rank, and all wait at least servedRetryInterval while the store answers another host.
	retryInterval       = 500 * time.Millisecond
	retryRankStep       = 250 * time.Millisecond
	servedRetryInterval = 2 * time.Second
	fastRetryRanks      = 3
	// maxUpdateBytes bounds the size in bytes of the rows in one message.
	maxUpdateBytes = 900
	// maxPushedUpdates is the number of messages up to which changed rows are pushed. Other
	// hosts fetch larger changes.
	maxPushedUpdates = 16
	// firstReadDelay is how long a starting host waits for rows of other hosts before it may
	// read the store.
	firstReadDelay = 150 * time.Millisecond
)

// followTable reads a table of the store while this host is a reader, until ctx ends.
func (e *Entry) followTable(ctx context.Context, t htmirror.Table) error {
	reading := false
	reader := false
	failedDuringOutage := false // the last call
	wait := firstReadDelay
	for {
		if err := sleep(ctx, wait); err != nil {
			return err
		}
		wait = readerCheckInterval
		e.mu.Lock()
		shouldRead, rank := e.group.ReadsStore(e.timers.Now())
		e.mu.Unlock()
		shouldRead = shouldRead && !e.stopping.Load()
		if shouldRead != reader {
			reader = shouldRead
			logrus.WithFields(logrus.Fields{"event": "reader-changed", "table": t, "reads": shouldRead, "rank": rank}).Info("host starts or stops reading the store")
		}
		if !shouldRead {
			reading = false
			continue
		}
		sent := e.timers.Now()
		err := e.pollStore(ctx, t, reading)
		switch {
		case err == nil:
			reading, failedDuringOutage = true, false
			wait = 0
		case ctx.Err() != nil:
			return ctx.Err()
		case !failedDuringOutage && e.storeAnsweredSince(sent):
			// The call was lost in an outage that has ended.
			reading, failedDuringOutage = false, true
		default:
			reading, failedDuringOutage = false, false
			wait = e.handleStoreFailure(t, rank, err)
		}
	}
}

// pollStore makes one call to the store and applies what it returns. The first call of a
// reader does not wait for a change, so that other hosts soon learn that the store answers
// it.
func (e *Entry) pollStore(ctx context.Context, t htmirror.Table, reading bool) error {
	e.mu.Lock()
	era, after := e.mirror.Era(), e.mirror.Cursor(t)
	e.mu.Unlock()
	if after == 0 {
		return e.listTable(ctx, t)
	}
	wait := LongPollTimeout
	if !reading {
		wait = 0
	}
	e.metrics.storeCalls.Add(1)
	delta, err := e.deps.Store.Follow(ctx, t, after, wait)
	if errors.Is(err, htmirror.ErrCompacted) {
		logrus.WithFields(logrus.Fields{"event": "history-lost", "table": t, "after": after}).Warn("history of the store was compacted; listing the whole table")
		return e.listTable(ctx, t)
	}
	if err != nil {
		return err
	}
	if delta.Era > era {
		return e.listTable(ctx, t)
	}
	changed, err := e.handleStoreResponse(delta, e.mirror.Apply)
	if changed {
		return sleep(ctx, pollPause)
	}
	return err
}

func (e *Entry) listTable(ctx context.Context, t htmirror.Table) error {
	e.metrics.storeCalls.Add(1)
	listing, err := e.deps.Store.List(ctx, t)
	if err != nil {
		return err
	}
	if _, err := e.handleStoreResponse(listing, e.mirror.Replace); err != nil {
		return err
	}
	if listing.Version == 0 {
		// An empty store has no version to follow.
		return sleep(ctx, LongPollTimeout)
	}
	return nil
}

// handleStoreResponse applies a response of the store and sends the changed rows and a
// heartbeat to the other hosts. It reports whether anything changed. It returns errEarlierEra,
// and does nothing, if the response is of an earlier era.
func (e *Entry) handleStoreResponse(response htmirror.Delta, apply func(time.Time, htmirror.Delta) bool) (changed bool, err error) {
	now, t := e.timers.Now(), response.Table
	e.mu.Lock()
	position := e.mirror.Position()
	if response.Era < position.Era {
		e.mu.Unlock()
		return false, errEarlierEra
	}
	firstResponse := e.group.StoreAge(now) < 0 // since the start or since the store was lost
	e.group.RecordStoreResponse(now)
	logOutage(e.mirror.RecordContact(now), "own")
	before := position.Versions[t]
	changed = apply(now, response)
	e.recordEra(position)
	if e.mirror.Era() != position.Era {
		before = 0
	}
	// The versions may grow without a change here, by rows that this host had from a list.
	updates := e.mirror.Since(now, t, before).Split(before, maxUpdateBytes)
	e.mu.Unlock()
	if changed || !e.tablesApplied.Load() { // a table without rows was read too
		e.notifyRowsChanged()
	}
	if before > 0 && len(updates) <= maxPushedUpdates {
		e.pushRows(updates)
	}
	if firstResponse {
		logrus.WithFields(logrus.Fields{"event": "store-regained"}).Info("the store answers this host")
	}
	// A response without changes is announced too, since other hosts start to read if they
	// learn of none.
	e.sendAllHeartbeats()
	return changed, nil
}

// logOutage logs that a response of the store ended an outage, unless outage is zero. The
// response was to this host ("own") or to another one ("other").
func logOutage(outage time.Duration, served string) {
	if outage > 0 {
		logrus.WithFields(logrus.Fields{"event": "store-outage", "served": served, "gap-ms": outage.Milliseconds()}).
			Warn("no host was known to be served by the store; upstreams whose entries are missing now stay in use for a moment")
	}
}

// storeAnsweredSince reports whether the store has answered a call of this host, for any table, since
// a time.
func (e *Entry) storeAnsweredSince(sent time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timers.Now()
	age := e.group.StoreAge(now)
	return age >= 0 && now.Add(-age).After(sent)
}

// handleStoreFailure records a failed call to the store and returns how long to wait before
// the next one.
func (e *Entry) handleStoreFailure(t htmirror.Table, rank int, err error) time.Duration {
	now := e.timers.Now()
	e.mu.Lock()
	lost := e.group.StoreAge(now) >= 0
	e.group.RecordStoreRefusal()
	served := now.Sub(e.group.LastStoreContact(now)) < htgroup.ReaderTimeout
	e.mu.Unlock()
	e.metrics.storeFailures.Add(1)
	if lost {
		logrus.WithFields(logrus.Fields{"event": "store-lost", "table": t}).WithError(err).Warn("the store does not answer this host")
		e.sendAllHeartbeats()
	}
	wait := retryInterval + time.Duration(max(0, rank+1-fastRetryRanks))*retryRankStep
	if served {
		wait = max(wait, servedRetryInterval)
	}
	return wait
}

// pushRows sends changed rows to the other hosts via the hub, so that few have to fetch them.
func (e *Entry) pushRows(updates []htmirror.Update) {
	for i := range updates {
		m := e.newMessage()
		m.Update = &updates[i]
		e.sendViaHub(m)
	}
}

// applyPushedRows applies rows that another host has pushed. Rows after a gap are not applied
// but fetched later.
func (e *Entry) applyPushedRows(now time.Time, u *htmirror.Update) {
	e.mu.Lock()
	changed, outage := e.mirror.Update(now, u)
	logOutage(outage, "other")
	e.mu.Unlock()
	if changed {
		e.notifyRowsChanged()
	}
}

// fetchMissingRows fetches rows from hosts that have newer ones, until ctx ends.
func (e *Entry) fetchMissingRows(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case from := <-e.fetchSources:
			e.fetchRows(ctx, from)
		}
	}
}

func (e *Entry) fetchRows(ctx context.Context, from netip.AddrPort) {
	e.mu.Lock()
	after := e.mirror.Position()
	e.mu.Unlock()
	rows, err := e.rowClient.Fetch(ctx, from, after)
	if err != nil {
		logrus.WithFields(logrus.Fields{"event": "rows-not-fetched", "from": from}).WithError(err).Warn("fetching rows from another host failed")
		return
	}
	if len(rows.Crashes) > 0 {
		e.relay.MergeCrashes(rows.Crashes)
	}
	for _, of := range rows.Leaving {
		e.relay.RecordLeaving(htselect.Incarnation{Upstream: of.Upstream, Started: of.Started})
	}
	now := e.timers.Now()
	e.mu.Lock()
	for _, m := range rows.Members {
		e.group.Add(m)
	}
	changed, before := false, e.mirror.Position()
	if len(rows.Deltas) > 0 {
		e.mirror.MergeCarried(now, rows.Deltas[0].Era, rows.Carried)
	}
	for _, d := range rows.Deltas {
		deltaChanged, outage := e.mirror.Merge(now, d)
		logOutage(outage, "other")
		changed = changed || deltaChanged
	}
	e.recordEra(before)
	newer := before.Behind(e.mirror.Position())
	e.rollouts.adopt(now, rows.Rollouts)
	e.mu.Unlock()
	if len(rows.Members) > 0 {
		// Their next heartbeats may be seconds away, and this host's share of the limits over
		// all hosts depends on how many of them it counts as running, which requires a message
		// from each.
		e.pingSilentHosts()
	}
	if changed || !e.tablesApplied.Load() {
		e.notifyRowsChanged()
	}
	if newer {
		e.sendDomainHeartbeat()
	}
}

// rowsSince returns the rows that changed after a position, for a host that is behind: all rows
// if it is in an earlier era of the store. A host that has just started also gets the members,
// the crash counts and the upstreams that announced their leaving.
func (e *Entry) rowsSince(after htmirror.Position) htgossip.Rows {
	var rows htgossip.Rows
	starting := after == (htmirror.Position{})
	if starting {
		// e.mu is not held, since the relay locks it to read the group.
		rows.Crashes = e.relay.AllCrashes()
		e.relay.WithSelector(func(s *htselect.Selector) {
			for _, of := range s.Leaving() {
				rows.Leaving = append(rows.Leaving, htgossip.Incarnation{Upstream: of.Upstream, Started: of.Started})
			}
		})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now, era := e.timers.Now(), e.mirror.Era()
	if after.Era > era {
		return rows
	}
	rows.Carried = e.mirror.Carried(now, after)
	for t, v := range after.Versions {
		if after.Era < era {
			v = 0
		}
		rows.Deltas = append(rows.Deltas, e.mirror.Since(now, htmirror.Table(t), v))
	}
	if starting {
		running, silent := e.group.Others(now)
		rows.Members = append(append([]htgroup.Member{e.settings.Self}, running...), silent...)
		rows.Rollouts = e.rollouts.stages(now)
	}
	return rows
}

// sleep waits for d and returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
