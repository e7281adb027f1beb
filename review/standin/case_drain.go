package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drain"] = drainDuringRestart }

// Bounds of shtl-gateway-large.
const (
	largeDrain   = 3 * time.Second
	largeContact = 4 * time.Second
	// storeWrite is the time between two writes to one part of the store: 300 a second.
	storeWrite = 3400 * time.Microsecond
	// startSpread is the time between the starts of two hosts: all eight start within 0.3 s.
	startSpread = 20 * time.Millisecond
	// leavingShare is the share of the workers of bookdesk that leave.
	leavingShare = 0.2
)

// drainDuringRestart has the services and the 600 workers of shtl-gateway-large, which the store
// lists in two pages, and eight hosts. In each of ten rounds a fifth of the workers of bookdesk
// report draining, one transaction each, at most 300 a second, and are ready again later. With
// trouble, all hosts are killed and started again before, and the reports begin when the first
// host has read the first page of the list of workers.
func drainDuringRestart(b *bed, trouble bool) (bool, string) {
	zones := []string{"guj-west-a", "guj-west-b", "guj-west-c"}
	sizes := map[string]int{"certcheck": 251, "bookdesk": 117, "logvault": 202, "rosterline": 30}
	var workers, desk []*worker
	for _, service := range []string{"certcheck", "bookdesk", "logvault", "rosterline"} {
		for i := range sizes[service] {
			w := newWorker(b.listen(0), fmt.Sprintf("i-%010x", rand.Uint64()>>24), service, zones[i%3], 2, 20*time.Millisecond)
			workers = append(workers, w)
			if service == "bookdesk" {
				desk = append(desk, w)
			}
		}
	}
	for _, w := range workers {
		w.announce(b.store, "ready")
	}
	b.store.put("op", "config", configuration(1, "hulo84.example", []map[string]any{
		rule("slot-booking", "non_idempotent", "/puka111/", "bookdesk", 800, 2500, 2),
	}, "certcheck", "bookdesk", "logvault", "rosterline"))
	b.addHosts(8, zones, func(_ int, lines map[string]string) {
		lines["bounds.drainMs"], lines["bounds.contactMs"], lines["bounds.configApplyMs"], lines["bounds.graceS"] = "3000", "4000", "3000", "10"
	})
	for _, h := range b.hosts {
		h.start()
	}
	if !b.waitReady(15 * time.Second) {
		panic("the hosts are not ready")
	}
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	statuses := map[int]int{}
	late, at := 0, map[string]int{}
	for round := range 10 {
		confirmed := map[string]time.Time{}
		rand.Shuffle(len(desk), func(i, j int) { desk[i], desk[j] = desk[j], desk[i] })
		order := desk[:int(leavingShare*float64(len(desk)))]
		scaleIn := func() {
			for _, w := range order {
				ver := w.announce(b.store, "draining")
				mu.Lock()
				confirmed[w.id] = time.Now()
				mu.Unlock()
				b.log("store: servers/%s is draining, ver %d", w.id, ver)
				time.Sleep(storeWrite)
			}
		}
		if trouble {
			var once sync.Once
			done := make(chan struct{})
			b.store.watch(func(table, from string) {
				if table != "servers" {
					return
				}
				b.log("store: a host has read the page of servers from %q", from)
				once.Do(func() { go func() { scaleIn(); close(done) }() })
			})
			b.log("SIGKILL to all hosts")
			for _, h := range b.hosts {
				h.signal(syscall.SIGKILL)
			}
			for _, h := range b.hosts {
				<-h.exited
			}
			time.Sleep(500 * time.Millisecond)
			var starting sync.WaitGroup
			for i, n := range rand.Perm(len(b.hosts)) {
				h := b.hosts[n]
				starting.Add(1)
				go func() {
					defer starting.Done()
					time.Sleep(time.Duration(i) * startSpread)
					h.start()
				}()
			}
			starting.Wait()
			if !b.waitReady(15 * time.Second) {
				panic("the hosts are not ready after the restart")
			}
			<-done
		} else {
			scaleIn()
		}
		time.Sleep(largeContact + 500*time.Millisecond) // all hosts are in touch, and drainMs is over

		var wg sync.WaitGroup
		for c := range 40 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				h := b.hosts[c%len(b.hosts)]
				for n := range 40 {
					id := fmt.Sprintf("booking-%d-%d-%d", round, c, n)
					a := send(h.front, head("POST", "/puka111/2f", "hulo84.example", id, 2500, 5), "slot7", 4*time.Second)
					mu.Lock()
					statuses[a.status]++
					mu.Unlock()
					b.log("client: %s sent to %s: status %d", id, h.name, a.status)
					time.Sleep(50 * time.Millisecond)
				}
			}()
		}
		wg.Wait()
		for _, w := range desk {
			w.mu.Lock()
			for _, x := range w.arrivals {
				since, leaves := confirmed[w.id]
				if !leaves || !x.ran || x.at.Sub(since) <= largeDrain {
					continue
				}
				var c int
				_, _ = fmt.Sscanf(x.id, fmt.Sprintf("booking-%d-%%d-", round), &c)
				b.log("DRAIN: %s reached %s by way of %s, %.3f s after the store confirmed that it is draining", x.id, w.id, b.hosts[c%len(b.hosts)].name, x.at.Sub(since).Seconds())
				late++
				at[w.id+" by "+b.hosts[c%len(b.hosts)].name]++
			}
			w.arrivals = nil
			w.mu.Unlock()
		}
		for _, w := range order {
			w.announce(b.store, "ready")
		}
		b.store.watch(nil)
		time.Sleep(time.Second)
	}
	var pairs []string
	for p := range at {
		pairs = append(pairs, p)
	}
	sort.Strings(pairs)
	return late > 0, fmt.Sprintf("%d requests answered 200, %d reached a worker later than drainMs after its draining was confirmed: %s",
		statuses[http.StatusOK], late, strings.Join(pairs, ", "))
}
