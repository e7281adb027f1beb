package htlab

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/internal/htstand"
)

// fakeHost is a fake entry host whose serve function decides how each call is handled.
type fakeHost struct {
	upstream string
	serve    func(*fakeHost, http.ResponseWriter, *http.Request, []byte)

	mu            sync.Mutex
	firstResponse []byte // body of the first response of the upstream
}

// ServeHTTP implements http.Handler.
func (h *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h.serve(h, w, r, body)
}

// forward sends the request to the upstream and returns the body of its response.
func (h *fakeHost) forward(r *http.Request, body []byte) []byte {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+h.upstream+r.URL.String(), strings.NewReader(string(body)))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	request.Header = r.Header.Clone()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.firstResponse == nil {
		h.firstResponse = content
	}
	return content
}

func respond(w http.ResponseWriter, o htcall.Outcome, status int, content []byte) {
	w.Header().Set(htcall.HeaderOutcome, string(o))
	w.WriteHeader(status)
	_, _ = w.Write(content)
}

func forwardEvery(h *fakeHost, w http.ResponseWriter, r *http.Request, body []byte) {
	respond(w, htcall.Done, http.StatusOK, h.forward(r, body))
}

// forwardOnce returns a function that forwards each request with a key once and sends
// the same response to later copies.
func forwardOnce() func(*fakeHost, http.ResponseWriter, *http.Request, []byte) {
	var mu sync.Mutex
	responses := map[string][]byte{}
	return func(h *fakeHost, w http.ResponseWriter, r *http.Request, body []byte) {
		mu.Lock()
		defer mu.Unlock()
		key := r.Header.Get(htcall.HeaderIdempotencyKey)
		response, known := responses[key]
		if !known || key == "" {
			response = h.forward(r, body)
			responses[key] = response
		}
		respond(w, htcall.Done, http.StatusOK, response)
	}
}

func cutResponse(h *fakeHost, w http.ResponseWriter, r *http.Request, body []byte) {
	content := h.forward(r, body)
	w.Header().Set("Content-Length", fmt.Sprint(len(content)))
	respond(w, htcall.Done, http.StatusOK, content[:len(content)/2])
	panic(http.ErrAbortHandler)
}

func inventResponse(_ *fakeHost, w http.ResponseWriter, r *http.Request, body []byte) {
	line := fmt.Sprintf(`{"request-id":%q,"key":%q,"size":%d}`, r.Header.Get(htstand.HeaderRequestID), r.Header.Get(htcall.HeaderIdempotencyKey), len(body))
	respond(w, htcall.Done, http.StatusOK, append([]byte(line+"\n"), body...))
}

