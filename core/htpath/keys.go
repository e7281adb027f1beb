package htpath

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htonce"
	"hawthornturn/core/htview"
)

// KeyOwner runs the keyed calls of the key partitions that this host owns. It runs each
// call at most once and returns its result to every copy of the call.
type KeyOwner struct {
	reporter *Reporter
	now      func() time.Time

	mu        sync.Mutex
	ownership Ownership
	router    *Router
	owner     *htonce.Owner
	runs      map[keyID]*keyRun
	early     earlyReports[KeyResult]
}

type keyID struct {
	service, key string
}

// keyRun is a keyed call that is running. The field result is set before done is closed.
type keyRun struct {
	done   chan struct{}
	result htonce.Decision
}

// NewKeyOwner returns a KeyOwner that serves no partitions. Bind must be called before use.
func NewKeyOwner(config htonce.Config, reporter *Reporter, now func() time.Time) *KeyOwner {
	return &KeyOwner{reporter: reporter, now: now, owner: htonce.New(config), runs: map[keyID]*keyRun{}}
}

// Bind sets the ownership and the router, which themselves depend on the KeyOwner.
func (k *KeyOwner) Bind(ownership Ownership, router *Router) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ownership, k.router = ownership, router
}

// Call runs a keyed call, waits for a running copy of it, or answers it from the record
// of an earlier copy.
func (k *KeyOwner) Call(ctx context.Context, call *Call) *Answer {
	id := keyID{call.Meta.Service, call.Meta.Key}
	k.mu.Lock()
	if !k.ownership.Serving(htview.KeyShard(id.service, id.key)) {
		k.mu.Unlock()
		return UnknownOutcome(htcall.ReasonMoved)
	}
	now := k.now()
	lease := k.ownership.LeaseUntil(now)
	fingerprint := call.Meta.Method + "\x00" + call.Meta.URI + "\x00" + call.Meta.Caller
	decision := k.owner.Begin(now, lease, id.service, id.key, fingerprint)
	switch decision.(type) {
	case htonce.Run:
		run := &keyRun{done: make(chan struct{})}
		k.runs[id] = run
		k.mu.Unlock()
		return k.runDetached(ctx, call, id, run, lease)
	case htonce.Wait:
		run := k.runs[id]
		k.mu.Unlock()
		return awaitRun(ctx, run)
	default:
		k.mu.Unlock()
		if a, ok := decision.(htonce.OutcomeOnly); ok && a.Outcome == htcall.Unknown && a.Reason == htcall.ReasonOwnerLost {
			// The partition is being handed over, or its previous owner has not reported
			// yet how the request ended. ReasonMoved makes the entry host that received the
			// call retry it; that may be this host.
			return UnknownOutcome(htcall.ReasonMoved)
		}
		return answerFromDecision(decision)
	}
}

// runDetached runs the first copy of a call. The run continues when the caller cancels,
// so that the result is available to the next copy. It ends at the call's deadline or
// the end of the lease, whichever is earlier.
func (k *KeyOwner) runDetached(ctx context.Context, call *Call, id keyID, run *keyRun, lease time.Time) *Answer {
	bounded := *call
	if lease.Before(bounded.Deadline) {
		bounded.Deadline = lease
	}
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), bounded.Deadline)
	results := make(chan *Answer, 1)
	go func() { results <- k.run(detached, cancel, &bounded, id, run) }()
	select {
	case answer := <-results:
		return answer
	case <-ctx.Done():
		go func() { (<-results).Discard() }()
		return UnknownOutcome(htcall.ReasonDeadline)
	}
}

// run routes the call and records its result. An answer of at most ReplayLimit bytes is
// read to its end first, so that it can be stored.
func (k *KeyOwner) run(ctx context.Context, cancel context.CancelFunc, call *Call, id keyID, run *keyRun) *Answer {
	answer := k.router.Route(ctx, call)
	if answer.Outcome != htcall.Done {
		defer cancel()
		k.finish(id, run, answer.Outcome, answer.Reason, nil)
		return answer
	}
	stored, rest, err := readStored(answer)
	switch {
	case err != nil:
		cancel()
		k.finish(id, run, htcall.Unknown, htcall.ReasonBroken, nil)
		return UnknownOutcome(htcall.ReasonBroken)
	case rest != nil:
		k.finish(id, run, htcall.Done, htcall.ReasonNone, nil)
		answer.Body = &ReleasingBody{Reader: rest, Closer: answer.Body, Release: cancel}
		return answer
	default:
		cancel()
		data, err := cbor.Marshal(stored)
		if err != nil {
			data = nil
		}
		k.finish(id, run, htcall.Done, htcall.ReasonNone, data)
		return stored.answer()
	}
}

// finish records how the call ended and releases the copies that wait for it. If the
// partition has moved, it also reports the result to the new owner.
func (k *KeyOwner) finish(id keyID, run *keyRun, outcome htcall.Outcome, reason htcall.Reason, answer []byte) {
	k.mu.Lock()
	decision, moved := k.owner.Finish(k.now(), id.service, id.key, outcome, reason, answer)
	run.result = decision
	delete(k.runs, id)
	ownership := k.ownership
	k.mu.Unlock()
	close(run.done)
	if moved {
		k.reporter.reportKeyResult(ownership, KeyResult{Service: id.service, Key: id.key, Outcome: outcome, Reason: reason, Answer: answer})
	}
}

