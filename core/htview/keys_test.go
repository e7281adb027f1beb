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

// ledger is what callers were told and what upstreams ran, by key.
type ledger struct {
	mu       sync.Mutex
	keys     []string
	ran      map[string]int
	notRun   map[string]bool
	told     map[htcall.Outcome]int
	problems []string
}

func newLedger() *ledger {
	return &ledger{ran: map[string]int{}, notRun: map[string]bool{}, told: map[htcall.Outcome]int{}}
}

// run notes that an upstream ran the request.
func (l *ledger) run(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[key]++
	if l.ran[key] > 1 {
		l.problems = append(l.problems, fmt.Sprintf("key %s ran %d times", key, l.ran[key]))
	}
	if l.notRun[key] {
		l.problems = append(l.problems, fmt.Sprintf("key %s ran after not-run was told", key))
	}
}

// tell notes an outcome that a caller was told.
func (l *ledger) tell(key string, outcome htcall.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[outcome]++
	if outcome != htcall.NotRun {
		return
	}
	l.notRun[key] = true
	if l.ran[key] > 0 {
		l.problems = append(l.problems, fmt.Sprintf("not-run was told for key %s, which ran", key))
	}
}

// newKey makes a key on a caller's clock that is off by skew.
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

// pick returns a new key, or one used before so that it is sent again.
func (l *ledger) pick(r *rand.Rand) string {
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

// callers sends keyed calls through random hosts until stop is closed.
func (c *cluster) callers(l *ledger, seed uint64, stop <-chan struct{}) {
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
		key, front := l.pick(r), live[r.IntN(len(live))]
		work := time.Duration(r.IntN(400)) * time.Millisecond
		refuse := r.IntN(8) == 0
		go c.keyedCall(l, front, key, work, refuse)
	}
}

// keyedCall is a call from the front end to the key owner in the front's view.
func (c *cluster) keyedCall(l *ledger, front *host, key string, work time.Duration, refuse bool) {
	member, ok := front.m.Owner(htview.KeyShard("s", key))
	if !ok {
		l.tell(key, htcall.Unknown)
		return
	}
	owner := c.at(member.Address)
	time.Sleep(time.Millisecond)
	if owner.gate.killed() || owner.paused() {
		l.tell(key, htcall.Unknown)
		return
	}
	if outcome, told := owner.accept(l, key, work, refuse); told {
		l.tell(key, outcome)
	}
}

func (h *host) paused() bool {
	h.gate.mu.Lock()
	defer h.gate.mu.Unlock()
	select {
	case <-h.gate.opened:
		return false
	default:
		return true
	}
}

// accept is what a key owner does with a keyed call. It reports false when the
// process dies before it answers.
func (h *host) accept(l *ledger, key string, work time.Duration, refuse bool) (htcall.Outcome, bool) {
	h.mu.Lock()
	decision := h.owner.Begin(h.now(), h.lease(), "s", key, "f")
	h.mu.Unlock()
	switch d := decision.(type) {
	case htonce.Run:
		return h.dispatch(l, key, work, refuse)
	case htonce.Replay:
		return htcall.Done, true
	case htonce.OutcomeOnly:
		return d.Outcome, true
	default:
		return htcall.Unknown, true // a waiting caller that gives up
	}
}

// dispatch waits in the queue, checks the lease and sends.
func (h *host) dispatch(l *ledger, key string, work time.Duration, refuse bool) (htcall.Outcome, bool) {
	time.Sleep(work / 2)
	if h.gate.wait(context.Background()) != nil {
		return "", false
	}
	outcome := htcall.Done
	if refuse || h.m.LeaseUntil(time.Now()).IsZero() {
		outcome = htcall.NotRun
	} else {
		l.run(key)
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