// TestLoadDetects guards against a load generator that misses faults: each faulty host
// must increase its own counter, and a correct host none.
func TestLoadDetects(t *testing.T) {
	type serve = func(*fakeHost, http.ResponseWriter, *http.Request, []byte)
	tests := []struct {
		name  string
		serve serve
		want  string // start of a violation or of a counter that is not 0; empty for none
	}{
		{"correct host", forwardOnce(), ""},
		{"response to another request", func(h *fakeHost, w http.ResponseWriter, r *http.Request, body []byte) {
			h.forward(r, body)
			respond(w, htcall.Done, http.StatusOK, h.firstResponse)
		}, "wrong responses"},
		{"response incomplete but ended cleanly", func(h *fakeHost, w http.ResponseWriter, r *http.Request, body []byte) {
			content := h.forward(r, body)
			respond(w, htcall.Done, http.StatusOK, content[:len(content)-1])
		}, "wrong responses"},
		{"response cut", cutResponse, "cut is"},
		{"connection closed without response", func(*fakeHost, http.ResponseWriter, *http.Request, []byte) {
			panic(http.ErrAbortHandler)
		}, "cut is"},
		{"both copies of a booking run", forwardEvery, "keys that ran more than once"},
		{"not-run although it ran", func(h *fakeHost, w http.ResponseWriter, r *http.Request, body []byte) {
			h.forward(r, body)
			respond(w, htcall.NotRun, http.StatusServiceUnavailable, nil)
		}, "requests reported as not-run that ran"},
		{"done although it did not run", inventResponse, "requests reported as done that did not run"},
		{"no outcome", func(h *fakeHost, w http.ResponseWriter, r *http.Request, body []byte) {
			_, _ = w.Write(h.forward(r, body))
		}, "responses without an outcome"},
		{"unknown", func(_ *fakeHost, w http.ResponseWriter, _ *http.Request, _ []byte) {
			respond(w, htcall.Unknown, http.StatusGatewayTimeout, nil)
		}, "unknown is"},
		{"upstream error forwarded", func(_ *fakeHost, w http.ResponseWriter, _ *http.Request, _ []byte) {
			respond(w, htcall.Done, http.StatusInternalServerError, nil)
		}, "failed is"},
		{"no response", func(_ *fakeHost, _ http.ResponseWriter, r *http.Request, _ []byte) {
			<-r.Context().Done()
		}, "late is"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := htstand.NewUpstream(htstand.UpstreamSettings{Slots: 100, Work: time.Microsecond})
			if err := u.Start("127.0.0.1:0"); err != nil {
				t.Fatal(err)
			}
			defer u.Close()
			handler := &fakeHost{upstream: u.Address(), serve: tt.serve}
			one, two := httptest.NewServer(handler), httptest.NewServer(handler)
			defer one.Close()
			defer two.Close()
			settings := LoadSettings{
				Hosts:   []string{one.Listener.Addr().String(), two.Listener.Addr().String()},
				Service: "booking", Rate: 1000, Duration: 100 * time.Millisecond, Seed: 7,
				Lookups: 1, Bookings: 1, DuplicateShare: 0.5, BodyBytes: 100,
				Timeout: time.Minute, Settle: time.Millisecond, Upstreams: []string{u.Address()},
			}
			if tt.want == "late is" {
				settings.Timeout, settings.Grace = 20*time.Millisecond, 20*time.Millisecond
			}
			load, err := NewLoad(settings)
			if err != nil {
				t.Fatal(err)
			}
			result, err := load.Run(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			found := append(result.Violations(), result.Nonzero([]string{"not-run", "unknown", "untold", "late", "cut", "no-conn", "failed", "unread"})...)
			if tt.want == "" && len(found) > 0 {
				t.Errorf("found %q, samples %q", found, result.Samples)
			}
			if !strings.Contains(strings.Join(found, "\n"), tt.want) {
				t.Errorf("found %q, want %q", found, tt.want)
			}
			if result.Lookups.Sent == 0 || result.Bookings.Sent == 0 {
				t.Errorf("sent %d lookups and %d bookings", result.Lookups.Sent, result.Bookings.Sent)
			}
		})
	}
}

// TestLoadCountsResent guards against not counting a call that net/http retried: the
// retry hides that the connection of the first attempt was closed.
func TestLoadCountsResent(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
		respond(w, htcall.NotRun, http.StatusServiceUnavailable, nil)
	}))
	defer server.Close()
	s := newSender(LoadSettings{Timeout: time.Minute})
	for i, resent := range []bool{false, true, false} {
		got := s.send(t.Context(), call{kind: Lookup, intended: time.Now()}, server.Listener.Addr().String())
		if got.resent != resent || got.fault != "" {
			t.Errorf("call %d: resent %v, fault %q %s", i, got.resent, got.fault, got.detail)
		}
	}
}

// TestSchedule guards against a schedule that depends on anything but its settings, or
// that does not keep the configured rate and shares.
func TestSchedule(t *testing.T) {
	settings := LoadSettings{Rate: 1000, Duration: 10 * time.Second, Seed: 1, Lookups: 3, Bookings: 1, DuplicateShare: 0.5, Callers: 4}
	all := func(s LoadSettings) []arrival {
		var list []arrival
		arrivals := newSchedule(s)
		for a, ok := arrivals.next(); ok; a, ok = arrivals.next() {
			list = append(list, a)
		}
		return list
	}
	first := all(settings)
	if !slices.Equal(first, all(settings)) {
		t.Error("two schedules with the same seed differ")
	}
	other := settings
	other.Seed = 2
	if slices.Equal(first, all(other)) {
		t.Error("schedules with different seeds are the same")
	}
	bookings, twice := 0, 0
	for _, a := range first {
		if a.kind == Booking {
			bookings++
		}
		if a.sendTwice {
			twice++
		}
	}
	near := func(name string, got, want int) {
		if got < want*9/10 || got > want*11/10 {
			t.Errorf("%d %s, want about %d", got, name, want)
		}
	}
	near("arrivals", len(first), 10000)
	near("bookings", bookings, 2500)
	near("bookings sent twice", twice, 1250)
}