// Running returns the number of keyed calls that are running, including those whose
// callers have canceled.
func (k *KeyOwner) Running() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.runs)
}

// HandleKeyResult records how a call ended that the previous owner of the partition
// had in flight during the hand-over. A result for a partition that is not installed yet is
// kept until then. The error makes the previous owner repeat it, since another host may
// become the owner.
func (k *KeyOwner) HandleKeyResult(result KeyResult) error {
	if !result.Outcome.Valid() {
		return fmt.Errorf("unknown outcome %q", result.Outcome)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if shard := htview.KeyShard(result.Service, result.Key); !k.ownership.Serving(shard) {
		k.early.add(k.now(), shard, result.Service+"\x00"+result.Key, result)
		return errors.New("partition of the key is not served by this host")
	}
	k.owner.Finish(k.now(), result.Service, result.Key, result.Outcome, result.Reason, result.Answer)
	return nil
}

// Collect stops serving a partition and returns its encoded records for the new owner.
func (k *KeyOwner) Collect(shard htview.Shard) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.owner.Export(k.now(), shard)
}

// Install starts serving a partition with the records of its previous owner, which may
// be missing.
func (k *KeyOwner) Install(shard htview.Shard, state []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.owner.Install(k.now(), shard, state); err != nil {
		logrus.WithFields(logrus.Fields{"event": "handover-decode-failed", "shard": shard.String(), "error": err}).Error("could not decode the key records from the previous owner")
	}
	for _, r := range k.early.take(k.now(), shard) {
		if k.owner.AwaitsResult(r.Service, r.Key) {
			k.owner.Finish(k.now(), r.Service, r.Key, r.Outcome, r.Reason, r.Answer)
		}
	}
}

// Drop stops serving a partition and discards its records.
func (k *KeyOwner) Drop(shard htview.Shard) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.owner.Drop(shard)
}

// awaitRun waits for the result of a running call until ctx ends. It returns unknown if
// run is nil.
func awaitRun(ctx context.Context, run *keyRun) *Answer {
	if run == nil {
		return UnknownOutcome(htcall.ReasonOwnerLost)
	}
	select {
	case <-run.done:
		return answerFromDecision(run.result)
	case <-ctx.Done():
		return UnknownOutcome(htcall.ReasonDeadline)
	}
}

// answerFromDecision returns the answer for a decision of htonce.Owner.
func answerFromDecision(decision htonce.Decision) *Answer {
	switch d := decision.(type) {
	case htonce.Replay:
		var stored storedAnswer
		if err := cbor.Unmarshal(d.Response, &stored); err != nil {
			return &Answer{Outcome: htcall.Done, Reason: htcall.ReasonAnswerNotKept, Status: http.StatusConflict}
		}
		return stored.answer()
	case htonce.OutcomeOnly:
		return answerFromOutcome(d)
	default:
		return UnknownOutcome(htcall.ReasonInternal)
	}
}

func answerFromOutcome(d htonce.OutcomeOnly) *Answer {
	switch d.Outcome {
	case htcall.Done:
		return &Answer{Outcome: htcall.Done, Reason: d.Reason, Status: http.StatusConflict}
	case htcall.NotRun:
		return Refusal(d.Reason)
	default:
		return UnknownOutcome(d.Reason)
	}
}

// storedAnswer is an answer that is stored for later copies of the call.
type storedAnswer struct {
	Status  int         `cbor:"status"`
	Header  http.Header `cbor:"header"`
	Body    []byte      `cbor:"body"`
	Trailer http.Header `cbor:"trailer"`
}

func (s storedAnswer) answer() *Answer {
	return &Answer{
		Outcome: htcall.Done,
		Status:  s.Status,
		Header:  s.Header.Clone(),
		Trailer: func() http.Header { return s.Trailer },
		Body:    io.NopCloser(bytes.NewReader(s.Body)),
	}
}

// readStored reads an answer to its end. If its body is larger than ReplayLimit bytes,
// it returns a reader of the whole body instead.
func readStored(answer *Answer) (storedAnswer, io.Reader, error) {
	stored := storedAnswer{Status: answer.Status, Header: answer.Header}
	if answer.Body == nil {
		return stored, nil, nil
	}
	var head bytes.Buffer
	n, err := io.CopyN(&head, answer.Body, ReplayLimit+1)
	if n > ReplayLimit {
		return storedAnswer{}, io.MultiReader(&head, answer.Body), nil
	}
	defer func() { _ = answer.Body.Close() }()
	if !errors.Is(err, io.EOF) {
		return storedAnswer{}, nil, err
	}
	stored.Body = head.Bytes()
	if answer.Trailer != nil {
		stored.Trailer = answer.Trailer()
	}
	return stored, nil, nil
}
