package htstand

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

func startUpstream(t *testing.T, s UpstreamSettings) *Upstream {
	t.Helper()
	u := NewUpstream(s)
	if err := u.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = u.Close() })
	return u
}

// sendRequest sends one request and returns the response with its body. Without a client
// it uses a connection of its own.
func sendRequest(ctx context.Context, client *http.Client, method, url, body string, header http.Header) (*http.Response, []byte, error) {
	if client == nil {
		client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	for k, v := range header {
		request.Header[k] = v
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response, content, err
}

// waitUntil polls until the condition holds. The test's own timeout ends it.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		if t.Context().Err() != nil {
			t.Fatal("test ended before the condition held")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against responses that do not identify their request, and against requests that
// are wrongly reported as started or as not started.
func TestUpstreamAnswers(t *testing.T) {
	header := func(pairs ...string) http.Header {
		h := http.Header{HeaderRequestID: {"r1"}, HeaderKey: {"k1"}}
		for i := 0; i < len(pairs); i += 2 {
			h.Set(pairs[i], pairs[i+1])
		}
		return h
	}
	tests := []struct {
		name       string
		path       string
		header     http.Header
		faults     UpstreamFaults
		status     int
		notStarted string
		runs       int
	}{
		{"echo", "/work?ms=1", header(), UpstreamFaults{}, 200, "", 1},
		{"streamed", "/work?ms=1&stream-ms=4", header(), UpstreamFaults{}, 200, "", 1},
		{"before the deadline", "/work?ms=1", header(HeaderTimeoutMS, "60000"), UpstreamFaults{}, 200, "", 1},
		{"deadline passed on arrival", "/work", header(HeaderTimeoutMS, "0"), UpstreamFaults{}, 503, "true", 0},
		{"deadline passes during the work", "/work?ms=60000", header(HeaderTimeoutMS, "20"), UpstreamFaults{}, 504, "", 1},
		{"draining", "/work", header(), UpstreamFaults{Draining: true}, 503, "true", 0},
		{"shedding", "/work", header(), UpstreamFaults{ShedShare: 1}, 503, "true", 0},
		{"invalid work time", "/work?ms=x", header(), UpstreamFaults{}, 400, "true", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := startUpstream(t, UpstreamSettings{Name: "u"})
			if err := u.SetFaults(func(f *UpstreamFaults) { *f = tt.faults }); err != nil {
				t.Fatal(err)
			}
			response, content, err := sendRequest(t.Context(), nil, "POST", "http://"+u.Address()+tt.path, "hello", tt.header)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != tt.status || response.Header.Get(HeaderNotStarted) != tt.notStarted {
				t.Errorf("status %d, not started %q", response.StatusCode, response.Header.Get(HeaderNotStarted))
			}
			r := u.Record()
			if r.RunsByKey["k1"] != tt.runs || r.RunsByRequest["r1"] != tt.runs {
				t.Errorf("runs %v %v, want %d", r.RunsByKey, r.RunsByRequest, tt.runs)
			}
			if u.worker.load(time.Now()).InFlight != 0 {
				t.Error("request still in flight after its response")
			}
			if tt.status != 200 {
				return
			}
			echo, body, err := DecodeEchoResponse(content)
			if err != nil || echo.RequestID != "r1" || echo.Key != "k1" || string(body) != "hello" {
				t.Errorf("echo %+v with body %q, %v", echo, body, err)
			}
		})
	}
}

// Guards against a crash that leaves connections open, does not make the upstream cold, or
// answers the request that caused it.
func TestUpstreamCrash(t *testing.T) {
	u := startUpstream(t, UpstreamSettings{CrashPathSubstring: "crash", CrashDuration: time.Millisecond, ColdDuration: time.Hour})
	u.SetCold(0)
	url := "http://" + u.Address()
	if _, _, err := sendRequest(t.Context(), nil, "POST", url+"/crash-me", "", http.Header{HeaderKey: {"k1"}}); err == nil {
		t.Fatal("request that crashes the upstream was answered")
	}
	var state string
	waitUntil(t, func() bool {
		response, _, err := sendRequest(t.Context(), nil, "POST", url+"/work?ms=1", "", nil)
		if err != nil {
			return false
		}
		state = response.Header.Get(HeaderState)
		return true
	})
	r := u.Record()
	if state != string(StateCold) || r.Crashes != 1 || r.RunsByKey["k1"] != 1 {
		t.Errorf("state %s after the crash, record %+v", state, r)
	}
}

// Guards against silenced and frozen connections that still answer, and against new
// connections that do not.
func TestUpstreamConnectionsStopAnswering(t *testing.T) {
	for _, action := range []string{ActionSilence, ActionFreeze} {
		t.Run(action, func(t *testing.T) {
			u := startUpstream(t, UpstreamSettings{})
			url := "http://" + u.Address()
			client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
			if _, _, err := sendRequest(t.Context(), client, "GET", url+"/work?ms=1", "", nil); err != nil {
				t.Fatal(err)
			}
			if _, _, err := sendRequest(t.Context(), nil, "POST", url+"/-/actions/"+action, "", nil); err != nil {
				t.Fatal(err)
			}
			frozen := func() bool {
				u.connsMu.Lock()
				defer u.connsMu.Unlock()
				for c := range u.conns {
					if !c.frozen.Load() {
						return false
					}
				}
				return true
			}
			waitUntil(t, frozen)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			if _, _, err := sendRequest(ctx, client, "GET", url+"/work?ms=1", "", nil); err == nil {
				t.Error("old connection still answers")
			}
			if _, _, err := sendRequest(t.Context(), nil, "GET", url+"/work?ms=1", "", nil); err != nil {
				t.Errorf("new connection: %v", err)
			}
		})
	}
}

// Guards against a truncated response that ends without an error, and against work that
// continues after its client has disconnected.
func TestUpstreamTruncatedAndCanceled(t *testing.T) {
	u := startUpstream(t, UpstreamSettings{})
	url := "http://" + u.Address()
	if err := u.SetFaults(func(f *UpstreamFaults) { f.TruncateResponses = 1 }); err != nil {
		t.Fatal(err)
	}
	if _, _, err := sendRequest(t.Context(), nil, "POST", url+"/work?ms=1", "hello", nil); err == nil {
		t.Error("truncated response was read without an error")
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _, _ = sendRequest(ctx, nil, "POST", url+"/work?ms=3600000", "hello", nil)
	}()
	waitUntil(t, func() bool { return u.Record().Started == 2 })
	cancel()
	<-ended
	waitUntil(t, func() bool { return u.Record().Canceled == 1 })
}

// Guards against runs that are lost when the process of an upstream is killed and
// restarted.
func TestUpstreamJournal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	for restart := 1; restart <= 2; restart++ {
		u := startUpstream(t, UpstreamSettings{Journal: path})
		header := http.Header{HeaderKey: {"k1"}, HeaderRequestID: {"r1"}}
		if _, _, err := sendRequest(t.Context(), nil, "POST", "http://"+u.Address()+"/work?ms=1", "", header); err != nil {
			t.Fatal(err)
		}
		if r := u.Record(); r.RunsByKey["k1"] != restart || r.RunsByRequest["r1"] != restart {
			t.Errorf("runs %v %v after start %d", r.RunsByKey, r.RunsByRequest, restart)
		}
	}
}

