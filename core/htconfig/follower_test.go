package htconfig

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"hawthornturn/core/htresource"
)

// Guards against a host that starts with an outdated set while the table is down,
// because it takes the set of a slow peer or of a delayed push although another peer
// has a newer one.
func TestStartWithTableDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		c.hosts[0].mustApply("a:in")
		c.hosts[1].kill()
		old := c.hosts[0].follower.Current()
		c.hosts[0].mustApply("a:out")
		stale := c.add("stale")
		stale.follower.accept(old)
		late := c.add("late")
		late.link.down = true
		for _, h := range []string{"host-0", "stale"} {
			c.setCut("late", h, true)
		}
		late.start()
		time.Sleep(10 * time.Second)
		late.follower.HandlePush(old)
		if late.follower.Ready() {
			t.Fatal("ready after a push alone")
		}
		c.setCut("late", "host-0", false)
		c.setCut("late", "stale", false)
		time.Sleep(2 * FetchTimeout)
		if !late.follower.Ready() || !slices.Equal(late.revisions(), []uint64{2}) {
			t.Errorf("ready %v, saw %v", late.follower.Ready(), late.revisions())
		}
		stale.cancel = func() {}
		c.stop()
	})
}

// Guards against a host that keeps the set of the first peer that it reached after
// a peer with a newer set becomes reachable.
func TestKeepsAskingPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.hosts[0].mustApply("a:in")
		stale := c.add("stale")
		stale.follower.accept(c.hosts[0].follower.Current())
		stale.cancel = func() {}
		c.setCut("host-0", "stale", true)
		c.hosts[0].mustApply("a:out")
		late := c.add("late")
		late.link.down = true
		c.setCut("late", "host-0", true)
		late.start()
		time.Sleep(5 * time.Second)
		c.setCut("late", "host-0", false)
		time.Sleep(5 * time.Second)
		if !slices.Equal(late.revisions(), []uint64{1, 2}) {
			t.Errorf("saw %v", late.revisions())
		}
		c.stop()
	})
}

// Guards against an older set that replaces a newer one, by push or otherwise, and
// against a revision that counts as applied before every subscriber has received it.
func TestOlderSetNeverReplacesNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		f := c.hosts[0].follower
		c.hosts[0].mustApply("a:in")
		old := f.Current()
		stop := f.Subscribe(func(s *htresource.Set) {
			if f.Applied() >= s.Revision && s != old {
				t.Errorf("revision %d counts as applied before its subscriber has received it", s.Revision)
			}
		})
		c.hosts[0].mustApply("a:out")
		stop()
		f.HandlePush(old)
		f.accept(old)
		time.Sleep(maxPropagation)
		if f.Current().Domains[0].State != htresource.DomainOut {
			t.Error("the older set is in force again")
		}
		c.check(2)
		c.stop()
	})
}

// Guards against an operator overwriting a version that it has not read.
func TestVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		w := c.hosts[0].writer
		a := htresource.FailureDomain{Name: "a", State: htresource.DomainIn}
		out := a
		out.State = htresource.DomainOut
		put := func(d htresource.FailureDomain, version uint64) string {
			r, err := w.Put(t.Context(), d, Precondition{Version: version})
			if err != nil {
				return err.Error()
			}
			return fmt.Sprint(r.Version)
		}
		steps := []struct{ got, want string }{
			{put(out, 1), "failure-domain/a is at version 0"},
			{put(a, 0), "1"},
			{put(a, 0), "1"}, // retry after a lost response
			{put(out, 0), "failure-domain/a is at version 1"},
			{put(out, 1), "2"},
		}
		for i, s := range steps {
			if s.got != s.want {
				t.Errorf("step %d: %s, want %s", i, s.got, s.want)
			}
		}
		if _, err := w.Delete(t.Context(), a.Kind(), "a", Precondition{Version: 2}); err != nil {
			t.Error(err)
		}
		if got := put(a, 0); got != "4" {
			t.Errorf("version after a deletion and a new creation: %s, want 4", got)
		}
		pool := htresource.Pool{Name: "p", Upstreams: []htresource.Upstream{{Name: "u", Address: "127.0.0.1:1", Domain: "b", Slots: 1}}}
		if _, err := w.Put(t.Context(), pool, Precondition{}); err == nil {
			t.Error("a reference to an undeclared failure domain was accepted")
		}
		c.check(4)
		c.stop()
	})
}

// applyStep is one Apply call of a random sequence.
type applyStep struct {
	host   int
	faults []loss
	state  string
	expect Precondition
}

// Guards against a change that is applied twice, reverted or reported with a wrong
// result when responses are lost in any order while two operators write.
func TestAppliesWithLostAnswers(t *testing.T) {
	step := rapid.Custom(func(r *rapid.T) applyStep {
		return applyStep{
			host:   rapid.IntRange(0, 1).Draw(r, "host"),
			faults: rapid.SliceOfN(rapid.SampledFrom([]loss{lossNone, lossResponse, lossRequest, lossLate}), 0, 3).Draw(r, "faults"),
			state:  rapid.SampledFrom([]string{"in", "out"}).Draw(r, "state"),
			expect: Precondition{Any: rapid.Bool().Draw(r, "any"), Version: rapid.Uint64Range(0, 4).Draw(r, "version")},
		}
	})
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(step, 1, 12).Draw(r, "steps")
		var err error
		synctest.Test(t, func(t *testing.T) { err = runApplies(t, steps) })
		if err != nil {
			r.Fatal(err)
		}
	})
}

func runApplies(t *testing.T, steps []applyStep) error {
	c := newCluster(t, 2)
	defer c.stop()
	accepted := map[uint64]string{}
	for i, s := range steps {
		h := c.hosts[s.host]
		h.link.set(func(l *link) { l.commitLosses = s.faults })
		before := h.follower.Applied()
		result, err := h.apply(domains("a:"+s.state), s.expect)
		switch now := c.hosts[0].follower.Current(); {
		case err != nil && (now.Revision != before || s.expect.Any):
			return fmt.Errorf("step %d: refused with %w at %d after %d", i, err, now.Revision, before)
		case err != nil:
			continue
		case len(result.Changes) > 0 && result.Revision != before+1:
			return fmt.Errorf("step %d: revision %d after %d", i, result.Revision, before)
		case string(now.Domains[0].State) != s.state:
			return fmt.Errorf("step %d: accepted %s, in force %s", i, s.state, now.Domains[0].State)
		}
		accepted[result.Revision] = s.state
	}
	time.Sleep(maxPropagation)
	c.check(uint64(len(accepted)))
	return nil
}
