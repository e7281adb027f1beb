package htpath

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htassert"
	"hawthornturn/core/htcall"
	"hawthornturn/core/htdispatch"
	"hawthornturn/core/htresource"
	"hawthornturn/core/htview"
)

// probeTimeout bounds one probe. A probe that takes longer says that the upstream
// is not fit for work.
const probeTimeout = 500 * time.Millisecond

// headSize is the most that is read of a long answer before it is passed on.
const headSize = 4 << 10

// Dispatcher runs the calls of one pool shard. It carries out the actions of an
// htdispatch.Pool and feeds results back to it.
type Dispatcher struct {
	shard     htview.Shard
	own       Ownership
	upstreams Upstreams
	now       func() time.Time

	mu      sync.Mutex
	pool    *htdispatch.Pool
	waiting map[string]chan htdispatch.Action
	passed  *Reporter // set once the shard has passed on
}

// NewDispatcher returns the dispatcher of a shard.
func NewDispatcher(shard htview.Shard, pool *htdispatch.Pool, own Ownership, upstreams Upstreams, now func() time.Time) *Dispatcher {
	return &Dispatcher{
		shard:     shard,
		own:       own,
		upstreams: upstreams,
		now:       now,
		pool:      pool,
		waiting:   map[string]chan htdispatch.Action{},
	}
}

// Call runs the call on an upstream of the shard, or refuses it.
func (d *Dispatcher) Call(ctx context.Context, call *Call) *Answer {
	if !d.own.Serving(d.shard) {
		return Refusal(htcall.ReasonMoved)
	}
	action := d.admit(ctx, call)
	var answer *Answer
	switch a := action.(type) {
	case htdispatch.Start:
		answer = d.run(ctx, call, a)
	case htdispatch.Refuse:
		answer = Refusal(a.Reason)
	}
	load := d.Load()
	answer.Load = &load
	return answer
}

// admit offers the call to the pool and waits for a decision.
func (d *Dispatcher) admit(ctx context.Context, call *Call) htdispatch.Action {
	decided := make(chan htdispatch.Action, 1)
	request := htdispatch.Request{
		ID:          call.Meta.ID,
		Service:     call.Meta.Service,
		Caller:      call.Meta.Caller,
		Idempotent:  call.Meta.Idempotent,
		Fingerprint: call.Meta.Fingerprint(),
		Deadline:    call.Deadline,
	}
	d.mu.Lock()
	if d.waiting[request.ID] != nil {
		d.mu.Unlock()
		return htdispatch.Refuse{Request: request, Reason: htcall.ReasonBadRequest}
	}
	d.waiting[request.ID] = decided
	d.perform(d.pool.Offer(d.now(), request))
	d.mu.Unlock()
	select {
	case action := <-decided:
		return action
	case <-ctx.Done():
		return d.leaveQueue(request, decided)
	}
}

// leaveQueue takes a call whose caller left out of the queue. If it was started in
// the meantime, its slot is given back, since nothing was sent.
func (d *Dispatcher) leaveQueue(request htdispatch.Request, decided chan htdispatch.Action) htdispatch.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case action := <-decided:
		if start, ok := action.(htdispatch.Start); ok {
			d.perform(d.pool.Finish(d.now(), start.Ticket, htdispatch.NotSent{Local: true}))
		}
	default:
		delete(d.waiting, request.ID)
		d.perform(d.pool.Cancel(d.now(), request.ID))
	}
	return htdispatch.Refuse{Request: request, Reason: htcall.ReasonDeadline}
}

// perform carries out the actions of the pool. The caller holds mu.
func (d *Dispatcher) perform(actions []htdispatch.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case htdispatch.Start:
			d.decide(a.Request.ID, a)
		case htdispatch.Refuse:
			d.decide(a.Request.ID, a)
		case htdispatch.Probe:
			go d.probe(a.Upstream)
		}
	}
}

func (d *Dispatcher) decide(id string, action htdispatch.Action) {
	if decided := d.waiting[id]; decided != nil {
		delete(d.waiting, id)
		decided <- action
	}
}