// TestHostsPick guards against calls to hosts that are not ready while another one is,
// also for the second copy of a booking. TestPick guards against sending both copies
// through the same host.
func TestHostsPick(t *testing.T) {
	ready := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	notReady := httptest.NewServer(http.NotFoundHandler())
	stopped := httptest.NewServer(http.NotFoundHandler())
	stopped.Close()
	defer ready.Close()
	defer notReady.Close()
	a, b, c := ready.Listener.Addr().String(), notReady.Listener.Addr().String(), stopped.Listener.Addr().String()
	h := newHostPicker([]string{a, b, c})
	if h.pick("") != a || h.pick("") != b || h.pick(c) == c {
		t.Error("hosts are not picked round robin")
	}
	h.checkAll(t.Context())
	for range 6 {
		if got := h.pick(""); got != a {
			t.Errorf("picked %s, but only %s is ready", got, a)
		}
	}
	if got := h.pick(a); got != a {
		t.Errorf("the second copy goes to %s, which is not ready", got)
	}
	ended, end := context.WithCancel(t.Context())
	end()
	h.checkAll(ended)
	if got := h.pick(a); got != a {
		t.Errorf("after a canceled check, the second copy goes to %s, which is not ready", got)
	}
}

// TestLoadWatchesHostsUntilAllCopiesAreSent guards against second copies that are sent
// to stopped hosts because the load no longer checks /ready after its context has
// ended.
func TestLoadWatchesHostsUntilAllCopiesAreSent(t *testing.T) {
	var ended atomic.Bool
	var reads atomic.Int32
	host := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ready" {
			if ended.Load() {
				reads.Add(1)
			}
			return
		}
		time.Sleep(200 * time.Millisecond) // so that calls are in flight when the context is canceled
	}))
	defer host.Close()
	load, err := NewLoad(LoadSettings{
		Hosts: []string{host.Listener.Addr().String()}, Service: "s", Rate: 100, Duration: time.Minute,
		ReadyEvery: 10 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(t.Context())
	load.Progress = func(arrivals int) {
		if arrivals == 5 {
			ended.Store(true)
			end()
		}
	}
	if _, err := load.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if n := reads.Load(); n < 3 {
		t.Errorf("/ready was requested %d times while the last calls were in flight, want at least 3", n)
	}
}

// TestCheckResponse guards against accepting the response to another request because
// one of its parts is not compared.
func TestCheckResponse(t *testing.T) {
	c := call{requestID: "r1", key: "k1", body: []byte("abc")}
	tests := []struct {
		content string
		ok      bool
	}{
		{"{\"request-id\":\"r1\",\"key\":\"k1\",\"size\":3}\nabc", true},
		{"{\"request-id\":\"r2\",\"key\":\"k1\",\"size\":3}\nabc", false},
		{"{\"request-id\":\"r1\",\"key\":\"k2\",\"size\":3}\nabc", false},
		{"{\"request-id\":\"r1\",\"key\":\"k1\",\"size\":3}\nabd", false},
		{"{\"request-id\":\"r1\",\"key\":\"k1\",\"size\":2}\nabc", false},
		{"{\"request-id\":\"r1\",\"key\":\"k1\",\"size\":3}", false},
		{"", false},
	}
	for _, tt := range tests {
		if err := checkResponse(c, []byte(tt.content)); (err == nil) != tt.ok {
			t.Errorf("%q: %v", tt.content, err)
		}
	}
}
