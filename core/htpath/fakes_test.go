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

// fakePeers forwards calls in memory.
type fakePeers struct{ node *node }

// Forward implements Peers.
func (p *fakePeers) Forward(ctx context.Context, to htview.Member, role Role, call *Call) (*Answer, error) {
	w := p.node.world
	if err := w.at(stepForward, p.node, call); err != nil {
		return nil, err
	}
	target := w.nodes[to.Host]
	if target.ctx.Err() != nil || p.node.ctx.Err() != nil || p.cut(target) {
		return nil, fmt.Errorf("%w: %s is gone", ErrNotSent, to.Host)
	}
	received := *call
	received.Deadline = time.Now().Add(call.Meta.Remaining)
	ctx, cancel := context.WithDeadline(ctx, received.Deadline)
	answers := make(chan *Answer, 1)
	go func() { answers <- target.entrance.HandleForwarded(ctx, role, &received) }()
	return p.await(ctx, cancel, target, call, answers)
}

func (p *fakePeers) await(ctx context.Context, cancel context.CancelFunc, target *node, call *Call, answers <-chan *Answer) (*Answer, error) {
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
	if err := p.node.world.at(stepAnswerBack, target, call); err != nil {
		cancel()
		return nil, err
	}
	if target.ctx.Err() != nil || p.cut(target) {
		cancel()
		time.Sleep(testSilence)
		return nil, ErrSilent
	}
	if answer.Body != nil {
		answer.Body = &ReleasingBody{Reader: answer.Body, Closer: answer.Body, Release: cancel}
	}
	return answer, nil
}

func (p *fakePeers) cut(target *node) bool {
	p.node.world.mu.Lock()
	defer p.node.world.mu.Unlock()
	return p.node.cutOff || target.cutOff
}

// SendKeyResult implements HandoverPeers.
func (p *fakePeers) SendKeyResult(_ context.Context, to htview.Member, end KeyResult) error {
	return p.node.world.nodes[to.Host].keys.HandleKeyResult(end)
}

// SendSlotRelease implements HandoverPeers.
func (p *fakePeers) SendSlotRelease(_ context.Context, to htview.Member, end SlotRelease) error {
	return p.node.world.nodes[to.Host].shards.HandleSlotRelease(end)
}

// fakeUpstreams runs requests in memory and counts the runs.
type fakeUpstreams struct {
	world    *world
	mu       sync.Mutex
	runs     map[string]int // by URI
	inFlight map[string]int // by upstream
	highest  int
	lastSent map[string]time.Time // by failure domain
	// behave, if set, replaces the answer of an upstream.
	behave func(to htresource.Upstream, call *Call) (*UpstreamAnswer, error)
}

// hostUpstreams is the view of one host on the upstreams.
type hostUpstreams struct {
	*fakeUpstreams
	node *node
}

func (u *fakeUpstreams) of(n *node) *hostUpstreams { return &hostUpstreams{u, n} }

// Send implements Upstreams.
func (u *hostUpstreams) Send(ctx context.Context, to htresource.Upstream, deadline time.Time, call *Call) (*UpstreamAnswer, error) {
	if err := u.world.at(stepSend, u.node, call); err != nil {
		return nil, err
	}
	if u.node.ctx.Err() != nil {
		return nil, fmt.Errorf("%w: host is gone", ErrNotSent)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if reply, err := u.misbehave(to, call); reply != nil || err != nil {
		return reply, err
	}
	u.begin(to, call)
	defer u.end(to)
	select {
	case <-time.After(testWork):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err := u.world.at(stepAwait, u.node, call); err != nil {
		return nil, err
	}
	return okReply(call), nil
}

// setBehave replaces the answers of the upstreams.
func (u *fakeUpstreams) setBehave(behave func(to htresource.Upstream, call *Call) (*UpstreamAnswer, error)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behave = behave
}

func (u *fakeUpstreams) misbehave(to htresource.Upstream, call *Call) (*UpstreamAnswer, error) {
	u.mu.Lock()
	behave := u.behave
	u.mu.Unlock()
	if behave == nil {
		return nil, nil
	}
	return behave(to, call)
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

func okReply(call *Call) *UpstreamAnswer {
	return &UpstreamAnswer{
		Status: http.StatusOK,
		Header: http.Header{},
		Body:   io.NopCloser(strings.NewReader("answer to " + call.Meta.URI)),
		Report: htdispatch.Report{State: htdispatch.StateWarm, Slots: 2},
		Work:   testWork,
	}
}
