package htlab

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Load is an open-loop load generator: it sends calls on a fixed schedule, whether or
// not earlier calls have ended, and counts their outcomes.
type Load struct {
	settings  LoadSettings
	sender    *sender
	hosts     *hostPicker
	idPrefix  string // prefix of the request ids, which makes them unique across loads
	collector *resultCollector
	// Progress, if set, is called with the number of arrivals after each one.
	Progress func(arrivals int)
}

// NewLoad returns a load that has not started. It returns an error if the settings
// are invalid.
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
		settings:  s,
		sender:    newSender(s),
		hosts:     newHostPicker(s.Hosts),
		idPrefix:  id.String()[:8],
		collector: newResultCollector(s.Timeout + s.Grace),
	}, nil
}

// Run sends the calls, waits until all have ended, and compares the responses with
// the upstreams' records. When ctx ends, Run schedules no more calls; in-flight calls
// are not canceled, and second copies of bookings are still sent.
func (l *Load) Run(ctx context.Context) (Result, error) {
	// Second copies are also sent after ctx has ended, and need a ready host.
	watching, stopWatching := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWatching()
	if l.settings.ReadyEvery > 0 {
		l.hosts.checkAll(ctx)
		go l.hosts.watch(watching, l.settings.ReadyEvery)
	}
	elapsed, err := l.sendAll(ctx)
	if err != nil {
		return Result{}, err
	}
	l.sender.client.CloseIdleConnections()
	result := l.collector.result(l.settings, elapsed)
	if len(l.settings.Upstreams) == 0 {
		return result, nil
	}
	time.Sleep(l.settings.Settle)
	records, unread := readRecords(context.WithoutCancel(ctx), l.settings.Upstreams)
	result.Check = compareRecords(l.collector.results, records, l.settings.ProbesPerSec)
	result.Check.Unread = unread
	return result, nil
}

// sendAll sends every arrival at its scheduled time and waits until all calls have
// ended. It returns how long the sending took, without that wait.
func (l *Load) sendAll(ctx context.Context) (time.Duration, error) {
	arrivals := newSchedule(l.settings)
	start := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		a, ok := arrivals.next()
		if !ok || !sleepUntil(ctx, start.Add(a.at)) {
			return time.Since(start), nil
		}
		c, err := l.newCall(a, start)
		if err != nil {
			return 0, err
		}
		host := l.hosts.pick("")
		l.sendAsync(ctx, &wg, c, host)
		if a.sendTwice {
			l.sendDuplicateAsync(ctx, &wg, c, host, a.gap)
		}
		if l.Progress != nil {
			l.Progress(a.index + 1)
		}
	}
}

func (l *Load) newCall(a arrival, start time.Time) (call, error) {
	c := call{
		kind:      a.kind,
		requestID: fmt.Sprintf("%s-%d", l.idPrefix, a.index),
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
	c.body = patternBody(c.requestID, l.settings.BodyBytes)
	return c, nil
}

// patternBody returns n bytes that repeat the request id, so that the bodies of
// different requests differ.
func patternBody(requestID string, n int) []byte {
	pattern := []byte(requestID + " ")
	return bytes.Repeat(pattern, n/len(pattern)+1)[:n]
}

// sendAsync sends one copy of a call in the background.
func (l *Load) sendAsync(ctx context.Context, wg *sync.WaitGroup, c call, host string) {
	ctx = context.WithoutCancel(ctx)
	wg.Go(func() { l.collector.add(l.sender.send(ctx, c, host)) })
}

// sendDuplicateAsync sends the second copy of a call in the background after gap,
// through another host than first if one is ready.
func (l *Load) sendDuplicateAsync(ctx context.Context, wg *sync.WaitGroup, c call, first string, gap time.Duration) {
	ctx = context.WithoutCancel(ctx)
	c.isDuplicate = true
	c.intended = c.intended.Add(gap)
	wg.Go(func() {
		sleepUntil(ctx, c.intended)
		l.collector.add(l.sender.send(ctx, c, l.hosts.pick(first)))
	})
}

// sleepUntil waits until the time at. It returns false if ctx ended before.
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
