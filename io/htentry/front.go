package htentry

import (
	"context"
	"errors"
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
		Handler:           e.ports.NewHandler(e),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          nil,
	}
}

// newBalancerSide tells the platform's balancer whether the host takes connections.
func (e *Entry) newBalancerSide() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.settings.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		ok, why := e.Ready()
		e.logReady(ok, why)
		if !ok {
			http.Error(w, why, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

// logReady writes a line when the balancer is told something else than before.
func (e *Entry) logReady(ok bool, why string) {
	if e.toldReady.Swap(ok) == ok {
		return
	}
	logrus.WithFields(logrus.Fields{"event": "ready-changed", "ready": ok, "why": why}).Info("the balancer is told")
}

// newPeerSide serves other hosts, and operators.
func (e *Entry) newPeerSide() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET "+htgossip.SyncPath, htgossip.Handler(e.rowsSince))
	e.addOperatorPaths(mux)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

// newOperatorSide serves metrics and state for operators.
func (e *Entry) newOperatorSide() *http.Server {
	mux := http.NewServeMux()
	e.addOperatorPaths(mux)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

func (e *Entry) addOperatorPaths(mux *http.ServeMux) {
	mux.HandleFunc("GET "+MetricsPath, e.serveMetrics)
	mux.HandleFunc("GET /state", e.serveState)
}

// Stopping reports whether a planned stop is under way.
func (e *Entry) Stopping() bool { return e.stopping.Load() }

// stop makes a planned stop: the balancer is told, the other hosts take over the
// duties, and calls in flight end.
func (e *Entry) stop() error {
	start := e.timers.Now()
	e.stopping.Store(true)
	logrus.WithFields(logrus.Fields{"event": "host-stopping", "grace-ms": e.settings.GracePeriod.Milliseconds()}).Info("planned stop")
	e.beatAll()
	time.Sleep(min(stopNotice, e.settings.GracePeriod/2))
	left := e.settings.GracePeriod - stopReserve - e.timers.Now().Sub(start)
	ctx, cancel := context.WithTimeout(context.Background(), max(left, 0))
	defer cancel()
	err := e.front.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		logrus.WithFields(logrus.Fields{"event": "calls-cut", "calls": int(e.metrics.inFlight.Get())}).Warn("the grace ended before all calls did")
		return e.front.Close()
	}
	return err
}