// Guards against a decoder that panics or that accepts a truncated journal or response.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("{\"key\":\"k\",\"request-id\":\"r\"}\n"))
	f.Add([]byte("{\"request-id\":\"r\",\"size\":2}\nab"))
	f.Add([]byte("{}\n{"))
	f.Fuzz(func(t *testing.T, content []byte) {
		if runs, err := decodeJournal(content); err == nil && bytes.Count(content, []byte("\n")) != len(runs) {
			t.Fatalf("%d runs in %q", len(runs), content)
		}
		a, body, err := DecodeEchoResponse(content)
		if err != nil {
			return
		}
		encoded, err := a.encode(body)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := DecodeEchoResponse(encoded[:len(encoded)-1]); err == nil {
			t.Fatalf("truncated response %q was decoded without an error", encoded)
		}
	})
}

// Guards against a response that is sent on a frozen connection because its work started
// before the connection was frozen.
func TestFrozenConnDiscardsWrites(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := &faultConn{Conn: near, closed: make(chan struct{}), onClosed: func() {}}
	defer c.Close()
	c.freeze()
	// far is never read, so a write that reaches near fails at the deadline.
	if err := near.SetWriteDeadline(time.Now()); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Write([]byte("answer")); n != 6 || err != nil {
		t.Errorf("write to a frozen connection: %d, %v", n, err)
	}
}

// Guards against a crash that blocks forever on a connection that is just being accepted:
// the upstream then answers no further requests, not even control requests.
func TestCrashWhileConnecting(t *testing.T) {
	u := startUpstream(t, UpstreamSettings{})
	address := u.Address()
	stop := make(chan struct{})
	var dialers sync.WaitGroup
	for range 4 {
		dialers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if c, err := net.Dial("tcp", address); err == nil {
					_ = c.Close()
				}
			}
		})
	}
	defer dialers.Wait()
	defer close(stop)
	for i := range 200 {
		crashed := make(chan struct{})
		go func() {
			u.Crash(time.Millisecond)
			close(crashed)
		}()
		select {
		case <-crashed:
		case <-time.After(5 * time.Second):
			t.Fatalf("crash %d has not ended after 5 s", i)
		}
		time.Sleep(3 * time.Millisecond)
	}
}
