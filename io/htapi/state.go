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

// Event is one line of a watch: the status of the newest revision and what has
// changed since the line before. A watcher that is slow skips revisions; the
// changes of the next line then cover all of them.
type Event struct {
	htconfig.Status
	Changes []htresource.Change `json:"changes"`
}

// apply replaces the whole declared state. Parameters: dry-run=true writes
// nothing; revision=N requires that the declared state is at revision N.
func (a *API) apply(r *http.Request) (answer, error) {
	query := r.URL.Query()
	expect := htconfig.Precondition{Any: !query.Has("revision")}
	revision, err := number(r, "revision")
	if err != nil {
		return answer{}, err
	}
	expect.Version = revision
	dryRun := false
	if query.Has("dry-run") {
		if dryRun, err = strconv.ParseBool(query.Get("dry-run")); err != nil {
			return answer{}, &Problem{Status: http.StatusBadRequest, Message: "dry-run must be true or false"}
		}
	}
	set, err := decode[htresource.Set](r)
	if err != nil {
		return answer{}, err
	}
	result, err := a.Writer.Apply(r.Context(), &set, expect, dryRun)
	return answer{body: filled(result)}, err
}

// status reports whether a revision is in force. Parameter: revision=N; the
// default is the newest that this host has applied.
func (a *API) status(r *http.Request) (answer, error) {
	revision, err := number(r, "revision")
	if err != nil {
		return answer{}, err
	}
	return answer{body: a.Follower.InForce(revision)}, nil
}

// watch sends an Event as a line of JSON at once, and again whenever the revision
// or its status changes, until the client leaves. Parameter: from=N leaves out
// events of revisions below N.
func (a *API) watch(w http.ResponseWriter, r *http.Request) {
	from, err := number(r, "from")
	if err != nil {
		writeProblem(w, r, problemOf(err))
		return
	}
	if a.watchers.Add(1) > MaxWatchers {
		a.watchers.Add(-1)
		writeProblem(w, r, &Problem{Status: http.StatusServiceUnavailable, Message: "too many watchers; use another host"})
		return
	}
	defer a.watchers.Add(-1)
	news := make(chan struct{}, 1)
	stop := a.Follower.Subscribe(func(*htresource.Set) {
		select {
		case news <- struct{}{}:
		default: // a notice is already waiting
		}
	})
	defer stop()
	tick := a.Timer.Subscribe("watch", watchPeriod)
	defer tick.Stop()
	w.Header().Set("Content-Type", "application/x-ndjson")
	line := &lineWriter{w: w, from: from, api: a}
	for {
		if err := line.next(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-news:
		case <-tick.C:
		}
	}
}

// lineWriter writes the events of one watch.
type lineWriter struct {
	w    http.ResponseWriter
	api  *API
	from uint64
	last *htconfig.Status
	set  *htresource.Set
}

// next writes an event if there is something new.
func (l *lineWriter) next() error {
	control := http.NewResponseController(l.w)
	if err := control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	set := l.api.Follower.Current()
	status := l.api.Follower.InForce(0)
	if set == nil || status.Revision < l.from || l.last != nil && reflect.DeepEqual(*l.last, status) {
		return control.Flush() // also sends the header
	}
	event := Event{Status: status, Changes: []htresource.Change{}}
	if l.set != nil && l.set.Revision < set.Revision {
		event.Changes = htresource.Diff(l.set, set)
	}
	l.last, l.set = &status, set
	if err := json.NewEncoder(l.w).Encode(event); err != nil {
		return err
	}
	return control.Flush()
}

// number returns a numeric query parameter, or 0 if it is absent.
func number(r *http.Request, name string) (uint64, error) {
	if !r.URL.Query().Has(name) {
		return 0, nil
	}
	value, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0, &Problem{Status: http.StatusBadRequest, Message: name + " must be a revision number"}
	}
	return value, nil
}
