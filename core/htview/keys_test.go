package htview_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htonce"
	"hawthornturn/core/htview"
)

// callRecord records, by key, which outcomes callers received and which requests
// upstreams ran.
type callRecord struct {
	mu         sync.Mutex
	keys       []string
	ran        map[string]int
	notRun     map[string]bool
	outcomes   map[htcall.Outcome]int
	violations []string
}

func newCallRecord() *callRecord {
	return &callRecord{ran: map[string]int{}, notRun: map[string]bool{}, outcomes: map[htcall.Outcome]int{}}
}

// recordRun records that an upstream ran the request.
func (l *callRecord) recordRun(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[key]++
	if l.ran[key] > 1 {
		l.violations = append(l.violations, fmt.Sprintf("key %s ran %d times", key, l.ran[key]))
	}
	if l.notRun[key] {
		l.violations = append(l.violations, fmt.Sprintf("key %s ran after its caller received not-run", key))
	}
}

// recordOutcome records an outcome that a caller received.
func (l *callRecord) recordOutcome(key string, outcome htcall.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[outcome]++
	if outcome != htcall.NotRun {
		return
	}
	l.notRun[key] = true
	if l.ran[key] > 0 {
		l.violations = append(l.violations, fmt.Sprintf("a caller received not-run for key %s, which ran", key))
	}
}

// newKey returns a new key (a UUID of version 7) from a caller whose clock is off by
// skew.
func newKey(r *rand.Rand, skew time.Duration) string {
	var id uuid.UUID
	for i := range id {
		id[i] = byte(r.Uint32())
	}
	ms := time.Now().Add(skew).UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

// pickKey returns a new key or, so that it is sent again, a key used before.
func (l *callRecord) pickKey(r *rand.Rand) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.keys) > 0 && r.IntN(3) > 0 {
		recent := l.keys[max(0, len(l.keys)-60):]
		return recent[r.IntN(len(recent))]
	}
	key := newKey(r, time.Duration(r.IntN(1400)-700)*time.Millisecond)
	l.keys = append(l.keys, key)
	return key
}

// sendKeyedCalls sends keyed calls through random hosts until stop is closed.
func (c *cluster) sendKeyedCalls(l *callRecord, seed uint64, stop <-chan struct{}) {
	r := rand.New(rand.NewPCG(seed, 1))
	for {
		select {
		case <-stop:
			return
		case <-time.After(15 * time.Millisecond):
		}
		live := c.live()
		if len(live) == 0 {
			continue
		}
		key, front := l.pickKey(r), live[r.IntN(len(live))]
		work := time.Duration(r.IntN(400)) * time.Millisecond
		refuse := r.IntN(8) == 0
		go c.keyedCall(l, front, key, work, refuse)
	}
}

// keyedCall sends a call from front to the key owner in the active view of front.
func (c *cluster) keyedCall(l *callRecord, front *host, key string, work time.Duration, refuse bool) {
	member, ok := front.m.Owner(htview.KeyShard("s", key))
	if !ok {
		l.recordOutcome(key, htcall.Unknown)
		return
	}
	owner := c.hostAt(member.Address)
	time.Sleep(time.Millisecond)
	if owner.gate.killed() || owner.paused() {
		l.recordOutcome(key, htcall.Unknown)
		return
	}
	if outcome, replied := owner.handleKeyedCall(l, key, work, refuse); replied {
		l.recordOutcome(key, outcome)
	}
}

func (h *host) paused() bool {
	h.gate.mu.Lock()
	defer h.gate.mu.Unlock()
	select {
	case <-h.gate.running:
		return false
	default:
		return true
	}
}

// handleKeyedCall handles a keyed call at the key owner. It returns false if the
// process is killed before it replies.
func (h *host) handleKeyedCall(l *callRecord, key string, work time.Duration, refuse bool) (htcall.Outcome, bool) {
	h.mu.Lock()
	decision := h.owner.Begin(h.now(), h.leaseEnd(), "s", key, "f")
	h.mu.Unlock()
	switch d := decision.(type) {
	case htonce.Run:
		return h.dispatchCall(l, key, work, refuse)
	case htonce.Replay:
		return htcall.Done, true
	case htonce.OutcomeOnly:
		return d.Outcome, true
	default:
		return htcall.Unknown, true // a caller that stops waiting for the first call with the key
	}
}

// dispatchCall waits as in a queue, checks the lease and sends the call.
func (h *host) dispatchCall(l *callRecord, key string, work time.Duration, refuse bool) (htcall.Outcome, bool) {
	time.Sleep(work / 2)
	if h.gate.wait(context.Background()) != nil {
		return "", false
	}
	outcome := htcall.Done
	if refuse || h.m.LeaseUntil(time.Now()).IsZero() {
		outcome = htcall.NotRun
	} else {
		l.recordRun(key)
		time.Sleep(work / 2)
	}
	if h.gate.wait(context.Background()) != nil {
		return "", false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _ = h.owner.Finish(h.now(), "s", key, outcome, htcall.ReasonRefused, []byte("answer"))
	return outcome, true
}
