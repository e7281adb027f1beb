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

// defaultSeed makes the sequences reproducible; -rapid.seed overrides it.
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

// modelHost is an entry host that may own the partition of the model.
type modelHost struct {
	owner       *htonce.Owner
	clockSkew   time.Duration // offset of its wall clock
	runningKeys []string      // keys for which Begin returned Run and Finish was not called yet
	serving     bool
}

// model is a partition that moves between hosts, with its callers and upstream.
type model struct {
	rt     *rapid.T
	now    time.Time
	shard  htview.Shard
	keys   []string
	hosts  []*modelHost
	runs   map[string]int
	notRun map[string]bool
}

func (m *model) newHost() *modelHost {
	clockSkew := time.Duration(rapid.IntRange(-250, 250).Draw(m.rt, "skew")) * time.Millisecond
	h := &modelHost{owner: htonce.New(htonce.Config{MaxTotalResponseBytes: 64, MaxPartitionRecords: 8}), clockSkew: clockSkew}
	m.hosts = append(m.hosts, h)
	return h
}

func (m *model) servingHost() *modelHost {
	for _, h := range m.hosts {
		if h.serving {
			return h
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

// call sends a key to any host. A host that does not serve the partition has no lease.
func (m *model) call() {
	h := rapid.SampledFrom(m.hosts).Draw(m.rt, "process")
	now := m.now.Add(h.clockSkew)
	lease := time.Time{}
	if h.serving {
		lease = now.Add(time.Second)
	}
	key := m.key()
	switch d := h.owner.Begin(now, lease, "s", key, "f").(type) {
	case htonce.Run:
		h.runningKeys = append(h.runningKeys, key)
	case htonce.OutcomeOnly:
		m.recordOutcome(key, d.Outcome)
	}
}

// finish ends a request, whether or not it reached the upstream.
func (m *model) finish() {
	h := rapid.SampledFrom(m.hosts).Draw(m.rt, "process")
	if len(h.runningKeys) == 0 {
		return
	}
	key := h.runningKeys[0]
	h.runningKeys = h.runningKeys[1:]
	outcome := rapid.SampledFrom([]htcall.Outcome{htcall.Done, htcall.NotRun, htcall.Unknown}).Draw(m.rt, "outcome")
	if outcome != htcall.NotRun {
		m.runs[key]++
	}
	_, moved := h.owner.Finish(m.now.Add(h.clockSkew), "s", key, outcome, "", []byte("0123456789"))
	if s := m.servingHost(); moved && s != nil && rapid.Bool().Draw(m.rt, "reported") {
		_, _ = s.owner.Finish(m.now.Add(s.clockSkew), "s", key, outcome, "", []byte("0123456789"))
	}
	m.recordOutcome(key, outcome)
}

func (m *model) recordOutcome(key string, outcome htcall.Outcome) {
	m.notRun[key] = m.notRun[key] || outcome == htcall.NotRun
}

// move hands the partition over, with its state or, after a lapsed lease, without.
func (m *model) move() {
	var state []byte
	if s := m.servingHost(); s != nil {
		s.serving = false
		state = s.owner.Export(m.now.Add(s.clockSkew), m.shard)
		if rapid.Bool().Draw(m.rt, "lapsed") {
			state = nil
		}
	}
	next := m.newHost()
	if err := next.owner.Install(m.now.Add(next.clockSkew), m.shard, state); err != nil {
		m.rt.Fatal(err)
	}
	next.serving = true
}

func (m *model) wait() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(m.rt, "ms")) * time.Millisecond)
}

func (m *model) waitLong() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(m.rt, "s")) * time.Second)
}

// TestRandomCalls guards against a key that runs twice, or runs although not-run was
// returned, across hand-overs with and without state, expiry, small limits, and clock
// skew between callers and hosts.
func TestRandomCalls(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{rt: rt, now: epoch, shard: htview.Shard{Partition: 5}, runs: map[string]int{}, notRun: map[string]bool{}}
		m.move()
		steps := []func(){m.call, m.call, m.call, m.call, m.finish, m.finish, m.move, m.wait, m.waitLong}
		for range rapid.IntRange(10, 80).Draw(rt, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(rt, "step")]()
			for key, n := range m.runs {
				if n > 1 || (n > 0 && m.notRun[key]) {
					rt.Fatalf("key %s ran %d times, not-run returned %v", key, n, m.notRun[key])
				}
			}
		}
	})
}