// run sends a started call. The lease is checked right before the send, because
// the process may have been paused since the call was admitted.
func (d *Dispatcher) run(ctx context.Context, call *Call, start htdispatch.Start) *Answer {
	now := d.now()
	lease := d.own.LeaseUntil(now)
	if !d.own.Serving(d.shard) || !now.Before(lease) {
		d.finish(start, htdispatch.NotSent{Local: true})
		return Refusal(htcall.ReasonCutOff)
	}
	deadline := start.Deadline
	if lease.Before(deadline) {
		deadline = lease
	}
	htassert.That(now.Before(lease), htassert.LeaseHeldAtSend, "shard=%s call=%s", d.shard, call.Meta.ID)
	reply, err := d.upstreams.Send(ctx, start.Upstream, deadline, call)
	if err != nil {
		return d.failed(ctx, start, err)
	}
	if reply.Refused {
		_ = reply.Body.Close()
		d.finish(start, htdispatch.Refused{Report: reply.Report})
		return Refusal(htcall.ReasonRefused)
	}
	StripHopByHop(reply.Header)
	StripReserved(reply.Header)
	answer := &Answer{Outcome: htcall.Done, Status: reply.Status, Header: reply.Header, Trailer: reply.Trailer}
	if length, ok := shortLength(reply.Header); ok {
		return d.readWhole(ctx, start, reply, answer, length)
	}
	return d.readHead(ctx, start, reply, answer)
}

// shortLength returns the length of an answer that is short enough to be read whole.
func shortLength(header http.Header) (int, bool) {
	length, err := strconv.Atoi(header.Get("Content-Length"))
	return length, err == nil && length >= 0 && length <= ReplayLimit
}

// readWhole reads a short answer before it is passed on: a slow caller holds no
// slot, and an answer that is cut short can still be told as unknown or, for an
// idempotent call, be tried again.
func (d *Dispatcher) readWhole(ctx context.Context, start htdispatch.Start, reply *UpstreamAnswer, answer *Answer, length int) *Answer {
	content := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
	_, err := content.ReadFrom(reply.Body)
	_ = reply.Body.Close()
	if err != nil {
		return d.failed(ctx, start, err)
	}
	d.finish(start, htdispatch.Completed{Work: reply.Work, Report: reply.Report})
	answer.Body = io.NopCloser(content)
	return answer
}

// readHead waits for the first part of a long answer, so that one that breaks off
// before it is told as unknown, and leaves the rest to be streamed.
func (d *Dispatcher) readHead(ctx context.Context, start htdispatch.Start, reply *UpstreamAnswer, answer *Answer) *Answer {
	head := make([]byte, headSize)
	n, err := reply.Body.Read(head)
	switch {
	case errors.Is(err, io.EOF):
		_ = reply.Body.Close()
		d.finish(start, htdispatch.Completed{Work: reply.Work, Report: reply.Report})
		answer.Body = io.NopCloser(bytes.NewReader(head[:n]))
		return answer
	case err != nil:
		_ = reply.Body.Close()
		return d.failed(ctx, start, err)
	}
	answer.Body = &slotBody{
		Reader: io.MultiReader(bytes.NewReader(head[:n]), reply.Body),
		closer: reply.Body,
		whole: func() {
			d.finish(start, htdispatch.Completed{Work: reply.Work, Report: reply.Report})
		},
		cut: func(err error) { d.finish(start, endOf(ctx, err)) },
	}
	return answer
}

// failed turns a failed send into an answer and a result for the pool.
func (d *Dispatcher) failed(ctx context.Context, start htdispatch.Start, err error) *Answer {
	if errors.Is(err, ErrNotSent) {
		// A deadline that passed while the connection was opened says nothing of the
		// upstream.
		d.finish(start, htdispatch.NotSent{Local: ctx.Err() != nil})
		return Refusal(htcall.ReasonConnect)
	}
	result := endOf(ctx, err)
	d.finish(start, result)
	answer := UnknownOutcome(htcall.ReasonBroken)
	switch r := result.(type) {
	case htdispatch.Abandoned:
		answer.Reason = htcall.ReasonCanceled
		if r.DeadlinePassed {
			answer.Reason = htcall.ReasonDeadline
		}
	case htdispatch.ConnectionLost:
		answer.Crash = !r.TimedOut
	}
	logrus.WithFields(logrus.Fields{
		"event": "upstream-call-failed", "shard": d.shard.String(), "upstream": start.Upstream.Name,
		"call": start.Request.ID, "reason": string(answer.Reason), "error": err,
	}).Warn("call failed")
	return answer
}

