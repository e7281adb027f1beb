package htroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hawthornturn/core/htcall"
)

var (
	start   = time.Unix(1000, 0)
	targets = []Target{{"s0", "d0"}, {"s1", "d1"}, {"s2", "d2"}}
)

func newRouter() *Router { return New(rand.New(rand.NewPCG(1, 1))) }

// Guards against calls to a shard that is full, unreachable, without capacity, shedding or
// already tried while a better one is available, and against choosing none when all are
// bad.
func TestChoose(t *testing.T) {
	idle := htcall.Load{Capacity: 4}
	seen := func(l htcall.Load) func(*Router, string) {
		return func(r *Router, s string) { r.Seen(start, s, l) }
	}
	fail := func(r *Router, s string) { r.Seen(start, s, idle); r.Failed(start, s) }
	busy := func(r *Router, s string) {
		r.Seen(start, s, idle)
		for range 3 {
			r.Sent(start, s)
		}
	}
	half := seen(htcall.Load{InFlight: 2, Capacity: 4})
	full := seen(htcall.Load{InFlight: 4, Queued: 4, Capacity: 4})
	shed := seen(htcall.Load{InFlight: 2, Capacity: 4, Shedding: true})
	none := seen(htcall.Load{})
	tests := []struct {
		name    string
		setup   [3]func(*Router, string)
		exclude []string
		after   time.Duration
		want    string
	}{
		{"lowest load", [3]func(*Router, string){half, full, half}, []string{"d0"}, 0, "s2"},
		{"own calls since the load was seen", [3]func(*Router, string){busy, busy, half}, nil, 0, "s2"},
		{"unreachable", [3]func(*Router, string){fail, full, fail}, nil, 0, "s1"},
		{"reachable again", [3]func(*Router, string){full, full, fail}, nil, 300 * time.Millisecond, "s2"},
		{"no capacity", [3]func(*Router, string){none, full, none}, nil, 0, "s1"},
		{"shedding, first attempt", [3]func(*Router, string){shed, half, shed}, nil, 0, "s1"},
		{"shedding, less loaded than others", [3]func(*Router, string){full, shed, full}, nil, 0, "s1"},
		{"shedding, retry", [3]func(*Router, string){half, shed, full}, []string{"d0"}, 0, "s2"},
		{"all excluded", [3]func(*Router, string){full, half, full}, []string{"d0", "d1", "d2"}, 0, "s1"},
		{"excluded or unreachable", [3]func(*Router, string){full, fail, fail}, []string{"d0"}, 0, "s1|s2"},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			r := newRouter()
			for i, f := range v.setup {
				f(r, targets[i].Shard)
			}
			got, ok := r.Choose(start.Add(v.after), targets, v.exclude)
			if !ok || got.Shard != v.want && (v.want != "s1|s2" || got.Shard == "s0") {
				t.Fatalf("got %v %v, want %s", got, ok, v.want)
			}
		})
	}
	if _, ok := newRouter().Choose(start, nil, nil); ok {
		t.Fatal("chose a target although there is none")
	}
}

// Guards against never trying a shard again after its answers stopped, and against sending
// it a full share based on an old view.
func TestStaleShardIsTriedRarely(t *testing.T) {
	r := newRouter()
	r.Seen(start, "s0", htcall.Load{Capacity: 4})
	now := start.Add(2 * time.Second)
	r.Seen(now, "s1", htcall.Load{InFlight: 3, Capacity: 4})
	tried := 0
	for range 10000 {
		if c, _ := r.Choose(now, targets[:2], nil); c.Shard == "s0" {
			tried++
		}
	}
	if tried < 100 || tried > 300 {
		t.Fatalf("tried %d times in 10000", tried)
	}
}

// Guards against many hosts that all keep sending to the shard that was idle some time ago.
func TestOldViewLosesWeight(t *testing.T) {
	r := newRouter()
	r.Seen(start, "s0", htcall.Load{Capacity: 20})
	r.Seen(start, "s1", htcall.Load{InFlight: 10, Capacity: 20})
	sent := map[string]int{}
	for range 10 {
		c, _ := r.Choose(start.Add(100*time.Millisecond), targets[:2], nil)
		r.Sent(start, c.Shard)
		sent[c.Shard]++
	}
	if sent["s0"] > 7 {
		t.Fatalf("sent %v", sent)
	}
}

