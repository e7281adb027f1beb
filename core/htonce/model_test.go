package htonce_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htonce"
	"hawthornturn/core/htview"
)

// defaultSeed fixes the sequences; -rapid.seed overrides it.
const defaultSeed = "20261204"

func fixSeed(t *testing.T) {
	t.Helper()
	f := flag.Lookup("rapid.seed")
	if f.Value.String() == "0" {
		if err := f.Value.Set(defaultSeed); err != nil {
			t.Fatal(err)
		}
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %s", f.Value)
}

// process is an entry host that may own the one partition of the model.
type process struct {
	owner   *htonce.Owner
	skew    time.Duration // of its wall clock
	running []string      // keys that it was told to run
	serves  bool
}

// model is a partition that moves between processes, with its callers and upstream.
type model struct {
	rt     *rapid.T
	now    time.Time
	shard  htview.Shard
	keys   []string
	all    []*process
	ran    map[string]int
	notRun map[string]bool
}

func (m *model) newProcess() *process {
	skew := time.Duration(rapid.IntRange(-250, 250).Draw(m.rt, "skew")) * time.Millisecond
	p := &process{owner: htonce.New(htonce.Config{MaxTotalResponseBytes: 64, MaxPartitionRecords: 8}), skew: skew}
	m.all = append(m.all, p)
	return p
}

func (m *model) server() *process {
	for _, p := range m.all {
		if p.serves {
			return p
		}
	}
	return nil
}

func (m *model) key() string {
	if len(m.keys) > 0 && rapid.Bool().Draw(m.rt, "again") {
		return rapid.SampledFrom(m.keys).Draw(m.rt, "key")
	}
	for n := byte(0); ; n++ {
		skew := time.Duration(rapid.IntRange(-1200, 1200).Draw(m.rt, "caller skew")) * time.Millisecond
		if key := keyAt(m.now.Add(skew), n); htview.KeyShard("s", key) == m.shard {
			m.keys = append(m.keys, key)
			return key
		}
	}
}

// call sends a key to any process. One that does not serve has no lease.
func (m *model) call() {
	p := rapid.SampledFrom(m.all).Draw(m.rt, "process")
	now := m.now.Add(p.skew)
	lease := time.Time{}
	if p.serves {
		lease = now.Add(time.Second)
	}
	key := m.key()
	switch d := p.owner.Begin(now, lease, "s", key, "f").(type) {
	case htonce.Run:
		p.running = append(p.running, key)
	case htonce.OutcomeOnly:
		m.tell(key, d.Outcome)
	}
}

// end ends a run, after it reached the upstream or without.
func (m *model) end() {
	p := rapid.SampledFrom(m.all).Draw(m.rt, "process")
	if len(p.running) == 0 {
		return
	}
	key := p.running[0]
	p.running = p.running[1:]
	outcome := rapid.SampledFrom([]htcall.Outcome{htcall.Done, htcall.NotRun, htcall.Unknown}).Draw(m.rt, "outcome")
	if outcome != htcall.NotRun {
		m.ran[key]++
	}
	_, moved := p.owner.Finish(m.now.Add(p.skew), "s", key, outcome, "", []byte("0123456789"))
	if s := m.server(); moved && s != nil && rapid.Bool().Draw(m.rt, "reported") {
		_, _ = s.owner.Finish(m.now.Add(s.skew), "s", key, outcome, "", []byte("0123456789"))
	}
	m.tell(key, outcome)
}

func (m *model) tell(key string, outcome htcall.Outcome) {
	m.notRun[key] = m.notRun[key] || outcome == htcall.NotRun
}

// move hands the partition over, with its memory or after a lapse.
func (m *model) move() {
	var state []byte
	if s := m.server(); s != nil {
		s.serves = false
		state = s.owner.Export(m.now.Add(s.skew), m.shard)
		if rapid.Bool().Draw(m.rt, "lapsed") {
			state = nil
		}
	}
	next := m.newProcess()
	if err := next.owner.Install(m.now.Add(next.skew), m.shard, state); err != nil {
		m.rt.Fatal(err)
	}
	next.serves = true
}

func (m *model) wait() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(m.rt, "ms")) * time.Millisecond)
}

func (m *model) waitLong() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(m.rt, "s")) * time.Second)
}

// TestRandomCalls guards against a key that runs twice or after not-run was told,
// over hand-overs with and without memory, expiry, small budgets, and clocks of
// callers and hosts that differ.
func TestRandomCalls(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{rt: rt, now: epoch, shard: htview.Shard{Partition: 5}, ran: map[string]int{}, notRun: map[string]bool{}}
		m.move()
		steps := []func(){m.call, m.call, m.call, m.call, m.end, m.end, m.move, m.wait, m.waitLong}
		for range rapid.IntRange(10, 80).Draw(rt, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(rt, "step")]()
			for key, n := range m.ran {
				if n > 1 || (n > 0 && m.notRun[key]) {
					rt.Fatalf("key %s ran %d times, not-run told %v", key, n, m.notRun[key])
				}
			}
		}
	})
}
