package htback

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"hawthornturn/core/htdispatch"
	"hawthornturn/core/htpath"
	"hawthornturn/core/htresource"
)

// Header fields and probe path of upstreams.
const (
	headerTimeoutMS  = "Request-Timeout-Ms"
	headerRequestID  = "X-Request-Id"
	headerState      = "Upstream-State"
	headerSlots      = "Upstream-Slots"
	headerInFlight   = "Upstream-In-Flight"
	headerWorkMS     = "Upstream-Work-Ms"
	headerNotStarted = "Upstream-Not-Started"
	probePath        = "/-/load"
)

const (
	dialTimeout = 250 * time.Millisecond
	// idleTimeout bounds how long a connection stays idle, so that a reused connection
	// was alive within this time.
	idleTimeout = time.Second
	// ackTimeout is the time after which a connection with unacknowledged data is closed.
	ackTimeout = time.Second
	// extraConns is the number of connections per upstream beyond its slots: one for a
	// probe and one that is being closed.
	extraConns             = 2
	maxResponseHeaderBytes = 64 << 10
)

// Client sends calls to upstreams. It implements htpath.Upstreams.
type Client struct {
	conns *Conns
}

// New returns a Client without connections. If as many as maxOpen are open, idle ones give way to
// new ones; 0: not bounded.
func New(maxOpen int) *Client {
	return &Client{conns: NewConns(ConnSettings{IdleTimeout: idleTimeout, Spare: extraConns, MaxOpen: maxOpen})}
}

// Send implements htpath.Upstreams.
func (c *Client) Send(ctx context.Context, to htresource.Upstream, deadline time.Time, call *htpath.Call) (*htpath.UpstreamAnswer, error) {
	body, err := call.Body.Open()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", htpath.ErrNotSent, err)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	trace := NewRequestTrace()
	request, err := c.request(ctx, to, deadline, call, body)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("%w: %w", htpath.ErrNotSent, err)
	}
	response, err := c.conns.RoundTrip(request, to.Address, to.Slots, !call.Meta.Idempotent, trace)
	if err != nil {
		cancel()
		return nil, err
	}
	return upstreamAnswer(response, trace, cancel), nil
}

// request builds the request to the upstream. The body is wrapped in a struct, so that
// net/http cannot set GetBody from its concrete type and never retries the request by itself.
func (c *Client) request(ctx context.Context, to htresource.Upstream, deadline time.Time, call *htpath.Call, body io.ReadCloser) (*http.Request, error) {
	size := call.Body.Len()
	var payload io.Reader = struct{ io.ReadCloser }{body}
	if size == 0 && !call.Meta.Idempotent && len(call.Trailer) == 0 {
		// net/http may retry a request without a body, but not on a new connection, and Send
		// sends a non-idempotent call on a new one.
		payload = http.NoBody
	}
	request, err := http.NewRequestWithContext(ctx, call.Meta.Method, "http://"+to.Address+call.Meta.URI, payload)
	if err != nil {
		return nil, err
	}
	switch {
	case len(call.Trailer) > 0:
		// HTTP/1.1 sends a trailer only after a chunked body.
		request.ContentLength = -1
	case size > 0:
		request.ContentLength = size
	}
	request.Header = call.Header.Clone()
	request.Trailer = call.Trailer
	request.Host = call.Header.Get("Host")
	request.Header.Del("Host")
	if request.Header.Get(headerRequestID) == "" {
		request.Header.Set(headerRequestID, call.Meta.ID)
	}
	remaining := max(1, time.Until(deadline).Milliseconds())
	request.Header.Set(headerTimeoutMS, strconv.FormatInt(remaining, 10))
	return request, nil
}

func upstreamAnswer(response *http.Response, trace *RequestTrace, cancel context.CancelFunc) *htpath.UpstreamAnswer {
	return &htpath.UpstreamAnswer{
		Status:  response.StatusCode,
		Header:  response.Header,
		Trailer: func() http.Header { return response.Trailer },
		Body:    &htpath.ReleasingBody{Reader: response.Body, Closer: response.Body, Release: cancel},
		Report:  parseReport(response.Header),
		Work:    trace.TimeToFirstByte(),
		Refused: response.Header.Get(headerNotStarted) == "true",
	}
}

// parseReport returns the load report in a response header. Unknown states are left empty.
func parseReport(header http.Header) htdispatch.Report {
	report := htdispatch.Report{
		InFlight: parseCount(header.Get(headerInFlight)),
		Slots:    parseCount(header.Get(headerSlots)),
	}
	switch state := htdispatch.UpstreamState(header.Get(headerState)); state {
	case htdispatch.StateWarm, htdispatch.StateCold, htdispatch.StateDraining:
		report.State = state
	}
	return report
}

// parseCount returns a count, or 0 (not reported) if text is not a count.
func parseCount(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// Probe implements htpath.Upstreams.
func (c *Client) Probe(ctx context.Context, to htresource.Upstream) (htdispatch.Report, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.Address+probePath, http.NoBody)
	if err != nil {
		return htdispatch.Report{}, err
	}
	response, err := c.conns.RoundTrip(request, to.Address, to.Slots, true, NewRequestTrace())
	if err != nil {
		return htdispatch.Report{}, fmt.Errorf("probe %s: %w", to.Name, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return htdispatch.Report{}, fmt.Errorf("probe %s: status %d", to.Name, response.StatusCode)
	}
	return parseReport(response.Header), nil
}

// Retain closes the idle connections to upstreams whose address is not in keep.
func (c *Client) Retain(keep map[string]bool) { c.conns.Retain(keep) }

// Connections returns the number of open connections by upstream address.
func (c *Client) Connections() map[string]int64 { return c.conns.OpenCounts() }
