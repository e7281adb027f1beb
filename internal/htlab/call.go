package htlab

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"hawthornturn/core/htcall"
	"hawthornturn/internal/htstand"
)

// maxAnswer bounds what is read of one answer.
const maxAnswer = 64 << 20

// call is one request as it is sent. Both copies of a booking that is sent twice
// are the same request.
type call struct {
	kind      Kind
	requestID string
	key       string // empty for lookups
	caller    string
	body      []byte
	again     bool // second copy
	intended  time.Time
}

// Fault is what was wrong with how a call ended. Empty means nothing.
type Fault string

// The faults of an answer.
const (
	FaultLate       Fault = "late"       // no whole answer by the deadline
	FaultCut        Fault = "cut"        // the connection broke before the answer was whole
	FaultWrong      Fault = "wrong"      // the answer belongs to another request or is not whole
	FaultNoConn     Fault = "no-conn"    // no connection to the entry host; the request was not sent
	FaultUnlabelled Fault = "unlabelled" // no valid Hawthornturn-Outcome
	FaultFailed     Fault = "failed"     // done, with a status other than 200
)

// verdict is what the caller knows of a call after it ended.
type verdict struct {
	call    call
	host    string         // entry host that the call was sent to
	outcome htcall.Outcome // empty if the caller was told none
	reason  htcall.Reason
	fault   Fault
	latency time.Duration // since the intended send time
	resent  bool          // net/http sent it again on another connection
	detail  string        // describes the fault
}

// String describes the call and how it ended.
func (v verdict) String() string {
	id := v.call.requestID
	if v.call.again {
		id += " (second copy)"
	}
	return fmt.Sprintf("%s %s through %s sent %s: outcome=%s reason=%s latency=%s resent=%t", v.call.kind, id, v.host,
		v.call.intended.Format(time.StampMilli), v.outcome, v.reason, v.latency, v.resent)
}

// sender sends calls to entry hosts.
type sender struct {
	settings LoadSettings
	client   *http.Client
}

func newSender(s LoadSettings) *sender {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: s.Timeout}).DialContext,
		MaxIdleConnsPerHost: 256,
		DisableCompression:  true,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &sender{settings: s, client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// send sends c to the entry host and judges the answer.
func (s *sender) send(ctx context.Context, c call, host string) verdict {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timeout+s.settings.Grace)
	defer cancel()
	v := verdict{call: c, host: host}
	var attempts atomic.Int32
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { attempts.Add(1) }})
	s.exchange(ctx, &v, host)
	v.latency = time.Since(c.intended)
	v.resent = attempts.Load() > 1
	if v.fault == FaultCut && v.latency >= s.settings.Timeout {
		v.fault = FaultLate
	}
	if v.fault == "" && v.outcome == htcall.Done && v.latency > s.settings.Timeout {
		v.fault = FaultLate
	}
	return v
}

// exchange sends the request, reads the whole answer and fills in v.
func (s *sender) exchange(ctx context.Context, v *verdict, host string) {
	request, err := s.request(ctx, v.call, host)
	if err != nil {
		v.fail(FaultNoConn, err)
		return
	}
	response, err := s.client.Do(request)
	if err != nil {
		v.fail(transportFault(err), err)
		return
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		v.fail(transportFault(err), err)
		return
	}
	judge(v, response, content)
}

func (v *verdict) fail(f Fault, err error) {
	v.fault = f
	v.detail = err.Error()
}

func (s *sender) request(ctx context.Context, c call, host string) (*http.Request, error) {
	method := http.MethodGet
	if c.kind == Booking {
		method = http.MethodPost
	}
	target := url.URL{Scheme: "http", Host: host, Path: s.settings.Path, RawQuery: s.query().Encode()}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	request.Host = s.settings.Service
	request.Header.Set(htcall.HeaderTimeoutMS, strconv.FormatInt(s.settings.Timeout.Milliseconds(), 10))
	request.Header.Set(htcall.HeaderCaller, c.caller)
	request.Header.Set(htstand.HeaderRequestID, c.requestID)
	if c.key != "" {
		request.Header.Set(htcall.HeaderIdempotencyKey, c.key)
	}
	return request, nil
}

func (s *sender) query() url.Values {
	query := url.Values{}
	if s.settings.Work > 0 {
		query.Set("ms", strconv.FormatInt(s.settings.Work.Milliseconds(), 10))
	}
	if s.settings.Stream > 0 {
		query.Set("stream-ms", strconv.FormatInt(s.settings.Stream.Milliseconds(), 10))
	}
	return query
}

// transportFault says how a call failed that got no whole answer.
func transportFault(err error) Fault {
	var op *net.OpError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return FaultLate
	case errors.As(err, &op) && op.Op == "dial":
		return FaultNoConn
	}
	return FaultCut
}

// judge compares a whole answer with the call.
func judge(v *verdict, response *http.Response, content []byte) {
	outcome := htcall.Outcome(response.Header.Get(htcall.HeaderOutcome))
	v.reason = htcall.Reason(response.Header.Get(htcall.HeaderReason))
	if !outcome.Valid() {
		v.fail(FaultUnlabelled, fmt.Errorf("status %d with outcome %q", response.StatusCode, outcome))
		return
	}
	v.outcome = outcome
	if outcome != htcall.Done || v.reason == htcall.ReasonAnswerNotKept {
		return
	}
	if response.StatusCode != http.StatusOK {
		v.fail(FaultFailed, fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(content))))
		return
	}
	if err := checkAnswer(v.call, content); err != nil {
		v.fail(FaultWrong, err)
	}
}

// checkAnswer returns an error unless content is the whole answer to c.
func checkAnswer(c call, content []byte) error {
	answer, body, err := htstand.DecodeEchoResponse(content)
	switch {
	case err != nil:
		return err
	case answer.RequestID != c.requestID:
		return fmt.Errorf("answer belongs to request %q, not %q", answer.RequestID, c.requestID)
	case answer.Key != c.key:
		return fmt.Errorf("answer belongs to key %q, not %q", answer.Key, c.key)
	case !bytes.Equal(body, c.body):
		return fmt.Errorf("answer to %s has another body than the request", c.requestID)
	}
	return nil
}
