package htentry

import (
	"context"
	"errors"
	"expvar"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/io/htgossip"
)

const (
	// headerTimeout and idleTimeout hold until limits are declared.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// stopNotice is how long a stopping host takes new connections: the balancer asks
	// once a second and takes a host out after two misses.
	stopNotice = 2300 * time.Millisecond
	// stopReserve is kept of the grace for the end of the process.
	stopReserve = 500 * time.Millisecond
)

func (e *Entry) newFront() *http.Server {
	return &http.Server{
		Handler:           e.ports.Handler(e),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          nil,
	}
}

// newBalancerSide tells the platform's balancer whether the host takes connections.
func (e *Entry) newBalancerSide() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.settings.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if ok, why := e.Ready(); !ok {
			http.Error(w, why, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

// newPeerSide serves other hosts, and metrics and state for operators.
func (e *Entry) newPeerSide() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET "+htgossip.SyncPath, htgossip.Handler(e.rowsSince))
	mux.Handle("GET /metrics", expvar.Handler())
	mux.HandleFunc("GET /state", e.serveState)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

// Stopping reports whether a planned stop is under way.
func (e *Entry) Stopping() bool { return e.stopping.Load() }

// stop makes a planned stop: the balancer is told, the other hosts take over the
// duties, and calls in flight end.
func (e *Entry) stop() error {
	start := e.timers.Now()
	e.stopping.Store(true)
	logrus.WithFields(logrus.Fields{"event": "host-stopping", "grace-ms": e.settings.Grace.Milliseconds()}).Info("planned stop")
	e.beatAll()
	time.Sleep(min(stopNotice, e.settings.Grace/2))
	left := e.settings.Grace - stopReserve - e.timers.Now().Sub(start)
	ctx, cancel := context.WithTimeout(context.Background(), max(left, 0))
	defer cancel()
	err := e.front.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		logrus.WithFields(logrus.Fields{"event": "calls-cut", "calls": e.metrics.inFlight.Value()}).Warn("the grace ended before all calls did")
		return e.front.Close()
	}
	return err
}
