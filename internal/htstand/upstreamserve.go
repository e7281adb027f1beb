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

// workRequest is the decoded form of one work request.
type workRequest struct {
	key        string
	requestID  string
	meanWork   time.Duration // mean work time; zero means the mean of the settings
	streamTime time.Duration // time over which the response is spread after the work
	deadline   time.Time     // zero means none
	crash      bool
}

// streamChunks is the number of chunks in which a streamed response is sent.
const streamChunks = 4

func (u *Upstream) parseWorkRequest(r *http.Request, now time.Time) (workRequest, error) {
	wr := workRequest{key: r.Header.Get(HeaderKey), requestID: r.Header.Get(HeaderRequestID)}
	wr.crash = u.settings.CrashPathSubstring != "" && strings.Contains(r.URL.Path, u.settings.CrashPathSubstring)
	ms, err := parseMilliseconds("ms", r.URL.Query().Get("ms"))
	if err != nil {
		return workRequest{}, err
	}
	wr.meanWork = ms
	if wr.streamTime, err = parseMilliseconds("stream-ms", r.URL.Query().Get("stream-ms")); err != nil {
		return workRequest{}, err
	}
	header := r.Header.Get(HeaderTimeoutMS)
	timeout, err := parseMilliseconds(HeaderTimeoutMS, header)
	if err != nil {
		return workRequest{}, err
	}
	if header != "" {
		wr.deadline = now.Add(timeout)
	}
	return wr, nil
}

func parseMilliseconds(name, text string) (time.Duration, error) {
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
	crashed := u.crashSignal()
	wr, err := u.parseWorkRequest(r, now)
	if err != nil {
		u.writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	// net/http detects that the client has disconnected only after the body was read.
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if reason := u.worker.admit(time.Now()); reason != "" {
		u.writeRefusal(w, http.StatusServiceUnavailable, string(reason))
		return
	}
	result, work := u.doWork(r, wr, crashed)
	u.worker.finish(time.Now(), result, work)
	switch result {
	case resultFinished:
		u.writeEcho(w, r, wr, body)
	case resultRefusedDeadline:
		u.writeRefusal(w, http.StatusServiceUnavailable, string(refusedDeadline))
	case resultExpired:
		u.setLoadHeaders(w)
		writeJSON(w, http.StatusGatewayTimeout, ErrorResponse{Error: "deadline passed during the work"})
	case resultCanceled, resultCrashed:
		panic(http.ErrAbortHandler)
	}
}

// doWork waits for a slot and simulates the work. It returns the result and, if the work
// finished, the work time.
func (u *Upstream) doWork(r *http.Request, wr workRequest, crashed <-chan struct{}) (workResult, time.Duration) {
	var expired <-chan time.Time
	if !wr.deadline.IsZero() {
		timer := time.NewTimer(time.Until(wr.deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case u.worker.slots <- struct{}{}:
		defer func() { <-u.worker.slots }()
	case <-expired:
		return resultRefusedDeadline, 0
	case <-r.Context().Done():
		return resultCanceled, 0
	case <-crashed:
		return resultCrashed, 0
	}
	started := time.Now()
	if !wr.deadline.IsZero() && !started.Before(wr.deadline) {
		return resultRefusedDeadline, 0
	}
	work, err := u.worker.startWork(started, run{Key: wr.key, RequestID: wr.requestID}, wr.meanWork)
	if err != nil {
		logrus.WithFields(logrus.Fields{"event": "journal-failed", "upstream": u.settings.Name}).Error(err)
		return resultCrashed, 0
	}
	if wr.crash {
		u.Crash(u.settings.CrashDuration)
		return resultCrashed, 0
	}
	done := time.NewTimer(work)
	defer done.Stop()
	select {
	case <-done.C:
		return resultFinished, work
	case <-expired:
		return resultExpired, 0
	case <-r.Context().Done():
		return resultCanceled, 0
	case <-crashed:
		return resultCrashed, 0
	}
}

// writeEcho sends the EchoResponse line and the request body. It truncates the response if
// the faults require it.
func (u *Upstream) writeEcho(w http.ResponseWriter, r *http.Request, wr workRequest, body []byte) {
	echo := EchoResponse{RequestID: wr.requestID, Key: wr.key, Method: r.Method, Path: r.URL.Path, Upstream: u.settings.Name}
	content, err := echo.encode(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	u.setLoadHeaders(w)
	w.Header().Set(HeaderRequestID, wr.requestID)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	switch {
	case u.worker.takeTruncation():
		_, _ = w.Write(content[:len(content)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case wr.streamTime > 0:
		writeChunks(w, r, content, wr.streamTime)
	default:
		_, _ = w.Write(content)
	}
}

// writeChunks sends content in chunks spread over d.
func writeChunks(w http.ResponseWriter, r *http.Request, content []byte, d time.Duration) {
	chunk := (len(content) + streamChunks - 1) / streamChunks
	for len(content) > 0 {
		n := min(chunk, len(content))
		_, _ = w.Write(content[:n])
		_ = http.NewResponseController(w).Flush()
		content = content[n:]
		select {
		case <-time.After(d / streamChunks):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// writeRefusal responds to a request whose work was not started.
func (u *Upstream) writeRefusal(w http.ResponseWriter, status int, reason string) {
	u.setLoadHeaders(w)
	w.Header().Set(HeaderNotStarted, "true")
	writeJSON(w, status, ErrorResponse{Error: reason})
}

func (u *Upstream) setLoadHeaders(w http.ResponseWriter) {
	u.worker.load(time.Now()).setHeaders(w.Header())
}

// setHeaders sets the header fields that report the load.
func (l Load) setHeaders(h http.Header) {
	h.Set(HeaderState, string(l.State))
	h.Set(HeaderSlots, strconv.Itoa(l.Slots))
	h.Set(HeaderInFlight, strconv.Itoa(l.InFlight))
	h.Set(HeaderWorkMS, strconv.FormatInt(l.WorkMS, 10))
}
