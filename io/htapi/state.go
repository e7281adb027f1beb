package htapi

import (
	"encoding/json"
	"net/http"
	"reflect"
	"strconv"
	"time"

	"hawthornturn/core/htconfig"
	"hawthornturn/core/htresource"
)

// Event is one line of a watch: the status of the newest revision and the changes
// since the previous line. A slow watcher skips revisions; its next line then contains
// the changes of all of them.
type Event struct {
	htconfig.Status
	Changes []htresource.Change `json:"changes"`
}

// apply replaces the whole declared state. Parameters: dry-run=true returns the changes
// without making them; revision=N requires that the declared state is at revision N.
func (a *API) apply(r *http.Request) (apiResponse, error) {
	query := r.URL.Query()
	expect := htconfig.Precondition{Any: !query.Has("revision")}
	revision, err := revisionParam(r, "revision")
	if err != nil {
		return apiResponse{}, err
	}
	expect.Version = revision
	dryRun := false
	if query.Has("dry-run") {
		if dryRun, err = strconv.ParseBool(query.Get("dry-run")); err != nil {
			return apiResponse{}, &Problem{Status: http.StatusBadRequest, Message: "dry-run must be true or false"}
		}
	}
	set, err := decode[htresource.Set](a, r)
	if err != nil {
		return apiResponse{}, err
	}
	result, err := a.Writer.Apply(r.Context(), &set, expect, dryRun)
	return apiResponse{body: withChangeList(result)}, err
}

// status reports whether a revision is in force. Parameter: revision=N; the
// default is the newest revision that this host has applied.
func (a *API) status(r *http.Request) (apiResponse, error) {
	revision, err := revisionParam(r, "revision")
	if err != nil {
		return apiResponse{}, err
	}
	return apiResponse{body: a.Follower.RevisionStatus(revision)}, nil
}

// watch streams Events as lines of JSON, one immediately and one whenever the revision
// or its status changes, until the client disconnects. Parameter: from=N omits events
// of revisions below N.
func (a *API) watch(w http.ResponseWriter, r *http.Request) {
	from, err := revisionParam(r, "from")
	if err != nil {
		writeProblem(w, r, problemFromError(err))
		return
	}
	if a.watchers.Add(1) > MaxWatchers {
		a.watchers.Add(-1)
		writeProblem(w, r, &Problem{Status: http.StatusServiceUnavailable, Message: "too many watchers; use another host"})
		return
	}
	defer a.watchers.Add(-1)
	changed := make(chan struct{}, 1)
	stop := a.Follower.Subscribe(func(*htresource.Set) {
		select {
		case changed <- struct{}{}:
		default: // a notification is already pending
		}
	})
	defer stop()
	ticker := a.Timer.Subscribe("watch", watchPeriod)
	defer ticker.Stop()
	w.Header().Set("Content-Type", "application/x-ndjson")
	line := &lineWriter{w: w, from: from, api: a}
	for {
		if err := line.writeIfChanged(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// lineWriter writes the events of one watch.
type lineWriter struct {
	w          http.ResponseWriter
	api        *API
	from       uint64
	lastStatus *htconfig.Status
	lastSet    *htresource.Set
}

// writeIfChanged writes an event if the status has changed since the last event and the
// revision is at least from.
func (l *lineWriter) writeIfChanged() error {
	control := http.NewResponseController(l.w)
	if err := control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	set := l.api.Follower.Current()
	status := l.api.Follower.RevisionStatus(0)
	if set == nil || status.Revision < l.from || l.lastStatus != nil && reflect.DeepEqual(*l.lastStatus, status) {
		return control.Flush() // also sends the response header
	}
	event := Event{Status: status, Changes: []htresource.Change{}}
	if l.lastSet != nil && l.lastSet.Revision < set.Revision {
		event.Changes = htresource.Diff(l.lastSet, set)
	}
	l.lastStatus, l.lastSet = &status, set
	if err := json.NewEncoder(l.w).Encode(event); err != nil {
		return err
	}
	return control.Flush()
}

// revisionParam returns the revision in a query parameter, or 0 if it is absent.
func revisionParam(r *http.Request, name string) (uint64, error) {
	if !r.URL.Query().Has(name) {
		return 0, nil
	}
	value, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0, &Problem{Status: http.StatusBadRequest, Message: name + " must be a revision number"}
	}
	return value, nil
}
