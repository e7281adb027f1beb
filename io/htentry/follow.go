package htentry

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htgroup"
	"hawthornturn/core/htmirror"
	"hawthornturn/io/htgossip"
)

const (
	// LongPollTimeout is the length of a long poll. A reader that is cut off without
	// notice is found out after it; the bound on configuration is 2 s.
	LongPollTimeout = 900 * time.Millisecond
	// gatherPause is the time after a change before the next poll, so that changes that
	// come one after the other cost one call together. Upstreams register and turn warm
	// in numbers; the bound on changes is 2 s.
	gatherPause = 150 * time.Millisecond
	// dutyPeriod is the time between looks at who reads the store.
	dutyPeriod = 100 * time.Millisecond
	// retryPeriod is the time between tries of the first hosts in rank while the store
	// does not answer. Each call is paid for, so later ones wait retryStep longer for each
	// rank, and all wait retrySlow while another host is served.
	retryPeriod = 500 * time.Millisecond
	retryStep   = 250 * time.Millisecond
	retrySlow   = 2 * time.Second
	retryFirst  = 3
	// directoryRetry is the time between tries to register.
	directoryRetry = time.Second
	// maxPushed is the size in bytes of rows up to which they are sent in one message.
	maxPushed = 900
	// maxUpdates is the number of messages up to which changed rows are sent. More of them
	// are fetched.
	maxUpdates = 16
	// joinWait is how long a host waits for rows of others before it reads the store.
	joinWait = 150 * time.Millisecond
)

// follow reads a table of the store while that is this host's duty.
func (e *Entry) follow(ctx context.Context, t htmirror.Table) error {
	reading := false
	duty := false
	wait := joinWait
	for {
		if err := sleep(ctx, wait); err != nil {
			return err
		}
		wait = dutyPeriod
		e.mu.Lock()
		reads, rank := e.group.ReadsStore(e.timers.Now())
		e.mu.Unlock()
		reads = reads && !e.stopping.Load()
		if reads != duty {
			duty = reads
			logrus.WithFields(logrus.Fields{"event": "reader-changed", "table": t, "reads": reads, "rank": rank}).Info("duty of reading the store")
		}
		if !reads {
			reading = false
			continue
		}
		err := e.read(ctx, t, reading)
		switch {
		case err == nil:
			reading = true
			wait = 0
		case ctx.Err() != nil:
			return ctx.Err()
		default:
			reading = false
			wait = e.storeFailed(t, rank, err)
		}
	}
}

// read makes one call to the store and applies what it returns. The first call of a
// reader does not wait for a change, so that others soon learn that it is served.
func (e *Entry) read(ctx context.Context, t htmirror.Table, reading bool) error {
	e.mu.Lock()
	after := e.mirror.Cursor(t)
	e.mu.Unlock()
	if after == 0 {
		return e.list(ctx, t)
	}
	wait := LongPollTimeout
	if !reading {
		wait = 0
	}
	e.metrics.storeCalls.Add(1)
	delta, err := e.ports.Store.Follow(ctx, t, after, wait)
	if errors.Is(err, htmirror.ErrCompacted) {
		logrus.WithFields(logrus.Fields{"event": "history-lost", "table": t, "after": after}).Warn("the store dropped its history; reading the table anew")
		return e.list(ctx, t)
	}
	if err != nil {
		return err
	}
	if e.storeAnswered(t, func(now time.Time) bool { return e.mirror.Apply(now, delta) }) {
		return sleep(ctx, gatherPause)
	}
	return nil
}

func (e *Entry) list(ctx context.Context, t htmirror.Table) error {
	e.metrics.storeCalls.Add(1)
	rows, version, err := e.ports.Store.List(ctx, t)
	if err != nil {
		return err
	}
	e.storeAnswered(t, func(now time.Time) bool { return e.mirror.Replace(now, t, version, rows) })
	return nil
}

// storeAnswered applies an answer of the store and tells other hosts. It reports whether
// anything changed.
func (e *Entry) storeAnswered(t htmirror.Table, apply func(now time.Time) bool) bool {
	now := e.timers.Now()
	e.mu.Lock()
	regained := e.group.StoreAge(now) < 0
	e.group.RecordStoreResponse(now)
	e.mirror.RecordContact(now)
	before := e.mirror.Versions()[t]
	changed := apply(now)
	var updates []htmirror.Update
	if changed {
		updates = e.mirror.Since(t, before).Split(before, maxPushed)
	}
	e.mu.Unlock()
	if changed || !e.complete.Load() { // a table without rows is complete too
		e.rowsChanged()
	}
	if before > 0 && len(updates) <= maxUpdates {
		e.push(updates)
	}
	if regained {
		logrus.WithFields(logrus.Fields{"event": "store-regained"}).Info("the store serves this host")
	}
	// Also an answer without news is told: others take up reading if they hear of none.
	e.beatAll()
	return changed
}

