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

// KeyOwner is the key owner of a host: it runs each keyed call once and gives its
// result to every copy of the call.
type KeyOwner struct {
	reporter *Reporter
	now      func() time.Time

	mu     sync.Mutex
	own    Ownership
	router *Router
	owner  *htonce.Owner
	runs   map[keyID]*keyRun
}

type keyID struct {
	service, key string
}

// keyRun is a keyed call that is running. Result is set before done is closed.
type keyRun struct {
	done   chan struct{}
	result htonce.Decision
}

// NewKeyOwner returns a key owner without partitions. Bind must be called before use.
func NewKeyOwner(config htonce.Config, reporter *Reporter, now func() time.Time) *KeyOwner {
	return &KeyOwner{reporter: reporter, now: now, owner: htonce.New(config), runs: map[keyID]*keyRun{}}
}

// Bind sets the parts that depend on Keys themselves.
func (k *KeyOwner) Bind(own Ownership, router *Router) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.own, k.router = own, router
}

// Call runs a keyed call, or answers it from the record of an earlier copy.
func (k *KeyOwner) Call(ctx context.Context, call *Call) *Answer {
	id := keyID{call.Meta.Service, call.Meta.Key}
	k.mu.Lock()
	if !k.own.Serving(htview.KeyShard(id.service, id.key)) {
		k.mu.Unlock()
		return UnknownOutcome(htcall.ReasonMoved)
	}
	now := k.now()
	lease := k.own.LeaseUntil(now)
	fingerprint := call.Meta.Method + "\x00" + call.Meta.URI + "\x00" + call.Meta.Caller
	decision := k.owner.Begin(now, lease, id.service, id.key, fingerprint)
	switch decision.(type) {
	case htonce.Run:
		run := &keyRun{done: make(chan struct{})}
		k.runs[id] = run
		k.mu.Unlock()
		return k.first(ctx, call, id, run, lease)
	case htonce.Wait:
		run := k.runs[id]
		k.mu.Unlock()
		return wait(ctx, run)
	default:
		k.mu.Unlock()
		if a, ok := decision.(htonce.OutcomeOnly); ok && a.Outcome == htcall.Unknown && a.Reason == htcall.ReasonOwnerLost {
			// The partition is being handed over, or its previous owner has yet to
			// report how the request ended. The call is worth another try.
			return UnknownOutcome(htcall.ReasonMoved)
		}
		return answerOf(decision)
	}
}

// first runs the call. It goes on when the caller leaves, so that the result is
// there for the next copy of the call.
func (k *KeyOwner) first(ctx context.Context, call *Call, id keyID, run *keyRun, lease time.Time) *Answer {
	kept := *call
	if lease.Before(kept.Deadline) {
		kept.Deadline = lease
	}
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), kept.Deadline)
	results := make(chan *Answer, 1)
	go func() { results <- k.run(detached, cancel, &kept, id, run) }()
	select {
	case answer := <-results:
		return answer
	case <-ctx.Done():
		go func() { (<-results).Discard() }()
		return UnknownOutcome(htcall.ReasonDeadline)
	}
}

// run routes the call and records its end. An answer that is small enough is read
// to its end first, so that it can be kept.
func (k *KeyOwner) run(ctx context.Context, cancel context.CancelFunc, call *Call, id keyID, run *keyRun) *Answer {
	answer := k.router.Route(ctx, call)
	if answer.Outcome != htcall.Done {
		defer cancel()
		k.end(id, run, answer.Outcome, answer.Reason, nil)
		return answer
	}
	stored, rest, err := readStored(answer)
	switch {
	case err != nil:
		cancel()
		k.end(id, run, htcall.Unknown, htcall.ReasonBroken, nil)
		return UnknownOutcome(htcall.ReasonBroken)
	case rest != nil:
		k.end(id, run, htcall.Done, htcall.ReasonNone, nil)
		answer.Body = &ReleasingBody{Reader: rest, Closer: answer.Body, Release: cancel}
		return answer
	default:
		cancel()
		data, err := cbor.Marshal(stored)
		if err != nil {
			data = nil
		}
		k.end(id, run, htcall.Done, htcall.ReasonNone, data)
		return stored.answer()
	}
}

// end records how the call ended and tells the copies that wait for it.
func (k *KeyOwner) end(id keyID, run *keyRun, outcome htcall.Outcome, reason htcall.Reason, answer []byte) {
	k.mu.Lock()
	decision, moved := k.owner.Finish(k.now(), id.service, id.key, outcome, reason, answer)
	run.result = decision
	delete(k.runs, id)
	own := k.own
	k.mu.Unlock()
	close(run.done)
	if moved {
		k.reporter.keyEnd(own, KeyResult{Service: id.service, Key: id.key, Outcome: outcome, Reason: reason, Answer: answer})
	}
}

// Running returns the number of keyed calls that are running, with those whose
// callers have left.
func (k *KeyOwner) Running() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.runs)
}

// HandleKeyResult takes the report of a predecessor.
func (k *KeyOwner) HandleKeyResult(end KeyResult) error {
	if !end.Outcome.Valid() {
		return fmt.Errorf("outcome %q is not known", end.Outcome)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.own.Serving(htview.KeyShard(end.Service, end.Key)) {
		return errors.New("partition is not served here")
	}
	k.owner.Finish(k.now(), end.Service, end.Key, end.Outcome, end.Reason, end.Answer)
	return nil
}

// Collect stops serving a partition and returns its memory.
func (k *KeyOwner) Collect(shard htview.Shard) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.owner.Export(k.now(), shard)
}

// Install starts serving a partition.
func (k *KeyOwner) Install(shard htview.Shard, state []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.owner.Install(k.now(), shard, state); err != nil {
		logrus.WithFields(logrus.Fields{"event": "handover-decode-failed", "shard": shard.String(), "error": err}).Error("memory not decoded")
	}
}

// Drop stops serving a partition and forgets its memory.
func (k *KeyOwner) Drop(shard htview.Shard) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.owner.Drop(shard)
}

// wait waits for the result of a call that is running.
func wait(ctx context.Context, run *keyRun) *Answer {
	if run == nil {
		return UnknownOutcome(htcall.ReasonOwnerLost)
	}
	select {
	case <-run.done:
		return answerOf(run.result)
	case <-ctx.Done():
		return UnknownOutcome(htcall.ReasonDeadline)
	}
}

// answerOf turns a decision of the key owner into an answer.
func answerOf(decision htonce.Decision) *Answer {
	switch d := decision.(type) {
	case htonce.Replay:
		var stored storedAnswer
		if err := cbor.Unmarshal(d.Response, &stored); err != nil {
			return &Answer{Outcome: htcall.Done, Reason: htcall.ReasonAnswerNotKept, Status: http.StatusConflict}
		}
		return stored.answer()
	case htonce.OutcomeOnly:
		return decided(d)
	default:
		return UnknownOutcome(htcall.ReasonInternal)
	}
}

func decided(d htonce.OutcomeOnly) *Answer {
	switch d.Outcome {
	case htcall.Done:
		return &Answer{Outcome: htcall.Done, Reason: d.Reason, Status: http.StatusConflict}
	case htcall.NotRun:
		return Refusal(d.Reason)
	default:
		return UnknownOutcome(d.Reason)
	}
}

// storedAnswer is an answer that is kept for copies of the call.
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

// readStored reads an answer to its end. If it is too large to keep, rest yields
// the whole body instead.
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
