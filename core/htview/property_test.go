package htview_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// defaultSeed makes the random sequences reproducible; -rapid.seed overrides it.
const defaultSeed = "20261204"

func setSeed(t *testing.T) {
	t.Helper()
	f := flag.Lookup("rapid.seed")
	if f.Value.String() == "0" {
		if err := f.Value.Set(defaultSeed); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("seed %s", f.Value)
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		t.Fatal(err)
	}
}

// faultInjector draws random faults and injects them into a cluster.
type faultInjector struct {
	rt *rapid.T
	c  *cluster
	n  int
}

func (x *faultInjector) host(label string) *host {
	live := x.c.live()
	return live[rapid.IntRange(0, len(live)-1).Draw(x.rt, label)]
}

// step injects one fault or clears all of them, then runs the cluster for a random
// time.
func (x *faultInjector) step() {
	actions := []func(){
		x.kill, x.restart, x.pause, x.cut, x.cutOneWay, x.tableAll, x.tableAll, x.tableOne, x.unlist, x.leave, x.c.clearFaults, x.c.clearFaults,
	}
	actions[rapid.IntRange(0, len(actions)-1).Draw(x.rt, "action")]()
	x.c.run(time.Duration(rapid.IntRange(1, 160).Draw(x.rt, "wait")) * 50 * time.Millisecond)
}

func (x *faultInjector) kill() {
	if len(x.c.live()) > 2 {
		h := x.host("kill")
		x.log("kill", h)
		h.kill()
	}
}

func (x *faultInjector) restart() {
	x.n++
	name := fmt.Sprintf("x%d", x.n)
	for _, h := range x.c.hosts {
		if h.gate.killed() && x.c.hostAt(h.self.Address) == h {
			name = h.self.Host
			break
		}
	}
	if len(x.c.live()) < 6 {
		x.log("start", x.c.start(name))
	}
}

func (x *faultInjector) pause() {
	h := x.host("pause")
	x.log("pause", h)
	h.gate.pause()
	d := time.Duration(rapid.IntRange(1, 15).Draw(x.rt, "paused")) * time.Second
	go func() {
		time.Sleep(d)
		h.gate.resume()
	}()
}

func (x *faultInjector) cut() {
	a, b := x.host("cut a"), x.host("cut b")
	x.log("cut", a, b)
	x.c.cutBothWays(a, b)
}

func (x *faultInjector) cutOneWay() {
	a, b := x.host("cut from"), x.host("cut to")
	x.log("cut one way", a, b)
	x.c.cutOneWay(a, b)
}

func (x *faultInjector) drawFault() tableFault {
	return tableFault(rapid.IntRange(int(tableDown), int(tableLate)).Draw(x.rt, "table"))
}

func (x *faultInjector) tableAll() {
	f := x.drawFault()
	x.log(fmt.Sprint("table ", f))
	x.c.setTables(f)
}

func (x *faultInjector) tableOne() {
	h, f := x.host("table of"), x.drawFault()
	x.log(fmt.Sprint("table ", f), h)
	h.setTable(f)
}

func (x *faultInjector) unlist() {
	h := x.host("unlist")
	x.log("unlist", h)
	x.c.setListed(h.self.Host, false)
}

func (x *faultInjector) leave() {
	if len(x.c.live()) <= 2 {
		return
	}
	h := x.host("leave")
	x.log("leave", h)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		_ = h.m.Leave(ctx)
		h.kill()
	}()
}

func (x *faultInjector) log(what string, hosts ...*host) {
	text := ""
	for _, h := range hosts {
		text += " " + h.self.Host + "/" + h.m.Self().Incarnation
	}
	x.rt.Logf("%s %s%s", time.Now().Format("04:05.000"), what, text)
}

// TestRandomFaults runs random sequences of faults on several hosts. It guards against
// two hosts that serve a shard at the same time, a send without a lease, a key that
// runs twice or after a caller received not-run, and a cluster that does not recover.
func TestRandomFaults(t *testing.T) {
	setSeed(t)
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
			c := newCluster(rt)
			defer c.stop()
			c.startAll(rapid.IntRange(2, 4).Draw(rt, "hosts"))
			l, stop := newCallRecord(), make(chan struct{})
			go c.sendKeyedCalls(l, rapid.Uint64().Draw(rt, "callers"), stop)
			defer close(stop)
			x := &faultInjector{rt: rt, c: c}
			for range rapid.IntRange(3, 14).Draw(rt, "steps") {
				x.step()
				l.check(rt)
			}
			c.clearFaults()
			c.run(35 * time.Second)
			l.check(rt)
			c.requireAllServed()
		})
	})
}

func (l *callRecord) check(t tb) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.violations {
		t.Fatalf("%s", p)
	}
}
