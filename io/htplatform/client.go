package htplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"
)

// DefaultTimeout bounds one request to the platform. It is below the lease renewal
// period, so that a request without a response does not delay the next renewal.
const DefaultTimeout = time.Second

// maxResponseBytes bounds the part of a response body that is read.
const maxResponseBytes = 256 << 20

// Settings holds the address of the platform and the timeout of requests to it.
type Settings struct {
	URL     string        // for example http://127.0.0.1:7000
	Timeout time.Duration // per request; zero means DefaultTimeout
}

// Client sends requests to the platform. Its errors distinguish requests that were never
// sent from those whose response was lost.
type Client struct {
	url     string
	timeout time.Duration
	http    *http.Client
}

// NewClient returns a Client without connections.
func NewClient(s Settings) *Client {
	timeout := s.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{
		url:     strings.TrimSuffix(s.URL, "/"),
		timeout: timeout,
		http:    &http.Client{Transport: transport},
	}
}

// TransportError means that a request got no complete response. MayBeSent is false if it is
// certain that no byte of the request was sent.
type TransportError struct {
	MayBeSent bool
	Err       error
}

// Error implements error.
func (e *TransportError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *TransportError) Unwrap() error { return e.Err }

// StatusError is a response with a status other than 2xx.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Message)
}

// Do sends body as JSON, unless it is nil, and decodes the response into out, unless that
// is nil. It returns a *TransportError or a *StatusError.
func (c *Client) Do(ctx context.Context, method, path string, body, out any) error {
	_, err := c.Exchange(ctx, method, path, body, out)
	return err
}

// Exchange is Do, and also returns the header of the response unless there is an error.
func (c *Client) Exchange(ctx context.Context, method, path string, body, out any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	var payload []byte
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, &TransportError{Err: fmt.Errorf("encode request: %w", err)}
		}
		payload = encoded
	}
	request, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(payload))
	if err != nil {
		return nil, &TransportError{Err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		// With a connection, net/http may have sent a part of the request before it failed.
		return nil, &TransportError{MayBeSent: connected && !isDialError(err), Err: err}
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, &TransportError{MayBeSent: true, Err: fmt.Errorf("read response: %w", err)}
	}
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return nil, &StatusError{Status: response.StatusCode, Message: errorText(responseBody)}
	}
	if out == nil {
		return response.Header, nil
	}
	if err := json.Unmarshal(responseBody, out); err != nil {
		return nil, &TransportError{MayBeSent: true, Err: fmt.Errorf("decode response: %w", err)}
	}
	return response.Header, nil
}

// isDialError reports whether no connection could be opened. Then no byte of a POST was sent:
// net/http opens another connection for a POST only if no byte of it was sent on the first. A
// GET may be sent again, but only Commit, which is a POST, uses MayBeSent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// errorText returns the error text of a JSON response, or the start of the response if it
// has none.
func errorText(content []byte) string {
	var problem struct {
		Error string `json:"error"`
	}
	if err := json.Unmarshal(content, &problem); err == nil && problem.Error != "" {
		return problem.Error
	}
	const maxTextBytes = 200
	return string(content[:min(len(content), maxTextBytes)])
}

func (c *Client) close() {
	c.http.CloseIdleConnections()
}
