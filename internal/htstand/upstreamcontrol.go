package htstand

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

// Actions of POST /-/actions/ACTION. Crash and cold take a duration in the query
// parameter ms.
const (
	ActionCrash   = "crash"
	ActionCold    = "cold"
	ActionSilence = "silence-connections"
	ActionFreeze  = "freeze-connections"
)

func (u *Upstream) serveHealth(w http.ResponseWriter, _ *http.Request) {
	l := u.probe()
	l.setHeaders(w.Header())
	status := http.StatusOK
	if l.State == StateDraining {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, struct {
		State State `json:"state"`
	}{l.State})
}

func (u *Upstream) serveLoad(w http.ResponseWriter, _ *http.Request) {
	l := u.probe()
	l.setHeaders(w.Header())
	writeJSON(w, http.StatusOK, l)
}

func (u *Upstream) probe() Load {
	l := u.worker.probe(time.Now())
	time.Sleep(u.settings.ProbeCost)
	return l
}

func (u *Upstream) serveRecord(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, u.Record())
}

func (u *Upstream) serveGetFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, u.Faults())
}

// servePutFaults changes the faults that the request body names and keeps the others.
func (u *Upstream) servePutFaults(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err == nil {
		err = u.worker.setFaults(time.Now(), func(f *UpstreamFaults) error { return decodeJSON(body, f) })
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	writeJSON(w, http.StatusOK, u.Faults())
}

func (u *Upstream) serveAction(w http.ResponseWriter, r *http.Request) {
	d, err := parseMilliseconds("ms", r.URL.Query().Get("ms"))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	switch action := r.PathValue("action"); action {
	case ActionCrash:
		respondAndClose(w)
		u.Crash(max(d, u.settings.CrashDuration))
	case ActionCold:
		u.SetCold(d)
		w.WriteHeader(http.StatusNoContent)
	case ActionSilence:
		respondAndClose(w)
		if err := u.SilenceConnections(); err != nil {
			logrus.WithFields(logrus.Fields{"event": "silence-failed", "upstream": u.settings.Name}).Error(err)
		}
	case ActionFreeze:
		respondAndClose(w)
		u.FreezeConnections()
	default:
		writeError(w, http.StatusNotFound, fmt.Errorf("unknown action %q", action))
	}
}

// respondAndClose sends an empty response before an action that ends the connection.
func respondAndClose(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
}

// Faults returns a copy of the current faults.
func (u *Upstream) Faults() UpstreamFaults {
	u.worker.mu.Lock()
	defer u.worker.mu.Unlock()
	return u.worker.faults.clone()
}
