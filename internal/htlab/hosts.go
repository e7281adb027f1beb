package htlab

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// readyTimeout bounds one read of /ready. A host that takes longer gets no calls.
const readyTimeout = 500 * time.Millisecond

// hosts hands out entry hosts round robin. Like the platform's balancer, it leaves
// out those whose /ready does not answer 200.
type hosts struct {
	addresses []string
	client    *http.Client

	mu   sync.Mutex
	out  map[string]bool
	next int
}

func newHosts(addresses []string) *hosts {
	transport := &http.Transport{DisableKeepAlives: true}
	return &hosts{
		addresses: addresses,
		client:    &http.Client{Transport: transport, Timeout: readyTimeout},
		out:       map[string]bool{},
	}
}

// pick returns the next ready host, other than avoid if there is another. If no host is
// ready it hands out all of them.
func (h *hosts) pick(avoid string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	avoidReady := false
	for range h.addresses {
		a := h.step()
		switch {
		case h.out[a]:
		case a != avoid:
			return a
		default:
			avoidReady = true
		}
	}
	if avoidReady {
		return avoid
	}
	a := h.step()
	if a == avoid {
		a = h.step()
	}
	return a
}

func (h *hosts) step() string {
	a := h.addresses[h.next%len(h.addresses)]
	h.next++
	return a
}

// watch reads /ready of all hosts every period until ctx ends.
func (h *hosts) watch(ctx context.Context, period time.Duration) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		h.check(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// check reads /ready of all hosts once, side by side. A read that ends with ctx tells
// nothing of the host.
func (h *hosts) check(ctx context.Context) {
	var wg sync.WaitGroup
	for _, a := range h.addresses {
		wg.Go(func() {
			ready := h.ready(ctx, a)
			if ctx.Err() != nil {
				return
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			h.out[a] = !ready
		})
	}
	wg.Wait()
}

func (h *hosts) ready(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := h.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}
