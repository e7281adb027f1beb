package htrelay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htroute"
	"hawthornturn/core/htselect"
)

// group is a group of one host.
type group struct{}

func (group) Size(time.Time) int { return 1 }

func (group) RankAll(uint64) int { return 0 }

// reaction is what a fake upstream does with a send.
type reaction struct {
	after time.Duration
	reply Reply // nil: nothing until the context ends
}

// sender plays a reaction for each send, the last one again and again.
type sender struct {
	mu        sync.Mutex
	reactions []reaction
	sent      []string // upstreams in order
	canceled  int
	deadlines []time.Time
	crash     bool // an upstream that gets a call is gone afterwards
	prober    *prober
}

// Send implements Sender.
func (s *sender) Send(ctx context.Context, to htcatalog.Upstream, deadline time.Time, _ *Call) Reply {
	s.mu.Lock()
	r := s.reactions[min(len(s.sent), len(s.reactions)-1)]
	s.sent = append(s.sent, to.ID)
	s.deadlines = append(s.deadlines, deadline)
	if s.crash {
		s.prober.set(to.ID, htselect.Observation{Down: true})
	}
	s.mu.Unlock()
	if r.reply == nil {
		<-ctx.Done()
	} else {
		select {
		case <-time.After(r.after):
			return r.reply
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(ctx.Err(), context.Canceled) {
		s.canceled++
	}
	return Broken{Err: ctx.Err()}
}

// sends returns the upstreams that were sent to, in order.
func (s *sender) sends() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.sent)
}

// cancels returns the number of sends that were canceled.
func (s *sender) cancels() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canceled
}

// prober tells what the upstreams say of themselves.
type prober struct {
	mu     sync.Mutex
	says   map[string]htselect.Observation // by id; others are idle at their usual speed
	silent map[string]bool                 // do not answer
	asked  map[string]int
}

func newProber() *prober {
	return &prober{says: map[string]htselect.Observation{}, silent: map[string]bool{}, asked: map[string]int{}}
}

// Probe implements Prober.
func (p *prober) Probe(ctx context.Context, to htcatalog.Upstream, _ string) (htselect.Observation, error) {
	p.mu.Lock()
	p.asked[to.ID]++
	o, known := p.says[to.ID]
	silent := p.silent[to.ID]
	p.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return htselect.Observation{}, ctx.Err()
	case o.Down:
		return htselect.Observation{}, ErrGone
	case !known:
		o = htselect.Observation{Speed: 100, Slots: 2}
	}
	o.ColdTold = true
	return o, nil
}

func (p *prober) set(id string, o htselect.Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.says[id] = o
}

// events counts what other hosts would be told.
type events struct {
	mu        sync.Mutex
	faults    int
	gone      int
	crashes   int
	changes   []string // states of upstreams, before and after
	decisions []Decision
}

// UpstreamDown implements Events.
func (e *events) UpstreamDown(_ htcatalog.Upstream, _ error, gone bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if gone {
		e.gone++
	}
}

// Faulty implements Events.
func (e *events) Faulty(htcatalog.Upstream, htselect.Fault, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults++
}

// UpstreamChanged implements Events.
func (e *events) UpstreamChanged(u htcatalog.Upstream, before, after htselect.Observation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changes = append(e.changes, u.ID+" "+before.State()+"-"+after.State())
}

// Crashed implements Events.
func (e *events) Crashed(htroute.CrashCount) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes++
}

// Decided implements Events.
func (e *events) Decided(_ *Call, d Decision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decisions = append(e.decisions, d)
}

// steps names the decisions in order.
func (e *events) steps() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var steps []string
	for _, d := range e.decisions {
		switch d := d.(type) {
		case Sending:
			steps = append(steps, "send "+string(d.Cause))
		case Waiting:
			steps = append(steps, "wait "+string(d.Reason))
		case Failing:
			steps = append(steps, fmt.Sprintf("%T", d.Reply))
		case Staying:
			steps = append(steps, "stay "+d.Because)
		}
	}
	return steps
}

var (
	ok      = Answered{Status: http.StatusOK, Body: []byte("whole"), Work: 50 * time.Millisecond}
	failed  = Answered{Status: http.StatusInternalServerError}
	notRun  = Refused{}
	moved   = Refused{Misplaced: true}
	reset   = Broken{Err: errors.New("reset"), Reset: true}
	unsent  = NotSent{Err: errors.New("dial"), Refused: true}
	silence = reaction{}
)

func after(ms int, r Reply) reaction { return reaction{time.Duration(ms) * time.Millisecond, r} }

// world is a relay with three fake upstreams.
type world struct {
	relay  *Relay
	sender *sender
	prober *prober
	events *events
	route  *htcatalog.Route
}

