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

// probeTimeout bounds one probe. An upstream that takes longer to answer a probe is
// treated as unable to take requests.
const probeTimeout = 500 * time.Millisecond

// headSize bounds the bytes of a long answer that are read before it is forwarded.
const headSize = 4 << 10

// Dispatcher runs the calls of one pool shard. It executes the actions that an
// htdispatch.Pool returns and reports their results to it.
type Dispatcher struct {
	shard     htview.Shard
	ownership Ownership
	upstreams Upstreams
	now       func() time.Time

	mu               sync.Mutex
	pool             *htdispatch.Pool
	waiting          map[string]chan htdispatch.Action
	streams          streams
	handoverReporter *Reporter // set by Freeze, once another host takes over the shard
}

// NewDispatcher returns the dispatcher of a shard.
func NewDispatcher(shard htview.Shard, pool *htdispatch.Pool, ownership Ownership, upstreams Upstreams, now func() time.Time) *Dispatcher {
	return &Dispatcher{
		shard:     shard,
		ownership: ownership,
		upstreams: upstreams,
		now:       now,
		pool:      pool,
		waiting:   map[string]chan htdispatch.Action{},
		streams:   streams{},
	}
}

// Call runs the call on an upstream of the shard, or refuses it. The answer carries
// the load of the shard, unless the host does not serve the shard.
func (d *Dispatcher) Call(ctx context.Context, call *Call) *Answer {
	if !d.ownership.Serving(d.shard) {
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

// admit offers the call to the pool and waits until the pool starts or refuses it. A
// call whose ID is already waiting is refused.
func (d *Dispatcher) admit(ctx context.Context, call *Call) htdispatch.Action {
	decision := make(chan htdispatch.Action, 1)
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
	d.waiting[request.ID] = decision
	d.perform(d.pool.Offer(d.now(), request))
	d.mu.Unlock()
	select {
	case action := <-decision:
		return action
	case <-ctx.Done():
		return d.abandonQueued(request, decision)
	}
}

// abandonQueued removes a call whose context has ended from the queue. If the pool
// has started it in the meantime, its slot is released, since nothing was sent.
func (d *Dispatcher) abandonQueued(request htdispatch.Request, decision chan htdispatch.Action) htdispatch.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case action := <-decision:
		if start, ok := action.(htdispatch.Start); ok {
			d.perform(d.pool.Finish(d.now(), start.Ticket, htdispatch.NotSent{Local: true}))
		}
	default:
		delete(d.waiting, request.ID)
		d.perform(d.pool.Cancel(d.now(), request.ID))
	}
	return htdispatch.Refuse{Request: request, Reason: htcall.ReasonDeadline}
}

// perform executes the actions of the pool. The caller holds mu.
func (d *Dispatcher) perform(actions []htdispatch.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case htdispatch.Start:
			d.deliverDecision(a.Request.ID, a)
		case htdispatch.Refuse:
			d.deliverDecision(a.Request.ID, a)
		case htdispatch.Probe:
			go d.probe(a.Upstream)
		}
	}
}

func (d *Dispatcher) deliverDecision(id string, action htdispatch.Action) {
	if decision := d.waiting[id]; decision != nil {
		delete(d.waiting, id)
		decision <- action
	}
}

// run sends a started call. It checks the lease immediately before the send, because
// the process may have been paused since the call was admitted. The upstream's
// deadline is the end of the lease if that is earlier than the call's deadline.
func (d *Dispatcher) run(ctx context.Context, call *Call, start htdispatch.Start) *Answer {
	now := d.now()
	lease := d.ownership.LeaseUntil(now)
	if !d.ownership.Serving(d.shard) || !now.Before(lease) {
		d.finish(start, htdispatch.NotSent{Local: true})
		return Refusal(htcall.ReasonCutOff)
	}
	deadline := start.Deadline
	if lease.Before(deadline) {
		deadline = lease
	}
	htassert.That(now.Before(lease), htassert.LeaseHeldAtSend, "shard=%s call=%s", d.shard, call.Meta.ID)
	if call.Body.stream != nil {
		ctx = d.addStream(ctx, call, start)
	}
	reply, err := d.upstreams.Send(ctx, start.Upstream, deadline, call)
	if err != nil {
		return d.answerSendFailure(ctx, start, err)
	}
	if reply.Refused {
		_ = reply.Body.Close()
		d.finish(start, htdispatch.Refused{Report: reply.Report})
		return Refusal(htcall.ReasonRefused)
	}
	StripHopByHop(reply.Header)
	StripReserved(reply.Header)
	answer := &Answer{Outcome: htcall.Done, Status: reply.Status, Header: reply.Header, Trailer: reply.Trailer}
	if length, ok := bufferableLength(reply.Header); ok {
		return d.readBuffered(ctx, start, reply, answer, length)
	}
	return d.readHead(ctx, start, reply, answer)
}

