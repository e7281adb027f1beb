package htpath

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"hawthornturn/core/htdispatch"
	"hawthornturn/core/htresource"
	"hawthornturn/core/htview"
)

// fakePeers is an in-memory implementation of Peers and HandoverPeers for one host.
type fakePeers struct{ entryHost *entryHost }

// Forward implements Peers.
func (p *fakePeers) Forward(ctx context.Context, to htview.Member, role Role, call *Call) (*Answer, error) {
	c := p.entryHost.cluster
	if err := c.runHook(stepForward, p.entryHost, call); err != nil {
		return nil, err
	}
	target := c.hosts[to.Host]
	if target.ctx.Err() != nil || p.entryHost.ctx.Err() != nil || p.partitioned(target) {
		return nil, fmt.Errorf("%w: %s is unreachable", ErrNotSent, to.Host)
	}
	received := *call
	received.Deadline = time.Now().Add(call.Meta.Remaining)
	ctx, cancel := context.WithDeadline(ctx, received.Deadline)
	answers := make(chan *Answer, 1)
	go func() { answers <- target.handler.HandleForwarded(ctx, role, &received) }()
	return p.await(ctx, cancel, target, call, answers)
}

func (p *fakePeers) await(ctx context.Context, cancel context.CancelFunc, target *entryHost, call *Call, answers <-chan *Answer) (*Answer, error) {
	var answer *Answer
	select {
	case answer = <-answers:
	case <-ctx.Done():
		cancel()
		return nil, ctx.Err()
	case <-target.ctx.Done():
		cancel()
		time.Sleep(testSilence)
		return nil, io.ErrUnexpectedEOF
	}
	if err := p.entryHost.cluster.runHook(stepAnswerBack, target, call); err != nil {
		cancel()
		return nil, err
	}
	if target.ctx.Err() != nil || p.partitioned(target) {
		cancel()
		time.Sleep(testSilence)
		return nil, ErrSilent
	}
	if answer.Body != nil {
		answer.Body = &ReleasingBody{Reader: answer.Body, Closer: answer.Body, Release: cancel}
	}
	return answer, nil
}

func (p *fakePeers) partitioned(target *entryHost) bool {
	p.entryHost.cluster.mu.Lock()
	defer p.entryHost.cluster.mu.Unlock()
	return p.entryHost.isolated || target.isolated
}

// SendKeyResult implements HandoverPeers.
func (p *fakePeers) SendKeyResult(_ context.Context, to htview.Member, result KeyResult) error {
	return p.entryHost.cluster.hosts[to.Host].keys.HandleKeyResult(result)
}

// SendSlotRelease implements HandoverPeers.
func (p *fakePeers) SendSlotRelease(_ context.Context, to htview.Member, release SlotRelease) error {
	return p.entryHost.cluster.hosts[to.Host].shards.HandleSlotRelease(release)
}

// fakeUpstreams runs requests in memory and counts the runs.
type fakeUpstreams struct {
	cluster  *cluster
	mu       sync.Mutex
	runs     map[string]int // by URI
	inFlight map[string]int // by upstream
	highest  int
	lastSent map[string]time.Time // by failure domain
	// override, if set, replaces the answer of an upstream unless it returns nil, nil.
	override func(to htresource.Upstream, call *Call) (*UpstreamAnswer, error)
}

// hostUpstreams implements Upstreams for one host.
type hostUpstreams struct {
	*fakeUpstreams
	entryHost *entryHost
}

func (u *fakeUpstreams) of(h *entryHost) *hostUpstreams { return &hostUpstreams{u, h} }

// Send implements Upstreams.
func (u *hostUpstreams) Send(ctx context.Context, to htresource.Upstream, deadline time.Time, call *Call) (*UpstreamAnswer, error) {
	if err := u.cluster.runHook(stepSend, u.entryHost, call); err != nil {
		return nil, err
	}
	if u.entryHost.ctx.Err() != nil {
		return nil, fmt.Errorf("%w: host was killed", ErrNotSent)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if reply, err := u.overriddenAnswer(to, call); reply != nil || err != nil {
		return reply, err
	}
	u.begin(to, call)
	defer u.end(to)
	select {
	case <-time.After(testWork):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err := u.cluster.runHook(stepAwait, u.entryHost, call); err != nil {
		return nil, err
	}
	return successfulAnswer(call), nil
}

// setOverride sets the function that replaces answers of the upstreams.
func (u *fakeUpstreams) setOverride(override func(to htresource.Upstream, call *Call) (*UpstreamAnswer, error)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.override = override
}

func (u *fakeUpstreams) overriddenAnswer(to htresource.Upstream, call *Call) (*UpstreamAnswer, error) {
	u.mu.Lock()
	override := u.override
	u.mu.Unlock()
	if override == nil {
		return nil, nil
	}
	return override(to, call)
}

func (u *fakeUpstreams) begin(to htresource.Upstream, call *Call) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[call.Meta.URI]++
	u.lastSent[to.Domain] = time.Now()
	u.inFlight[to.Name]++
	u.highest = max(u.highest, u.inFlight[to.Name])
}

func (u *fakeUpstreams) end(to htresource.Upstream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight[to.Name]--
}

func (u *fakeUpstreams) count(uri string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[uri]
}

// Probe implements Upstreams.
func (u *hostUpstreams) Probe(context.Context, htresource.Upstream) (htdispatch.Report, error) {
	return htdispatch.Report{State: htdispatch.StateWarm, Slots: 2}, nil
}

func successfulAnswer(call *Call) *UpstreamAnswer {
	return &UpstreamAnswer{
		Status: http.StatusOK,
		Header: http.Header{},
		Body:   io.NopCloser(strings.NewReader("answer to " + call.Meta.URI)),
		Report: htdispatch.Report{State: htdispatch.StateWarm, Slots: 2},
		Work:   testWork,
	}
}
