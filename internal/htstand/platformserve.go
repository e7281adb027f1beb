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

// reply is the answer of a storage handler, kept back until the faults allow it.
type reply struct {
	status int
	value  any
	raw    []byte
}

// storage wraps a handler of the table service or object store with the faults
// that hit storage.
func (p *Platform) storage(kind requestKind, handle func(*http.Request, []byte) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
		if err != nil {
			answerError(w, http.StatusBadRequest, err)
			return
		}
		f, lose := p.admit(kind)
		switch f.refusal {
		case errDown:
			answerError(w, http.StatusServiceUnavailable, errDown)
			return
		case errOverRate:
			answerError(w, http.StatusTooManyRequests, errOverRate)
			return
		}
		if f.Unresponsive {
			p.hang(r)
			panic(http.ErrAbortHandler)
		}
		if f.drop {
			panic(http.ErrAbortHandler)
		}
		p.wait(milliseconds(f.DelayMS))
		answer := handle(r, body)
		p.wait(milliseconds(f.ResponseDelayMS))
		if lose {
			panic(http.ErrAbortHandler)
		}
		if answer.raw != nil {
			w.WriteHeader(answer.status)
			_, _ = w.Write(answer.raw)
			return
		}
		answerJSON(w, answer.status, answer.value)
	}
}

// admission is what the faults say about one storage request.
type admission struct {
	PlatformFaults
	refusal error
	drop    bool
}

// admit counts the request and takes one from the countdown faults if it is a
// write. It reports whether the answer is to be lost.
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
		a.refusal = errDown
	case !limiter.Allow():
		a.refusal = errOverRate
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

// wait ignores the request's context: a slow write takes effect although its
// client has given up.
func (p *Platform) wait(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-p.closed:
	}
}

// hang blocks until the client leaves or the platform is closed.
func (p *Platform) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-p.closed:
	}
}

func (p *Platform) serveRows(r *http.Request, _ []byte) reply {
	query := r.URL.Query()
	if query.Has("prefix") {
		return reply{status: http.StatusOK, value: p.table.scan(query.Get("prefix"))}
	}
	return reply{status: http.StatusOK, value: p.table.read(query["key"])}
}

// CommitResponse is the answer to a transaction.
type CommitResponse struct {
	Revision uint64 `json:"revision"`
}

func (p *Platform) serveTransaction(_ *http.Request, body []byte) reply {
	txn, err := decodeTxn(body)
	if err != nil {
		return reply{status: http.StatusBadRequest, value: ErrorResponse{Error: err.Error()}}
	}
	revision, err := p.table.commit(txn)
	if errors.Is(err, httable.ErrConflict) {
		p.count(func(c *PlatformCounts) { c.Conflicts++ })
		return reply{status: http.StatusConflict, value: ErrorResponse{Error: err.Error()}}
	}
	p.count(func(c *PlatformCounts) { c.RowsWritten += int64(len(txn.Writes)) })
	return reply{status: http.StatusOK, value: CommitResponse{Revision: revision}}
}

func (p *Platform) count(edit func(*PlatformCounts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	edit(&p.counts)
}

func (p *Platform) serveGetObject(r *http.Request, _ []byte) reply {
	value, ok := p.objects.get(r.PathValue("name"))
	if !ok {
		return reply{status: http.StatusNotFound, value: ErrorResponse{Error: "no such object"}}
	}
	return reply{status: http.StatusOK, raw: value}
}

func (p *Platform) servePutObject(r *http.Request, body []byte) reply {
	p.objects.put(r.PathValue("name"), body)
	return reply{status: http.StatusNoContent, raw: []byte{}}
}

func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) {
	f := p.Faults()
	if f.HostListDown {
		answerError(w, http.StatusServiceUnavailable, errors.New("host list is down"))
		return
	}
	p.count(func(c *PlatformCounts) { c.HostReads++ })
	at := time.Now().Add(-milliseconds(f.HostListLagMS))
	answerJSON(w, http.StatusOK, f.distort(p.hosts.at(at)))
}

func (p *Platform) servePutHost(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		answerError(w, http.StatusBadRequest, err)
		return
	}
	var h Host
	if err := decodeJSON(body, &h); err != nil {
		answerError(w, http.StatusBadRequest, err)
		return
	}
	if h.Name == "" {
		h.Name = r.PathValue("name")
	}
	if h.Name != r.PathValue("name") {
		answerError(w, http.StatusBadRequest, fmt.Errorf("host %s put as %s", h.Name, r.PathValue("name")))
		return
	}
	if err := h.Check(); err != nil {
		answerError(w, http.StatusBadRequest, err)
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
	answerJSON(w, http.StatusOK, p.Faults())
}

// servePutFaults changes only the faults that the request names.
func (p *Platform) servePutFaults(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		answerError(w, http.StatusBadRequest, err)
		return
	}
	p.SetFaults(func(f *PlatformFaults) {
		next := f.clone()
		if err = decodeJSON(body, &next); err == nil {
			*f = next
		}
	})
	if err != nil {
		answerError(w, http.StatusBadRequest, err)
		return
	}
	answerJSON(w, http.StatusOK, p.Faults())
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	answerJSON(w, http.StatusOK, p.Counts())
}