// addStream returns the context of a call whose body is streamed, which ends early if its sender stalls
// while other calls wait, until the call is finished.
func (d *Dispatcher) addStream(ctx context.Context, call *Call, start htdispatch.Start) context.Context {
	ctx, end := context.WithCancel(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.streams[start.Ticket] = streamedCall{id: call.Meta.ID, body: call.Body.stream, end: end}
	return ctx
}

// bufferableLength returns the content length of an answer in bytes, and false if it is
// unknown or exceeds ReplayLimit.
func bufferableLength(header http.Header) (int, bool) {
	length, err := strconv.Atoi(header.Get("Content-Length"))
	return length, err == nil && length >= 0 && length <= ReplayLimit
}

// readBuffered reads a short answer to its end before it is forwarded. A slow caller
// then occupies no slot, and a truncated answer can still be reported as unknown or,
// for an idempotent call, be retried.
func (d *Dispatcher) readBuffered(ctx context.Context, start htdispatch.Start, reply *UpstreamAnswer, answer *Answer, length int) *Answer {
	content := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
	_, err := content.ReadFrom(reply.Body)
	_ = reply.Body.Close()
	if err != nil {
		return d.answerSendFailure(ctx, start, err)
	}
	d.finish(start, htdispatch.Completed{Work: reply.Work, Report: reply.Report})
	answer.Body = io.NopCloser(content)
	return answer
}

// readHead waits for the first part of a long answer and leaves the rest to be
// streamed. An answer that fails before its first part is reported as unknown.
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
		return d.answerSendFailure(ctx, start, err)
	}
	answer.Body = &slotBody{
		Reader: io.MultiReader(bytes.NewReader(head[:n]), reply.Body),
		closer: reply.Body,
		onComplete: func() {
			d.finish(start, htdispatch.Completed{Work: reply.Work, Report: reply.Report})
		},
		onAbort: func(err error) { d.finish(start, failureResult(ctx, err)) },
	}
	return answer
}

// answerSendFailure reports a failed send to the pool and returns its answer, which is
// not-run if nothing was sent and otherwise unknown.
func (d *Dispatcher) answerSendFailure(ctx context.Context, start htdispatch.Start, err error) *Answer {
	if errors.Is(err, ErrNotSent) {
		// If the deadline passed while the connection was being opened, this is no sign
		// of a fault of the upstream.
		d.finish(start, htdispatch.NotSent{Local: ctx.Err() != nil})
		return Refusal(htcall.ReasonConnect)
	}
	result := failureResult(ctx, err)
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
	}).Warn("call to the upstream got no complete answer")
	return answer
}

// failureResult returns the pool's result for a call that was sent but got no complete
// answer.
func failureResult(ctx context.Context, err error) htdispatch.Result {
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
	delete(d.streams, start.Ticket)
	d.perform(d.pool.Finish(d.now(), start.Ticket, result))
	if d.handoverReporter != nil && freesSlot(result) {
		d.handoverReporter.reportSlotRelease(d.ownership, d.shard, start.Request.ID)
	}
}

// freesSlot reports whether the slot is free after the result. Otherwise the upstream
// may still be processing the request.
func freesSlot(result htdispatch.Result) bool {
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

// Tick runs the pool's timers if one is due at now. While calls wait, it ends a call whose body has
// stalled.
func (d *Dispatcher) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.streams) > 0 && len(d.waiting) > 0 {
		d.streams.endStalled()
	}
	if next := d.pool.NextTick(now); next.IsZero() || next.After(now) {
		return
	}
	d.perform(d.pool.Tick(now))
}

// SetUpstreams sets the upstreams of the shard and whether its failure domain is out.
func (d *Dispatcher) SetUpstreams(upstreams []htresource.Upstream, domainOut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.perform(d.pool.SetUpstreams(d.now(), upstreams, domainOut))
}

// Freeze refuses all queued calls and starts no new ones. It returns the state for
// the next owner. From then on the reporter notifies that owner when the slot of an
// in-flight call becomes free.
func (d *Dispatcher) Freeze(reporter *Reporter) PoolState {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handoverReporter = reporter
	now := d.now()
	d.perform(d.pool.Freeze(now))
	var state PoolState
	for _, o := range d.pool.OccupiedSlots() {
		state.Occupied = append(state.Occupied, occupiedSlot{ID: o.ID, Upstream: o.Upstream, Remaining: o.Until.Sub(now), Overdue: o.Overdue})
	}
	state.Warmups, state.Times = d.pool.LearnedState()
	return state
}

// Adopt installs the state of the previous owner.
func (d *Dispatcher) Adopt(state PoolState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	occupied := make([]htdispatch.OccupiedSlot, len(state.Occupied))
	for i, o := range state.Occupied {
		occupied[i] = htdispatch.OccupiedSlot{ID: o.ID, Upstream: o.Upstream, Until: now.Add(o.Remaining), Overdue: o.Overdue}
	}
	d.pool.RestoreSlots(now, occupied)
	d.perform(d.pool.RestoreLearnedState(now, state.Warmups, state.Times))
}

// ReleaseAdopted frees the slot of the previous owner's call with the given ID, which
// that owner has reported as ended.
func (d *Dispatcher) ReleaseAdopted(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	actions, _ := d.pool.FinishRestored(d.now(), id)
	d.perform(actions)
}

// Load returns the shard's load, which is reported with each answer.
func (d *Dispatcher) Load() htcall.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.Load(d.now())
}

// Dump returns the state of the shard for diagnostics.
func (d *Dispatcher) Dump() htdispatch.Dump {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.Dump()
}

// slotBody reports the end of a streamed answer, so that its slot can be released:
// onComplete at the end of the body, onAbort on a read error or an early Close. It is
// not safe for concurrent use.
type slotBody struct {
	io.Reader
	closer     io.Closer
	onComplete func()
	onAbort    func(error)
	finished   bool
}

// Read implements io.Reader.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.finish(err)
	}
	return n, err
}

// Close implements io.Closer. If the body is not at its end, the answer is aborted.
func (b *slotBody) Close() error {
	b.finish(context.Canceled)
	return b.closer.Close()
}

func (b *slotBody) finish(err error) {
	if b.finished {
		return
	}
	b.finished = true
	if errors.Is(err, io.EOF) {
		b.onComplete()
		return
	}
	b.onAbort(err)
}
