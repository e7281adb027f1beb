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
// period, so that a request that hangs does not delay the next renewal.
const DefaultTimeout = time.Second

// maxAnswer bounds what is read of one answer.
const maxAnswer = 256 << 20

// Settings say where the platform is and how long to wait for it.
type Settings struct {
	URL     string        // for example http://127.0.0.1:7000
	Timeout time.Duration // per request; zero means DefaultTimeout
}

// Client sends requests to the platform and tells apart requests that were never
// sent from those whose answer was lost.
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

// TransportError says that a request got no whole answer. Sent is false if no byte of
// it was sent.
type TransportError struct {
	Sent bool
	Err  error
}

// Error implements error.
func (e *TransportError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// StatusError is an answer with a status other than 2xx.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Message)
}

// Do sends body, if it is not nil, as JSON and decodes the answer into answer, if
// that is not nil. It returns a *LostError or a *StatusError.
func (c *Client) Do(ctx context.Context, method, path string, body, answer any) error {
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
			return &TransportError{Err: fmt.Errorf("encode request: %w", err)}
		}
		payload = encoded
	}
	request, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(payload))
	if err != nil {
		return &TransportError{Err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &TransportError{Sent: connected && !isDialError(err), Err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return &TransportError{Sent: true, Err: fmt.Errorf("read answer: %w", err)}
	}
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return &StatusError{Status: response.StatusCode, Message: problemText(content)}
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return &TransportError{Sent: true, Err: fmt.Errorf("decode answer: %w", err)}
	}
	return nil
}

// isDialError reports whether no connection could be opened. net/http opens a new
// one for a request only if no byte of it was sent before.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// problemText returns the error text of a JSON answer, or its start if it has none.
func problemText(content []byte) string {
	var problem struct {
		Error string `json:"error"`
	}
	if err := json.Unmarshal(content, &problem); err == nil && problem.Error != "" {
		return problem.Error
	}
	const shown = 200
	return string(content[:min(len(content), shown)])
}

func (c *Client) close() {
	c.http.CloseIdleConnections()
}
