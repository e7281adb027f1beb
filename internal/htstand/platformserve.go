package htstand

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"hawthornturn/core/httable"
)

type requestKind int

const (
	kindRead requestKind = iota
	kindWrite
)

// storageResponse is the response of a storage handler. It is sent by
// withStorageFaults, after the injected response delay.
type storageResponse struct {
	status int
	value  any
	raw    []byte
}

// withStorageFaults wraps a handler of the table service or object store and injects
// the storage faults.
func (p *Platform) withStorageFaults(kind requestKind, handle func(*http.Request, []byte) storageResponse) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil {
			writeError(w, http.StatusBadRequest, err)
			return
		}
		f, loseResponse := p.admit(kind)
		switch f.refusal {
		case errStorageDown:
			writeError(w, http.StatusServiceUnavailable, errStorageDown)
			return
		case errRateLimited:
			writeError(w, http.StatusTooManyRequests, errRateLimited)
			return
		}
		if f.Unresponsive {
			p.waitForDisconnect(r)
			panic(http.ErrAbortHandler)
		}
		if f.drop {
			panic(http.ErrAbortHandler)
		}
		p.delay(milliseconds(f.DelayMS))
		response := handle(r, body)
		p.delay(milliseconds(f.ResponseDelayMS))
		if loseResponse {
			panic(http.ErrAbortHandler)
		}
		if response.raw != nil {
			w.WriteHeader(response.status)
			_, _ = w.Write(response.raw)
			return
		}
		writeJSON(w, response.status, response.value)
	}
}

// admission is the decision of admit on one storage request, with the faults that
// apply to the request.
type admission struct {
	PlatformFaults
	refusal error
	drop    bool
}

// admit checks the faults and rate limits for one storage request and counts the
// request. For a write it decrements DropWrites or, if that is 0, LoseResponses. It
// reports whether the response must be lost.
func (p *Platform) admit(kind requestKind) (admission, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := admission{PlatformFaults: p.faults}
	limiter := p.reads
	if kind == kindWrite {
		limiter = p.writes
	}
	switch {
	case a.Down:
		a.refusal = errStorageDown
	case !limiter.Allow():
		a.refusal = errRateLimited
	}
	if a.refusal != nil {
		p.counts.Refused++
		return a, false
	}
	if kind == kindRead {
		p.counts.Reads++
		return a, false
	}
	p.counts.Writes++
	if a.Unresponsive {
		return a, false
	}
	if p.faults.DropWrites > 0 {
		p.faults.DropWrites--
		a.drop = true
		return a, false
	}
	if p.faults.LoseResponses > 0 {
		p.faults.LoseResponses--
		return a, true
	}
	return a, false
}

// delay waits for d or until the platform is closed. It does not end with the request's
// context: a slow write takes effect even if its client has given up.
func (p *Platform) delay(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-p.closed:
	}
}

// waitForDisconnect blocks until the client disconnects or the platform is closed.
func (p *Platform) waitForDisconnect(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-p.closed:
	}
}

func (p *Platform) serveRows(r *http.Request, _ []byte) storageResponse {
	query := r.URL.Query()
	if query.Has("prefix") {
		return storageResponse{status: http.StatusOK, value: p.table.scan(query.Get("prefix"))}
	}
	return storageResponse{status: http.StatusOK, value: p.table.read(query["key"])}
}

// CommitResponse is the body of the response to a committed transaction.
type CommitResponse struct {
	Revision uint64 `json:"revision"`
}

func (p *Platform) serveTransaction(_ *http.Request, body []byte) storageResponse {
	txn, err := decodeTxn(body)
	if err != nil {
		return storageResponse{status: http.StatusBadRequest, value: ErrorResponse{Error: err.Error()}}
	}
	revision, err := p.table.commit(txn)
	if errors.Is(err, httable.ErrConflict) {
		p.count(func(c *PlatformCounts) { c.Conflicts++ })
		return storageResponse{status: http.StatusConflict, value: ErrorResponse{Error: err.Error()}}
	}
	p.count(func(c *PlatformCounts) { c.RowsWritten += int64(len(txn.Writes)) })
	return storageResponse{status: http.StatusOK, value: CommitResponse{Revision: revision}}
}

func (p *Platform) count(edit func(*PlatformCounts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	edit(&p.counts)
}

func (p *Platform) serveGetObject(r *http.Request, _ []byte) storageResponse {
	value, ok := p.objects.get(r.PathValue("name"))
	if !ok {
		return storageResponse{status: http.StatusNotFound, value: ErrorResponse{Error: "object not found"}}
	}
	return storageResponse{status: http.StatusOK, raw: value}
}

func (p *Platform) servePutObject(r *http.Request, body []byte) storageResponse {
	p.objects.put(r.PathValue("name"), body)
	return storageResponse{status: http.StatusNoContent, raw: []byte{}}
}

func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) {
	f := p.Faults()
	if f.HostListDown {
		writeError(w, http.StatusServiceUnavailable, errors.New("host list unavailable"))
		return
	}
	p.count(func(c *PlatformCounts) { c.HostReads++ })
	at := time.Now().Add(-milliseconds(f.HostListLagMS))
	writeJSON(w, http.StatusOK, f.applyToHostList(p.hosts.versionAt(at)))
}

func (p *Platform) servePutHost(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	var h Host
	if err := decodeJSON(body, &h); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if h.Name == "" {
		h.Name = r.PathValue("name")
	}
	if h.Name != r.PathValue("name") {
		writeError(w, http.StatusBadRequest, fmt.Errorf("body names host %s but the path names host %s", h.Name, r.PathValue("name")))
		return
	}
	if err := h.Check(); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	p.PutHost(h)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveDeleteHost(w http.ResponseWriter, r *http.Request) {
	p.DeleteHost(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveGetFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Faults())
}

// servePutFaults changes the faults that the request body names and keeps the others.
func (p *Platform) servePutFaults(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	p.SetFaults(func(f *PlatformFaults) {
		next := f.clone()
		if err = decodeJSON(body, &next); err == nil {
			*f = next
		}
	})
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	writeJSON(w, http.StatusOK, p.Faults())
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Counts())
}
