package htback

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against requests that are sent on a connection while the upstream closes it. An
// upstream that closes idle connections early states so in its Keep-Alive field, and the
// client must close them first.
func TestIdleConnectionsEndBeforeTheUpstreamClosesThem(t *testing.T) {
	tests := []struct {
		name, keepAlive string
		conns           int32 // for three requests, each 0.5 s after the one before
	}{
		{"no Keep-Alive field", "", 1},
		{"longer than the default", "timeout=60", 1},
		{"half a second", "timeout=0.5, max=100", 3},
		{"not a number", "timeout=soon", 1},
		{"zero", "timeout=0", 1},
		{"beyond the range of a duration", "timeout=1e300", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var opened atomic.Int32
			upstream := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if tt.keepAlive != "" {
					w.Header().Set("Keep-Alive", tt.keepAlive)
				}
				_, _ = io.WriteString(w, "whole") // the connection is in use until it is read
			}))
			upstream.Config.ConnState = func(_ net.Conn, s http.ConnState) {
				if s == http.StateNew {
					opened.Add(1)
				}
			}
			upstream.Start()
			defer upstream.Close()
			conns := NewConns(ConnSettings{IdleTimeout: 10 * time.Second, Spare: 1})
			for range 3 {
				request, err := http.NewRequest(http.MethodGet, upstream.URL, nil)
				if err != nil {
					t.Fatal(err)
				}
				response, err := conns.RoundTrip(request, upstream.Listener.Addr().String(), 1, false, NewRequestTrace())
				if err != nil {
					t.Fatal(err)
				}
				if n := conns.OpenCounts()[upstream.Listener.Addr().String()]; n < 1 {
					t.Errorf("%d connections count as open while one is in use", n)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				time.Sleep(500 * time.Millisecond)
			}
			if n := opened.Load(); n != tt.conns {
				t.Errorf("%d connections for three requests, want %d", n, tt.conns)
			}
		})
	}
}