func newWorld(idempotent bool, reactions ...reaction) *world {
	route := htcatalog.Route{
		Name: "r", Idempotent: idempotent, Timeout: time.Second, Target: 200 * time.Millisecond, Attempts: 2,
		Parts: []htcatalog.Part{{Service: "s", Weight: 1}},
	}
	config := &htcatalog.Config{Routes: []htcatalog.Route{route}, Services: []htcatalog.Service{{Name: "s", ColdPerSecond: 10}}}
	var upstreams []htcatalog.Upstream
	for i := range 3 {
		upstreams = append(upstreams, htcatalog.Upstream{ID: fmt.Sprintf("u%d", i), Service: "s", Domain: "a", Slots: 2})
	}
	limits := htselect.Limits{
		Retry:           htselect.RetryLimit{Ratio: 1, Extra: 1000, Window: time.Second},
		ProbesPerSecond: 60,
	}
	selector := htselect.New("a", group{}, limits, rand.New(rand.NewPCG(1, 2)))
	selector.Apply(time.Now(), htcatalog.New(config, upstreams, nil))
	w := &world{sender: &sender{reactions: reactions}, prober: newProber(), events: &events{}, route: &route}
	w.relay = New(selector, w.sender, w.prober, w.events, time.Now)
	return w
}

func (w *world) serve(ctx context.Context) *Answer {
	now := time.Now()
	return w.relay.Serve(ctx, &Call{
		ID: "1", Method: http.MethodGet, Host: "h", URI: "/x/", Route: w.route, Arrived: now, Deadline: now.Add(time.Second),
	})
}

// Guards against a second run of a call that is not idempotent, a refusal of a call that
// may have run, and an answer given late although it is ready.
func TestServe(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		reactions  []reaction
		status     int
		outcome    htcall.Outcome
		sends      int
	}{
		{"answered", true, []reaction{after(50, ok)}, 200, htcall.Done, 1},
		{"answered, not idempotent", false, []reaction{after(50, ok)}, 200, htcall.Done, 1},
		{"failed, then answered", true, []reaction{after(50, failed), after(50, ok)}, 200, htcall.Done, 2},
		{"failed twice: the upstream's failure is passed on", true, []reaction{after(50, failed)}, 500, htcall.Done, 2},
		{"failed, not idempotent", false, []reaction{after(50, failed), after(50, ok)}, 500, htcall.Done, 1},
		{"reset, then answered", true, []reaction{after(50, reset), after(50, ok)}, 200, htcall.Done, 2},
		{"reset, not idempotent", false, []reaction{after(50, reset), after(50, ok)}, 502, htcall.Unknown, 1},
		{"refused, then answered", false, []reaction{after(5, notRun), after(50, ok)}, 200, htcall.Done, 2},
		{"another upstream's address", false, []reaction{after(5, moved), after(50, ok)}, 200, htcall.Done, 2},
		{"refused everywhere", false, []reaction{after(5, notRun)}, 503, htcall.NotRun, 3},
		{"no connection, then answered", false, []reaction{after(5, unsent), after(50, ok)}, 200, htcall.Done, 2},
		{"no connection anywhere", true, []reaction{after(5, unsent)}, 503, htcall.NotRun, 3},
		{"refused, then reset", false, []reaction{after(5, notRun), after(5, reset)}, 502, htcall.Unknown, 2},
		{"reset, then refused", true, []reaction{after(5, reset), after(5, notRun)}, 502, htcall.Unknown, 3},
		{"silent, not idempotent", false, []reaction{silence}, 504, htcall.Unknown, 1},
		{"silent, then another answers", true, []reaction{silence, after(50, ok)}, 200, htcall.Done, 2},
		{"late but ready", false, []reaction{after(900, ok)}, 200, htcall.Done, 1},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(tt.idempotent, tt.reactions...)
			answer := w.serve(t.Context())
			if answer.Status != tt.status || answer.Outcome != tt.outcome {
				t.Errorf("%s: status %d, outcome %s, want %d, %s", tt.name, answer.Status, answer.Outcome, tt.status, tt.outcome)
			}
			if sent := w.sender.sends(); len(sent) != tt.sends {
				t.Errorf("%s: sent to %v, want %d sends", tt.name, sent, tt.sends)
			}
			if answer.Status == http.StatusServiceUnavailable && answer.RetryAfter <= 0 {
				t.Errorf("%s: the refusal does not say when to come back", tt.name)
			}
			time.Sleep(time.Second) // sends that nobody waits for end
		})
	}
}

// Guards against refusals that are held back although nothing can serve the call.
func TestRefusalIsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(true, after(50, ok))
		for i := range 3 {
			w.relay.Learn(time.Now(), htselect.Observation{Upstream: htcatalog.RefOf(fmt.Sprintf("u%d", i)), Down: true})
		}
		begun := time.Now()
		answer := w.serve(t.Context())
		if answer.Status != http.StatusServiceUnavailable || time.Since(begun) > 0 || answer.RetryAfter <= 0 {
			t.Errorf("status %d after %v, come back after %v", answer.Status, time.Since(begun), answer.RetryAfter)
		}
	})
}

