package htentry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htconn"
	"hawthornturn/io/htclient"
	"hawthornturn/io/htgossip"
	"hawthornturn/io/htpipeline"
)

const (
	// headerTimeout bounds the time to read a request header, and idleTimeout the time that a
	// connection stays idle. They apply from the start, before limits are declared; declared
	// timeouts do not replace them.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// balancerRemovalDelay is how long a stopping host accepts new connections: the balancer
	// checks readiness once a second and removes a host after two failed checks.
	balancerRemovalDelay = 2300 * time.Millisecond
	// exitReserve is the part of the grace period that is kept for the exit of the process.
	exitReserve = 500 * time.Millisecond
	// lastAnswersReserve is the time before calls are cut by which upstreams are told to answer.
	lastAnswersReserve = 100 * time.Millisecond
)

func newCallerServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ConnContext:       htpipeline.ConnContext,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          nil,
		// Otherwise net/http answers "OPTIONS *" with 200, which no upstream has sent.
		DisableGeneralOptionsHandler: true,
	}
}

// newReadyServer returns the server for readiness checks of the platform's balancer.
func (e *Entry) newReadyServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.settings.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		ok, reason := e.Ready()
		e.logReady(ok, reason)
		if !ok {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	return newSmallServer(mux)
}

// newSmallServer returns a server whose requests have no bodies.
func newSmallServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: htclient.ChargeAnswers(handler), ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout,
		WriteTimeout: htconn.Slack, IdleTimeout: idleTimeout, MaxHeaderBytes: smallHeadBytes,
	}
}

// logReady logs a change of the answer to readiness checks.
func (e *Entry) logReady(ok bool, reason string) {
	if e.reportedReady.Swap(ok) == ok {
		return
	}
	logrus.WithFields(logrus.Fields{"event": "ready-changed", "ready": ok, "why": reason}).Info("readiness changed")
}

// newPeerServer returns the server for other hosts and operators.
func (e *Entry) newPeerServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET "+htgossip.SyncPath, htgossip.Handler(e.rowsSince))
	e.addOperatorPaths(mux)
	return newSmallServer(mux)
}

// newOperatorServer returns the server of metrics and state for operators.
func (e *Entry) newOperatorServer() *http.Server {
	mux := http.NewServeMux()
	e.addOperatorPaths(mux)
	return newSmallServer(mux)
}

func (e *Entry) addOperatorPaths(mux *http.ServeMux) {
	mux.HandleFunc("GET "+MetricsPath, e.serveMetrics)
	mux.HandleFunc("GET /state", e.serveState)
	mux.HandleFunc("GET "+WherePath, e.serveWhere)
}

// Stopping reports whether a planned stop is in progress.
func (e *Entry) Stopping() bool { return e.stopping.Load() }

// stop performs a planned stop: readiness checks fail, the other hosts take over this host's
// duties, and calls in flight end. Calls that still run near the end of the grace period are
// cut, and new ones that would probably not have ended by then are refused.
func (e *Entry) stop() error {
	start := e.timers.Now()
	e.stopping.Store(true)
	cut := start.Add(e.settings.GracePeriod - exitReserve)
	e.relay.CutAt(cut.Add(-lastAnswersReserve))
	logrus.WithFields(logrus.Fields{"event": "host-stopping", "grace-ms": e.settings.GracePeriod.Milliseconds()}).Info("planned stop started")
	e.sendAllHeartbeats()
	time.Sleep(min(balancerRemovalDelay, e.settings.GracePeriod/2))
	ctx, cancel := context.WithTimeout(context.Background(), max(cut.Sub(e.timers.Now()), 0))
	defer cancel()
	e.waitAhead(ctx)
	err := e.callerServer.Shutdown(ctx)
	e.callers.AwaitClosed(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		logrus.WithFields(logrus.Fields{"event": "calls-cut", "calls": int(e.metrics.inFlight.Get())}).Warn("cutting calls that are in flight at the end of the grace period")
		return e.callerServer.Close()
	}
	return err
}
