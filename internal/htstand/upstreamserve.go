package htstand

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// job is one request for work.
type job struct {
	key       string
	requestID string
	mean      time.Duration // zero means the mean of the settings
	stream    time.Duration // time over which the answer is spread after the work
	deadline  time.Time     // zero means none
	crash     bool
}

// streamParts is the number of parts in which a spread answer is sent.
const streamParts = 4

func (u *Upstream) parseJob(r *http.Request, now time.Time) (job, error) {
	j := job{key: r.Header.Get(HeaderKey), requestID: r.Header.Get(HeaderRequestID)}
	j.crash = u.settings.CrashPathSubstring != "" && strings.Contains(r.URL.Path, u.settings.CrashPathSubstring)
	ms, err := parseMS("ms", r.URL.Query().Get("ms"))
	if err != nil {
		return job{}, err
	}
	j.mean = ms
	if j.stream, err = parseMS("stream-ms", r.URL.Query().Get("stream-ms")); err != nil {
		return job{}, err
	}
	header := r.Header.Get(HeaderTimeoutMS)
	timeout, err := parseMS(HeaderTimeoutMS, header)
	if err != nil {
		return job{}, err
	}
	if header != "" {
		j.deadline = now.Add(timeout)
	}
	return j, nil
}

func parseMS(name, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.Atoi(text)
	if err != nil || ms < 0 {
		return 0, fmt.Errorf("%s must be a number of milliseconds, not %q", name, text)
	}
	return milliseconds(ms), nil
}

func (u *Upstream) serveWork(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	crashed := u.crash()
	j, err := u.parseJob(r, now)
	if err != nil {
		u.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	// net/http notices that the client has left only after the body was read.
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if why := u.worker.arrive(time.Now()); why != "" {
		u.refuse(w, http.StatusServiceUnavailable, string(why))
		return
	}
	how, work := u.work(r, j, crashed)
	u.worker.leave(time.Now(), how, work)
	switch how {
	case endFinished:
		u.answer(w, r, j, body)
	case endRefusedLate:
		u.refuse(w, http.StatusServiceUnavailable, string(refusedLate))
	case endExpired:
		u.report(w)
		answerJSON(w, http.StatusGatewayTimeout, ErrorResponse{Error: "deadline passed during the work"})
	case endCanceled, endCrashed:
		panic(http.ErrAbortHandler)
	}
}

// work waits for a slot and does the work.
func (u *Upstream) work(r *http.Request, j job, crashed <-chan struct{}) (ending, time.Duration) {
	var expired <-chan time.Time
	if !j.deadline.IsZero() {
		timer := time.NewTimer(time.Until(j.deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case u.worker.slots <- struct{}{}:
		defer func() { <-u.worker.slots }()
	case <-expired:
		return endRefusedLate, 0
	case <-r.Context().Done():
		return endCanceled, 0
	case <-crashed:
		return endCrashed, 0
	}
	begun := time.Now()
	if !j.deadline.IsZero() && !begun.Before(j.deadline) {
		return endRefusedLate, 0
	}
	work, err := u.worker.begin(begun, run{Key: j.key, RequestID: j.requestID}, j.mean)
	if err != nil {
		logrus.WithFields(logrus.Fields{"event": "journal-failed", "upstream": u.settings.Name}).Error(err)
		return endCrashed, 0
	}
	if j.crash {
		u.Crash(u.settings.CrashDuration)
		return endCrashed, 0
	}
	done := time.NewTimer(work)
	defer done.Stop()
	select {
	case <-done.C:
		return endFinished, work
	case <-expired:
		return endExpired, 0
	case <-r.Context().Done():
		return endCanceled, 0
	case <-crashed:
		return endCrashed, 0
	}
}

// answer sends the answer line and the echoed body.
func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, j job, body []byte) {
	a := EchoResponse{RequestID: j.requestID, Key: j.key, Method: r.Method, Path: r.URL.Path, Upstream: u.settings.Name}
	content, err := a.encode(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	u.report(w)
	w.Header().Set(HeaderRequestID, j.requestID)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	switch {
	case u.worker.takeCut():
		_, _ = w.Write(content[:len(content)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case j.stream > 0:
		stream(w, r, content, j.stream)
	default:
		_, _ = w.Write(content)
	}
}

// stream sends content in parts spread over d.
func stream(w http.ResponseWriter, r *http.Request, content []byte, d time.Duration) {
	part := (len(content) + streamParts - 1) / streamParts
	for len(content) > 0 {
		n := min(part, len(content))
		_, _ = w.Write(content[:n])
		_ = http.NewResponseController(w).Flush()
		content = content[n:]
		select {
		case <-time.After(d / streamParts):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// refuse answers a request that was not started.
func (u *Upstream) refuse(w http.ResponseWriter, status int, why string) {
	u.report(w)
	w.Header().Set(HeaderNotStarted, "true")
	answerJSON(w, status, ErrorResponse{Error: why})
}

func (u *Upstream) report(w http.ResponseWriter) {
	u.worker.load(time.Now()).report(w.Header())
}

// report sets the header fields that tell the load.
func (l Load) report(h http.Header) {
	h.Set(HeaderState, string(l.State))
	h.Set(HeaderSlots, strconv.Itoa(l.Slots))
	h.Set(HeaderInFlight, strconv.Itoa(l.InFlight))
	h.Set(HeaderWorkMS, strconv.FormatInt(l.WorkMS, 10))
}