// endOf tells how a call that was sent ended without a whole answer.
func endOf(ctx context.Context, err error) htdispatch.Result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return htdispatch.Abandoned{DeadlinePassed: true}
	case ctx.Err() != nil, errors.Is(err, context.Canceled):
		return htdispatch.Abandoned{}
	default:
		return htdispatch.ConnectionLost{TimedOut: errors.Is(err, ErrSilent)}
	}
}

func (d *Dispatcher) finish(start htdispatch.Start, result htdispatch.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.perform(d.pool.Finish(d.now(), start.Ticket, result))
	if d.passed != nil && endsSlot(result) {
		d.passed.slotEnd(d.own, d.shard, start.Request.ID)
	}
}

// endsSlot reports whether the slot is free after the result. Otherwise the
// upstream may still be working.
func endsSlot(result htdispatch.Result) bool {
	switch result.(type) {
	case htdispatch.Completed, htdispatch.Refused, htdispatch.NotSent:
		return true
	default:
		return false
	}
}

func (d *Dispatcher) probe(upstream htresource.Upstream) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	report, err := d.upstreams.Probe(ctx, upstream)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.perform(d.pool.ProbeDone(d.now(), upstream.Name, err == nil, report))
}

// Tick lets the pool act on the passing of time if it has something to do.
func (d *Dispatcher) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if next := d.pool.NextTick(now); next.IsZero() || next.After(now) {
		return
	}
	d.perform(d.pool.Tick(now))
}

// SetUpstreams passes on the declared upstreams of the shard.
func (d *Dispatcher) SetUpstreams(upstreams []htresource.Upstream, domainOut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.perform(d.pool.SetUpstreams(d.now(), upstreams, domainOut))
}

// Freeze refuses the queue and starts nothing any more. It returns the state for the
// next owner, which the reporter tells when calls in flight end.
func (d *Dispatcher) Freeze(reporter *Reporter) PoolState {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.passed = reporter
	now := d.now()
	d.perform(d.pool.Freeze(now))
	var state PoolState
	for _, o := range d.pool.OccupiedSlots() {
		state.Occupied = append(state.Occupied, occupiedSlot{ID: o.ID, Upstream: o.Upstream, Remaining: o.Until.Sub(now), Overdue: o.Overdue})
	}
	state.Proofs, state.Times = d.pool.LearnedState()
	return state
}

// Adopt takes over the state of the previous owner.
func (d *Dispatcher) Adopt(state PoolState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	occupied := make([]htdispatch.OccupiedSlot, len(state.Occupied))
	for i, o := range state.Occupied {
		occupied[i] = htdispatch.OccupiedSlot{ID: o.ID, Upstream: o.Upstream, Until: now.Add(o.Remaining), Overdue: o.Overdue}
	}
	d.pool.RestoreSlots(now, occupied)
	d.perform(d.pool.RestoreLearnedState(now, state.Proofs, state.Times))
}

// ReleaseAdopted frees the slot of a call that the previous owner reports as ended.
func (d *Dispatcher) ReleaseAdopted(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	actions, _ := d.pool.FinishRestored(d.now(), id)
	d.perform(actions)
}

// Load returns the shard's load as it is reported with answers.
func (d *Dispatcher) Load() htcall.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.Load(d.now())
}

// Dump returns the state of the shard for a state dump.
func (d *Dispatcher) Dump() htdispatch.Dump {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.Dump()
}

// slotBody gives the slot back when the answer is whole or cut. Its methods are
// called by one reader.
type slotBody struct {
	io.Reader
	closer io.Closer
	whole  func()
	cut    func(error)
	ended  bool
}

// Read implements io.Reader.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.end(err)
	}
	return n, err
}

// Close implements io.Closer. Closing before the end abandons the answer.
func (b *slotBody) Close() error {
	b.end(context.Canceled)
	return b.closer.Close()
}

func (b *slotBody) end(err error) {
	if b.ended {
		return
	}
	b.ended = true
	if errors.Is(err, io.EOF) {
		b.whole()
		return
	}
	b.cut(err)
}