// Guards against extra load above the share: from a full bucket at the start, from
// rounding, and from tokens accumulated in quiet times.
func TestBudget(t *testing.T) {
	tests := []struct {
		share, burst float64
		first        int // first attempts before the retries
		least, most  int // spent by the retries
	}{
		{0.1, 5, 0, 0, 0},
		{0.1, 5, 9, 0, 0},
		{0.1, 5, 10, 1, 1},
		{0.1, 5, 100000, 5, 5},
		{0, 5, 1000, 0, 0},
	}
	for _, v := range tests {
		b := NewBudget(v.share, v.burst)
		spent := 0
		for range v.first {
			b.Earn()
		}
		for range 1000 {
			if b.Spend() {
				spent++
			}
		}
		if spent < v.least || spent > v.most {
			t.Errorf("%+v: spent %d", v, spent)
		}
	}
	b, spent := NewBudget(0.1, 5), 0
	for n := 1; n <= 100000; n++ {
		b.Earn()
		if b.Spend() {
			spent++
		}
		if 10*spent > n {
			t.Fatalf("%d of %d", spent, n)
		}
	}
	if spent != 10000 {
		t.Fatalf("spent %d of 10000", spent)
	}
}

// Guards against a request that keeps crashing upstreams, and against blocking a request
// because of a single crash, a report counted twice or old crashes.
func TestQuarantine(t *testing.T) {
	const window = 10 * time.Minute
	q, other := NewQuarantine(2, window), NewQuarantine(2, window)
	q.Crashed(start, "f", "a")
	for range 3 {
		other.Merge(start, q.Export(start))
		q.Merge(start, other.Export(start))
	}
	if q.Blocked(start, "f") || other.Blocked(start, "f") {
		t.Fatal("a single crash blocks")
	}
	other.Crashed(start.Add(time.Minute), "f", "b")
	q.Merge(start.Add(time.Minute), other.Export(start.Add(time.Minute)))
	q.Merge(start.Add(time.Minute), NewQuarantine(2, window).Export(start))
	if !q.Blocked(start.Add(time.Minute), "f") || !other.Blocked(start.Add(time.Minute), "f") || q.Blocked(start, "g") {
		t.Fatal("two crashes on two hosts do not block, or block another request")
	}
	if q.Blocked(start.Add(window), "f") {
		t.Fatal("blocked after the window")
	}
	late := NewQuarantine(2, window)
	late.Crashed(start, "f", "a")
	old := late.Export(start)
	late.Crashed(start, "f", "a")
	late.Merge(start, old)
	if !late.Blocked(start, "f") {
		t.Fatal("an old report replaced a newer one")
	}
	ahead := NewQuarantine(1, window)
	ahead.Merge(start, []CrashCount{{Fingerprint: "f", Reporter: "c", Count: 1, Last: start.Add(time.Hour)}})
	if ahead.Blocked(start.Add(window), "f") {
		t.Fatal("a clock that is ahead extended the quarantine")
	}
	for i := range 2 * maxCrashes {
		q.Crashed(start.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i), "a")
	}
	if n := len(q.Export(start.Add(window / 2))); n != maxCrashes {
		t.Fatalf("%d crashes kept", n)
	}
}

// BenchmarkChoose measures one choice among the failure domains of the design size.
func BenchmarkChoose(b *testing.B) {
	r := newRouter()
	var all []Target
	for i := range 18 {
		all = append(all, Target{Shard: fmt.Sprint("s", i), Domain: fmt.Sprint("d", i)})
		r.Seen(start, all[i].Shard, htcall.Load{InFlight: i, Capacity: 100})
	}
	b.ReportAllocs()
	for b.Loop() {
		t, _ := r.Choose(start, all, nil)
		r.Sent(start, t.Shard)
	}
}

// Guards against blocking a request that many callers send because it was in flight when
// two upstreams crashed for another reason.
func TestServedRequestIsNotBlocked(t *testing.T) {
	q := NewQuarantine(2, time.Minute)
	q.Crashed(start, "f", "a")
	q.Served("f")
	q.Crashed(start, "f", "b")
	if q.Blocked(start, "f") {
		t.Error("blocked by crashes before and after it was served")
	}
	q.Crashed(start, "f", "a")
	if !q.Blocked(start, "f") {
		t.Error("not blocked after two crashes in a row")
	}
}