// Guards against waiting for an upstream that became slow or went down under the call.
func TestSecondUpstreamWhenTheFirstChanges(t *testing.T) {
	tests := []struct {
		name  string
		news  htselect.Observation
		sends int
	}{
		{"much slower", htselect.Observation{Speed: 800, Slots: 2}, 2},
		{"down", htselect.Observation{Down: true}, 2},
		{"as before", htselect.Observation{Speed: 100, Slots: 2}, 1},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(true, after(110, ok), after(40, ok))
			for i := range 3 {
				w.relay.Learn(time.Now(), htselect.Observation{Upstream: htcatalog.RefOf(fmt.Sprintf("u%d", i)), Speed: 100, Slots: 2})
			}
			go func() {
				time.Sleep(20 * time.Millisecond)
				w.prober.set(w.sender.sends()[0], tt.news)
			}()
			begun := time.Now()
			answer := w.serve(t.Context())
			if sent := w.sender.sends(); answer.Status != http.StatusOK || len(sent) != tt.sends {
				t.Errorf("%s: status %d after %d sends, want %d", tt.name, answer.Status, len(sent), tt.sends)
			}
			if tt.sends > 1 && time.Since(begun) > watchFloor+45*time.Millisecond {
				t.Errorf("%s: answered after %v", tt.name, time.Since(begun))
			}
			time.Sleep(time.Second)
		})
	}
}

// Guards against upstreams that go on working for a caller that left, and against a call
// that took effect half way because its caller left.
func TestCallerLeaves(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		canceled   int
	}{{"idempotent", true, 1}, {"not idempotent", false, 0}}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(tt.idempotent, after(500, ok))
			ctx, leave := context.WithTimeout(t.Context(), 30*time.Millisecond)
			defer leave()
			begun := time.Now()
			w.serve(ctx)
			if time.Since(begun) != 30*time.Millisecond {
				t.Errorf("%s: ended after %v", tt.name, time.Since(begun))
			}
			time.Sleep(time.Second)
			if n := w.sender.cancels(); n != tt.canceled {
				t.Errorf("%s: %d sends canceled, want %d", tt.name, n, tt.canceled)
			}
		})
	}
}

// Guards against upstreams that get more time than the caller has left.
func TestUpstreamGetsTheCallersDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(true, after(300, reset), after(50, ok))
		begun := time.Now()
		w.serve(t.Context())
		time.Sleep(2 * time.Second)
		synctest.Wait()
		w.sender.mu.Lock()
		defer w.sender.mu.Unlock()
		for i, d := range w.sender.deadlines {
			if d.Sub(begun) != time.Second {
				t.Errorf("send %d may take until %v", i, d.Sub(begun))
			}
		}
	})
}

// Guards against a request that crashes one upstream after the other, and against taking
// lost answers for crashes.
func TestCrashingRequestIsRefused(t *testing.T) {
	tests := []struct {
		name    string
		crash   bool // the upstream is found down afterwards
		blocked bool
	}{{"upstreams are down afterwards", true, true}, {"upstreams go on", false, false}}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(false, after(5, reset))
			w.sender.crash = tt.crash
			w.sender.prober = w.prober
			for range crashThreshold {
				w.serve(t.Context())
				time.Sleep(100 * time.Millisecond) // the upstream is asked whether it is there
			}
			before := len(w.sender.sends())
			answer := w.serve(t.Context())
			if blocked := answer.Reason == htcall.ReasonQuarantined; blocked != tt.blocked {
				t.Errorf("%s: answer %d %s", tt.name, answer.Status, answer.Reason)
			}
			if tt.blocked && len(w.sender.sends()) != before {
				t.Errorf("%s: the request was sent again", tt.name)
			}
			other := New(nil, nil, nil, nil, time.Now)
			other.MergeCrashes(w.relay.Crashes())
			call := &Call{Method: http.MethodGet, Host: "h", URI: "/x/"}
			if other.crashes.blocked(time.Now(), call.fingerprint()) != tt.blocked {
				t.Errorf("%s: another host does not agree", tt.name)
			}
			time.Sleep(time.Second)
		})
	}
}

// Guards against messages that outgrow a datagram after many crashes, against counting one
// crash twice because two hosts or two callers saw it, and against telling it for ever.
func TestCrashNews(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := newCrashes(), newCrashes()
	for i := range 50 {
		for _, c := range []*crashes{a, a, b} {
			c.broke(now, uint64(i), 7)
		}
		a.down(now, 7)
		b.down(now.Add(time.Millisecond), 7)
		b.quarantine.Merge(now, a.recent(now))
		if a.blocked(now, uint64(i)) || b.blocked(now, uint64(i)) {
			t.Fatalf("request %d is blocked after one crash", i)
		}
	}
	if n := len(a.recent(now)); n != maxCrashNews {
		t.Errorf("%d crashes are told, want %d", n, maxCrashNews)
	}
	if n := len(a.recent(now.Add(crashNews + time.Second))); n != 0 {
		t.Errorf("%d crashes are told after %v", n, crashNews)
	}
}
