package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["reader-freeze"] = readerFreeze }

// reader returns the host that has had the newest answer of the store, by the hosts' own state
// page.
func (b *bed) reader() *host {
	var best *host
	bestAge := int64(-1)
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, h := range b.hosts {
		r, err := client.Get("http://" + h.ip + ":9464/state")
		if err != nil {
			continue
		}
		var state struct {
			Age int64 `json:"store-age-ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&state)
		_ = r.Body.Close()
		if state.Age >= 0 && (best == nil || state.Age < bestAge) {
			best, bestAge = h, state.Age
		}
	}
	if best == nil {
		panic("no host reads the store")
	}
	return best
}

// readerFreeze stops the host that reads the store for 4 s with SIGSTOP, and lets it continue.
// Between 0.8 s and 2 s later two workers leave without reporting draining: their entries are
// removed, and they serve on for drainMs and longer. The store is up all the time, and the other
// hosts are never disturbed. Three rounds, each with the host that reads then.
func readerFreeze(b *bed, trouble bool) (bool, string) {
	_, desk := smallDeployment(b, usualRules())
	type gone struct{ at time.Time }
	var mu sync.Mutex
	removed := map[string]gone{}
	frozen := map[string]bool{} // by host, in this round
	by := map[string]string{}   // host by request id
	late, passed := 0, 0
	for _, w := range desk {
		w.observe = func(a arrival) {
			mu.Lock()
			defer mu.Unlock()
			passed++
			g, leaving := removed[a.worker]
			if !leaving || !a.ran || a.at.Sub(g.at) <= 2*time.Second {
				return
			}
			if frozen[by[a.id]] {
				b.log("%s reached %s by way of %s, which was stopped in this round: not counted", a.id, a.worker, by[a.id])
				return
			}
			late++
			b.log("DRAIN: %s reached %s by way of %s, %.3f s after the store confirmed that its entry is gone", a.id, a.worker, by[a.id], a.at.Sub(g.at).Seconds())
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for c := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.IntN(300)) * time.Millisecond):
				}
				h := b.hosts[c%len(b.hosts)]
				id := fmt.Sprintf("booking-%02d-%03d", c, n)
				mu.Lock()
				by[id] = h.name
				skip := frozen[h.name]
				mu.Unlock()
				if skip {
					continue
				}
				a := send(h.front, head("POST", "/puka111/2f", "hulo84.example", id, 1200, 5), "slot7", 2*time.Second)
				b.log("client: %s sent to %s: status %d", id, h.name, a.status)
			}
		}()
	}
	for round := range 3 {
		r := b.reader()
		mu.Lock()
		frozen = map[string]bool{r.name: true}
		mu.Unlock()
		if trouble {
			b.log("SIGSTOP to %s, which reads the store", r.name)
			r.signal(syscall.SIGSTOP)
		}
		time.Sleep(4 * time.Second)
		if trouble {
			b.log("SIGCONT to %s", r.name)
			r.signal(syscall.SIGCONT)
		}
		time.Sleep(800 * time.Millisecond)
		for i := range 2 {
			w := desk[2*round+i]
			b.store.remove("servers", w.id)
			mu.Lock()
			removed[w.id] = gone{time.Now()}
			mu.Unlock()
			b.log("store: servers/%s is removed", w.id)
			time.Sleep(600 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		mu.Lock()
		removed = map[string]gone{}
		mu.Unlock()
		for i := range 2 { // others take their place
			w := desk[2*round+i]
			w.announce(b.store, "ready")
		}
		time.Sleep(3 * time.Second)
	}
	close(stop)
	wg.Wait()
	return late > 0, fmt.Sprintf("%d requests passed on, %d reached a worker later than drainMs after its entry was gone, by way of hosts that were never disturbed", passed, late)
}
