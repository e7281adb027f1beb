package htlab

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// readyTimeout bounds one request to /ready. A host that takes longer gets no calls.
const readyTimeout = 500 * time.Millisecond

// hostPicker selects entry hosts round robin. Like the platform's balancer, it skips
// hosts whose /ready does not respond with status 200.
type hostPicker struct {
	addresses []string
	client    *http.Client

	mu       sync.Mutex
	notReady map[string]bool
	next     int
}

func newHostPicker(addresses []string) *hostPicker {
	transport := &http.Transport{DisableKeepAlives: true}
	return &hostPicker{
		addresses: addresses,
		client:    &http.Client{Transport: transport, Timeout: readyTimeout},
		notReady:  map[string]bool{},
	}
}

// pick returns the next ready host, other than avoid if another host is ready. If no
// host is ready, it returns the next host, other than avoid if there are several.
func (h *hostPicker) pick(avoid string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	avoidReady := false
	for range h.addresses {
		a := h.nextAddress()
		switch {
		case h.notReady[a]:
		case a != avoid:
			return a
		default:
			avoidReady = true
		}
	}
	if avoidReady {
		return avoid
	}
	a := h.nextAddress()
	if a == avoid {
		a = h.nextAddress()
	}
	return a
}

func (h *hostPicker) nextAddress() string {
	a := h.addresses[h.next%len(h.addresses)]
	h.next++
	return a
}

// watch checks all hosts every period until ctx ends.
func (h *hostPicker) watch(ctx context.Context, period time.Duration) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		h.checkAll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// checkAll requests /ready of all hosts once, in parallel. A result that arrives after
// ctx has ended is ignored, because the end of ctx may have caused it.
func (h *hostPicker) checkAll(ctx context.Context) {
	var wg sync.WaitGroup
	for _, a := range h.addresses {
		wg.Go(func() {
			ready := h.isReady(ctx, a)
			if ctx.Err() != nil {
				return
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			h.notReady[a] = !ready
		})
	}
	wg.Wait()
}

func (h *hostPicker) isReady(ctx context.Context, address string) bool {
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
