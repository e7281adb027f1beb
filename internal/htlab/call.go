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

// maxResponseBytes bounds the bytes that are read of one response body.
const maxResponseBytes = 64 << 20

// call is one request as it is sent. Both copies of a booking that is sent twice
// have the same request id, key and body.
type call struct {
	kind        CallKind
	requestID   string
	key         string // empty for lookups
	caller      string
	body        []byte
	isDuplicate bool // second copy
	intended    time.Time
}

// Fault is what was wrong with the response to a call, or with its absence. It is
// empty if nothing was wrong.
type Fault string

// The faults of a call.
const (
	FaultLate       Fault = "late"       // no complete response by the deadline
	FaultCut        Fault = "cut"        // the connection broke before the response was complete
	FaultWrong      Fault = "wrong"      // the response belongs to another request or is incomplete
	FaultNoConn     Fault = "no-conn"    // no connection to the entry host; the request was not sent
	FaultUnlabelled Fault = "unlabelled" // no valid Hawthornturn-Outcome
	FaultFailed     Fault = "failed"     // outcome done with a status other than 200
)

// callResult is what the caller knows of a call after the call has ended.
type callResult struct {
	call    call
	host    string         // entry host that the call was sent to
	outcome htcall.Outcome // empty if the response had none
	reason  htcall.Reason
	fault   Fault
	latency time.Duration // since the intended send time
	resent  bool          // net/http retried it on another connection
	detail  string        // describes the fault
}

// String describes the call and its outcome.
func (r callResult) String() string {
	id := r.call.requestID
	if r.call.isDuplicate {
		id += " (second copy)"
	}
	return fmt.Sprintf("%s %s through %s sent %s: outcome=%s reason=%s latency=%s resent=%t", r.call.kind, id, r.host,
		r.call.intended.Format(time.StampMilli), r.outcome, r.reason, r.latency, r.resent)
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

// send sends c to the entry host and classifies the response.
func (s *sender) send(ctx context.Context, c call, host string) callResult {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timeout+s.settings.Grace)
	defer cancel()
	r := callResult{call: c, host: host}
	var attempts atomic.Int32
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { attempts.Add(1) }})
	s.roundTrip(ctx, &r, host)
	r.latency = time.Since(c.intended)
	r.resent = attempts.Load() > 1
	if r.fault == FaultCut && r.latency >= s.settings.Timeout {
		r.fault = FaultLate
	}
	if r.fault == "" && r.outcome == htcall.Done && r.latency > s.settings.Timeout {
		r.fault = FaultLate
	}
	return r
}

// roundTrip sends the request, reads the complete response and fills in r.
func (s *sender) roundTrip(ctx context.Context, r *callResult, host string) {
	request, err := s.request(ctx, r.call, host)
	if err != nil {
		r.setFault(FaultNoConn, err)
		return
	}
	response, err := s.client.Do(request)
	if err != nil {
		r.setFault(transportFault(err), err)
		return
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		r.setFault(transportFault(err), err)
		return
	}
	classifyResponse(r, response, content)
}

func (r *callResult) setFault(f Fault, err error) {
	r.fault = f
	r.detail = err.Error()
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

// transportFault returns the fault of a call that got no complete response.
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

// classifyResponse sets the outcome, reason and fault of r from a complete response.
func classifyResponse(r *callResult, response *http.Response, content []byte) {
	outcome := htcall.Outcome(response.Header.Get(htcall.HeaderOutcome))
	r.reason = htcall.Reason(response.Header.Get(htcall.HeaderReason))
	if !outcome.Valid() {
		r.setFault(FaultUnlabelled, fmt.Errorf("status %d with outcome %q", response.StatusCode, outcome))
		return
	}
	r.outcome = outcome
	if outcome != htcall.Done || r.reason == htcall.ReasonAnswerNotKept {
		return
	}
	if response.StatusCode != http.StatusOK {
		r.setFault(FaultFailed, fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(content))))
		return
	}
	if err := checkResponse(r.call, content); err != nil {
		r.setFault(FaultWrong, err)
	}
}

// checkResponse returns an error unless content is the complete response to c.
func checkResponse(c call, content []byte) error {
	answer, body, err := htstand.DecodeEchoResponse(content)
	switch {
	case err != nil:
		return err
	case answer.RequestID != c.requestID:
		return fmt.Errorf("response belongs to request %q, not %q", answer.RequestID, c.requestID)
	case answer.Key != c.key:
		return fmt.Errorf("response belongs to key %q, not %q", answer.Key, c.key)
	case !bytes.Equal(body, c.body):
		return fmt.Errorf("response to %s has a different body than the request", c.requestID)
	}
	return nil
}
