package htlab

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Load sends calls on a fixed schedule, whether or not earlier ones have been
// answered, and counts how they end.
type Load struct {
	settings LoadSettings
	sender   *sender
	hosts    *hosts
	run      string // prefix of the request ids, so that two loads share none
	tally    *tally
	// Progress, if set, is called with the number of arrivals after each one.
	Progress func(arrivals int)
}

// NewLoad returns a load that has not started. It returns an error if the settings
// do not pass their check.
func NewLoad(s LoadSettings) (*Load, error) {
	s = s.withDefaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	id, err := uuid.NewRandom()
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	return &Load{
		settings: s,
		sender:   newSender(s),
		hosts:    newHosts(s.Hosts),
		run:      id.String()[:8],
		tally:    newTally(s.Timeout + s.Grace),
	}, nil
}

// Run sends the calls, waits until all have ended, and compares the answers with
// the upstreams' records. When ctx ends it stops sending; calls under way still
// end by themselves.
func (l *Load) Run(ctx context.Context) (Result, error) {
	// Second copies are sent after ctx has ended too, and need a host that is ready.
	watching, stopWatching := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWatching()
	if l.settings.ReadyEvery > 0 {
		l.hosts.check(ctx)
		go l.hosts.watch(watching, l.settings.ReadyEvery)
	}
	elapsed, err := l.sendAll(ctx)
	if err != nil {
		return Result{}, err
	}
	l.sender.client.CloseIdleConnections()
	result := l.tally.result(l.settings, elapsed)
	if len(l.settings.Upstreams) == 0 {
		return result, nil
	}
	time.Sleep(l.settings.Settle)
	records, unread := readRecords(context.WithoutCancel(ctx), l.settings.Upstreams)
	result.Check = compare(l.tally.verdicts, records, l.settings.ProbesPerSec)
	result.Check.Unread = unread
	return result, nil
}

// sendAll sends every arrival at its time and returns how long the sending took.
func (l *Load) sendAll(ctx context.Context) (time.Duration, error) {
	plan := newSchedule(l.settings)
	start := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		a, ok := plan.advance()
		if !ok || !sleepUntil(ctx, start.Add(a.at)) {
			return time.Since(start), nil
		}
		c, err := l.call(a, start)
		if err != nil {
			return 0, err
		}
		host := l.hosts.pick("")
		l.spawn(ctx, &wg, c, host)
		if a.again {
			l.spawnAgain(ctx, &wg, c, host, a.gap)
		}
		if l.Progress != nil {
			l.Progress(a.index + 1)
		}
	}
}

func (l *Load) call(a arrival, start time.Time) (call, error) {
	c := call{
		kind:      a.kind,
		requestID: fmt.Sprintf("%s-%d", l.run, a.index),
		caller:    fmt.Sprintf("caller-%d", a.caller),
		intended:  start.Add(a.at),
	}
	if a.kind == Lookup {
		return c, nil
	}
	key, err := uuid.NewV7()
	if err != nil {
		return call{}, fmt.Errorf("load: %w", err)
	}
	c.key = key.String()
	c.body = fill(c.requestID, l.settings.BodyBytes)
	return c, nil
}

// fill returns n bytes that differ between requests.
func fill(requestID string, n int) []byte {
	pattern := []byte(requestID + " ")
	return bytes.Repeat(pattern, n/len(pattern)+1)[:n]
}

// spawn sends one copy of a call in the background.
func (l *Load) spawn(ctx context.Context, wg *sync.WaitGroup, c call, host string) {
	ctx = context.WithoutCancel(ctx)
	wg.Go(func() { l.tally.add(l.sender.send(ctx, c, host)) })
}

// spawnAgain sends the second copy of a call after a gap, through another host than
// first.
func (l *Load) spawnAgain(ctx context.Context, wg *sync.WaitGroup, c call, first string, gap time.Duration) {
	ctx = context.WithoutCancel(ctx)
	c.again = true
	c.intended = c.intended.Add(gap)
	wg.Go(func() {
		sleepUntil(ctx, c.intended)
		l.tally.add(l.sender.send(ctx, c, l.hosts.pick(first)))
	})
}

// sleepUntil reports false if ctx ended before the time.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