// storeFailed returns how long to wait before the next try.
func (e *Entry) storeFailed(t htmirror.Table, rank int, err error) time.Duration {
	now := e.timers.Now()
	e.mu.Lock()
	lost := e.group.StoreAge(now) >= 0
	e.group.RecordStoreRefusal()
	served := now.Sub(e.group.LastStoreContact(now)) < htgroup.ReaderTimeout
	e.mu.Unlock()
	e.metrics.storeFailures.Add(1)
	if lost {
		logrus.WithFields(logrus.Fields{"event": "store-lost", "table": t}).WithError(err).Warn("the store does not serve this host")
		e.beatAll()
	}
	wait := retryPeriod + time.Duration(max(0, rank+1-retryFirst))*retryStep
	if served {
		wait = max(wait, retrySlow)
	}
	return wait
}

// push sends changed rows to the other hosts by way of the hub, so that few have to fetch
// them.
func (e *Entry) push(updates []htmirror.Update) {
	for i := range updates {
		m := e.newMessage()
		m.Update = &updates[i]
		e.spread(m)
	}
}

// pushed applies rows that another host has sent. Rows after a gap are fetched later.
func (e *Entry) pushed(now time.Time, u *htmirror.Update) {
	e.mu.Lock()
	changed := e.mirror.Update(now, u)
	e.mu.Unlock()
	if changed {
		e.rowsChanged()
	}
}

// catchUp takes rows from hosts that have newer ones.
func (e *Entry) catchUp(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case from := <-e.behind:
			e.fetch(ctx, from)
		}
	}
}

func (e *Entry) fetch(ctx context.Context, from netip.AddrPort) {
	e.mu.Lock()
	after := e.mirror.Versions()
	e.mu.Unlock()
	rows, err := e.sync.Fetch(ctx, from, after)
	if err != nil {
		logrus.WithFields(logrus.Fields{"event": "rows-not-fetched", "from": from}).WithError(err).Warn("rows of another host not read")
		return
	}
	if len(rows.Crashes) > 0 {
		e.relay.MergeCrashes(rows.Crashes)
	}
	now := e.timers.Now()
	e.mu.Lock()
	for _, m := range rows.Members {
		e.group.Add(m)
	}
	changed := false
	for _, d := range rows.Deltas {
		if e.mirror.Apply(now, d) {
			changed = true
		}
	}
	e.mu.Unlock()
	if len(rows.Members) > 0 {
		// Their next beats may be seconds away, and this host's part of the bounds follows
		// from how many it has heard.
		e.beatQuiet()
	}
	if changed || !e.complete.Load() {
		e.rowsChanged()
	}
	if changed {
		e.beatNear()
	}
}

// rowsSince answers a host that is behind. One that has just started also gets the members
// and the crash counts.
func (e *Entry) rowsSince(after htmirror.Versions) htgossip.Rows {
	var rows htgossip.Rows
	fresh := after == (htmirror.Versions{})
	if fresh {
		rows.Crashes = e.relay.AllCrashes() // without e.mu: the relay asks the group
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for t, v := range after {
		rows.Deltas = append(rows.Deltas, e.mirror.Since(htmirror.Table(t), v))
	}
	if fresh {
		running, quiet := e.group.Others(e.timers.Now())
		rows.Members = append(append([]htgroup.Member{e.settings.Self}, running...), quiet...)
	}
	return rows
}

// join registers this host and learns of the others.
func (e *Entry) join(ctx context.Context) error {
	for {
		err := e.register(ctx)
		if err == nil {
			<-ctx.Done()
			return ctx.Err()
		}
		logrus.WithFields(logrus.Fields{"event": "not-registered"}).WithError(err).Warn("host not registered in the store")
		if err := sleep(ctx, directoryRetry); err != nil {
			return err
		}
	}
}

// register writes this host's row before it reads the others', so that of two hosts
// that start together at least one learns of the other. A host that starts again finds its
// row as it is and writes nothing: after a loss of power all hosts start at once, and the
// store takes few writes a second.
func (e *Entry) register(ctx context.Context) error {
	if !e.settings.FirstStart {
		members, err := e.members(ctx)
		if err != nil || slices.ContainsFunc(members, e.settings.Self.SameHost) {
			return err
		}
	}
	e.metrics.storeCalls.Add(1)
	written := e.ports.Directory.Register(ctx, e.settings.Self)
	_, err := e.members(ctx)
	return errors.Join(written, err)
}

// members reads the rows of all hosts and greets those that are silent.
func (e *Entry) members(ctx context.Context) ([]htgroup.Member, error) {
	e.metrics.storeCalls.Add(1)
	members, err := e.ports.Directory.Members(ctx)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	for _, m := range members {
		e.group.Add(m)
	}
	e.mu.Unlock()
	e.beatQuiet()
	return members, nil
}

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
