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

// fakeHost is an entry host that forwards calls to one upstream and misbehaves in
// one way.
type fakeHost struct {
	upstream string
	serve    func(*fakeHost, http.ResponseWriter, *http.Request, []byte)

	mu    sync.Mutex
	first []byte // body of the first answer
}

// ServeHTTP implements http.Handler.
func (h *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h.serve(h, w, r, body)
}

// forward runs the request on the upstream and returns its answer.
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
	if h.first == nil {
		h.first = content
	}
	return content
}

func tell(w http.ResponseWriter, o htcall.Outcome, status int, content []byte) {
	w.Header().Set(htcall.HeaderOutcome, string(o))
	w.WriteHeader(status)
	_, _ = w.Write(content)
}

func honest(h *fakeHost, w http.ResponseWriter, r *http.Request, body []byte) {
	tell(w, htcall.Done, http.StatusOK, h.forward(r, body))
}

// once forwards each keyed request once and gives later copies the same answer.
func once() func(*fakeHost, http.ResponseWriter, *http.Request, []byte) {
	var mu sync.Mutex
	answers := map[string][]byte{}
	return func(h *fakeHost, w http.ResponseWriter, r *http.Request, body []byte) {
		mu.Lock()
		defer mu.Unlock()
		key := r.Header.Get(htcall.HeaderIdempotencyKey)
		answer, known := answers[key]
		if !known || key == "" {
			answer = h.forward(r, body)
			answers[key] = answer
		}
		tell(w, htcall.Done, http.StatusOK, answer)
	}
}

func cut(h *fakeHost, w http.ResponseWriter, r *http.Request, body []byte) {
	content := h.forward(r, body)
	w.Header().Set("Content-Length", fmt.Sprint(len(content)))
	tell(w, htcall.Done, http.StatusOK, content[:len(content)/2])
	panic(http.ErrAbortHandler)
}

func invented(_ *fakeHost, w http.ResponseWriter, r *http.Request, body []byte) {
	line := fmt.Sprintf(`{"request-id":%q,"key":%q,"size":%d}`, r.Header.Get(htstand.HeaderRequestID), r.Header.Get(htcall.HeaderIdempotencyKey), len(body))
	tell(w, htcall.Done, http.StatusOK, append([]byte(line+"\n"), body...))
}

// Guards against a load generator that cannot fail: each misbehaving host must
// show in its own counter, and a correct one in none.
func TestLoadDetects(t *testing.T) {
	type serve = func(*fakeHost, http.ResponseWriter, *http.Request, []byte)
	tests := []struct {
		name  string
		serve serve
		want  string // start of a violation or of a counter that is not 0; empty for none
	}{
		{"correct host", once(), ""},
		{"answer of another request", func(h *fakeHost, w http.ResponseWriter, r *http.Request, body []byte) {
			h.forward(r, body)
			tell(w, htcall.Done, http.StatusOK, h.first)
		}, "wrong answers"},
		{"answer not whole but ended cleanly", func(h *fakeHost, w http.ResponseWriter, r *http.Request, body []byte) {
			content := h.forward(r, body)
			tell(w, htcall.Done, http.StatusOK, content[:len(content)-1])
		}, "wrong answers"},
		{"answer cut", cut, "cut is"},
		{"connection closed without answer", func(*fakeHost, http.ResponseWriter, *http.Request, []byte) {
			panic(http.ErrAbortHandler)
		}, "cut is"},
		{"copies of a booking both run", honest, "keys that ran more than once"},
		{"not-run although it ran", func(h *fakeHost, w http.ResponseWriter, r *http.Request, body []byte) {
			h.forward(r, body)
			tell(w, htcall.NotRun, http.StatusServiceUnavailable, nil)
		}, "requests told not-run that ran"},
		{"done although it did not run", invented, "requests told done that did not run"},
		{"no outcome", func(h *fakeHost, w http.ResponseWriter, r *http.Request, body []byte) {
			_, _ = w.Write(h.forward(r, body))
		}, "answers without an outcome"},
		{"unknown", func(_ *fakeHost, w http.ResponseWriter, _ *http.Request, _ []byte) {
			tell(w, htcall.Unknown, http.StatusGatewayTimeout, nil)
		}, "unknown is"},
		{"upstream error passed on", func(_ *fakeHost, w http.ResponseWriter, _ *http.Request, _ []byte) {
			tell(w, htcall.Done, http.StatusInternalServerError, nil)
		}, "failed is"},
		{"no answer", func(_ *fakeHost, _ http.ResponseWriter, r *http.Request, _ []byte) {
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

// Guards against a call that net/http sent twice on its own going unnoticed: the
// second try hides that the first was cut.
func TestLoadCountsResent(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
		tell(w, htcall.NotRun, http.StatusServiceUnavailable, nil)
	}))
	defer server.Close()
	s := newSender(LoadSettings{Timeout: time.Minute})
	for i, resent := range []bool{false, true, false} {
		v := s.send(t.Context(), call{kind: Lookup, intended: time.Now()}, server.Listener.Addr().String())
		if v.resent != resent || v.fault != "" {
			t.Errorf("call %d: resent %v, fault %q %s", i, v.resent, v.fault, v.detail)
		}
	}
}

// Guards against a schedule that depends on anything but its settings, or that
// loses its rate or its shares.
func TestSchedule(t *testing.T) {
	settings := LoadSettings{Rate: 1000, Duration: 10 * time.Second, Seed: 1, Lookups: 3, Bookings: 1, DuplicateShare: 0.5, Callers: 4}
	all := func(s LoadSettings) []arrival {
		var list []arrival
		plan := newSchedule(s)
		for a, ok := plan.advance(); ok; a, ok = plan.advance() {
			list = append(list, a)
		}
		return list
	}
	first := all(settings)
	if !slices.Equal(first, all(settings)) {
		t.Error("two schedules of one seed differ")
	}
	other := settings
	other.Seed = 2
	if slices.Equal(first, all(other)) {
		t.Error("schedules of two seeds are the same")
	}
	bookings, twice := 0, 0
	for _, a := range first {
		if a.kind == Booking {
			bookings++
		}
		if a.again {
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

// Guards against calls to hosts that are not ready while another one is, also for the
// second copy of a booking. TestPick guards against two copies through the same host.
func TestHostsPick(t *testing.T) {
	ready := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	notReady := httptest.NewServer(http.NotFoundHandler())
	stopped := httptest.NewServer(http.NotFoundHandler())
	stopped.Close()
	defer ready.Close()
	defer notReady.Close()
	a, b, c := ready.Listener.Addr().String(), notReady.Listener.Addr().String(), stopped.Listener.Addr().String()
	h := newHosts([]string{a, b, c})
	if h.pick("") != a || h.pick("") != b || h.pick(c) == c {
		t.Error("hosts are not handed out round robin")
	}
	h.check(t.Context())
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
	h.check(ended)
	if got := h.pick(a); got != a {
		t.Errorf("after a check that was cut short, the second copy goes to %s, which is not ready", got)
	}
}

// Guards against second copies that go to stopped hosts because the load no longer reads
// /ready while it ends.
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
		time.Sleep(200 * time.Millisecond) // the last call is under way when the load is told to end
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
		t.Errorf("/ready was read %d times while the last calls were under way", n)
	}
}

// Guards against an answer to another request that passes because one of its parts
// is not compared.
func TestCheckAnswer(t *testing.T) {
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
		if err := checkAnswer(c, []byte(tt.content)); (err == nil) != tt.ok {
			t.Errorf("%q: %v", tt.content, err)
		}
	}
}
