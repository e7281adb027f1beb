package htfront

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htmemory"
	"hawthornturn/core/htpath"
	"hawthornturn/core/htresource"
	"hawthornturn/io/htclient"
)

const (
	// ReadyPath is the health check that tells the platform's balancer whether to send
	// new connections.
	ReadyPath = "/ready"
	// headerTimeout bounds reading the request header.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxCallerBytes = 128
	maxKeyBytes    = 64
)

// CallHandler runs the calls that the front end accepts.
type CallHandler interface {
	// HandleCall runs a call and returns its answer.
	HandleCall(ctx context.Context, call *htpath.Call) *htpath.Answer
}

// Config configures the front end.
type Config struct {
	Host        string // name of this host, sent in every response to a call
	HeaderBytes int
	BodyBytes   int64
}

// Front serves callers.
type Front struct {
	config   Config
	declared htpath.DeclaredState
	handler  CallHandler
	ready    func() (bool, string)
	memory   *htmemory.Budget
	metrics  *Metrics
}

// New returns a front end. Ready reports whether the host accepts calls, and the reason
// if it does not. Memory is for what calls hold of their bodies and answers.
func New(config Config, declared htpath.DeclaredState, handler CallHandler, ready func() (bool, string), memory *htmemory.Budget, metrics *Metrics) *Front {
	return &Front{config: config, declared: declared, handler: handler, ready: ready, memory: memory, metrics: metrics}
}

// Server returns an HTTP server with the limits of the front end.
func (f *Front) Server() *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    f.config.HeaderBytes,
		Protocols:         &protocols,
		HTTP2:             htclient.HTTP2Config(),
	}
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ReadyPath {
		f.serveReady(w)
		return
	}
	start := time.Now()
	memory := f.memory.NewLease()
	defer memory.Release()
	request, admitted := htclient.Admit(r)
	defer request.Release()
	answer := htpath.Refusal(htcall.ReasonNoMemory)
	if admitted && memory.Reserve(htpath.CallBytes) {
		answer = f.handleRequest(w, r, request, start, memory)
	}
	if answer.Outcome == htcall.NotRun {
		htclient.BoundDrain(w, r)
	}
	request.SendAnswer(memory)
	header := w.Header()
	if request.IsLast() {
		header.Set("Connection", "close")
	}
	header.Set(htcall.HeaderHost, f.config.Host)
	if answer.Status == http.StatusServiceUnavailable && answer.Outcome == htcall.NotRun {
		header.Set("Retry-After", "1")
	}
	f.metrics.Count(answer, time.Since(start))
	// WriteAnswer panics with http.ErrAbortHandler if it cannot write the whole body.
	htpath.WriteAnswer(w, answer, memory)
	f.metrics.CountComplete()
}

func (f *Front) serveReady(w http.ResponseWriter) {
	ok, reason := f.ready()
	if !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// handleRequest validates the request, converts it to a call and runs the call.
func (f *Front) handleRequest(w http.ResponseWriter, r *http.Request, request *htclient.Request, start time.Time, memory *htmemory.Lease) *htpath.Answer {
	set := f.declared.Current()
	if set == nil {
		return htpath.Refusal(htcall.ReasonNotReady)
	}
	service, ok := set.ServiceByHost(hostName(r.Host))
	if !ok {
		return htpath.Refusal(htcall.ReasonUnknownService)
	}
	meta, err := f.callMeta(r, set, service)
	if err != nil {
		return refusalWithText(htcall.ReasonBadRequest, http.StatusBadRequest, err.Error())
	}
	if meta.Key != "" {
		if _, ok := htcall.KeyTime(meta.Key); !ok {
			return refusalWithText(htcall.ReasonKeyInvalid, http.StatusBadRequest, "Idempotency-Key must be a UUID of version 7")
		}
	}
	call := &htpath.Call{Meta: meta, Deadline: start.Add(meta.Remaining), Header: r.Header.Clone(), Trailer: r.Trailer}
	htpath.StripHopByHop(call.Header)
	htpath.StripReserved(call.Header)
	call.Header.Set("Host", r.Host)
	addForwardedFor(call.Header, r)
	if r.Body != http.NoBody {
		request.AwaitBody(memory)
	}
	call.Body, err = f.readBody(w, r, request, call.Deadline, memory)
	if err != nil {
		return bodyRefusal(err)
	}
	if call.Body.Buffered() {
		request.Run()
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.Deadline)
	answer := f.handler.HandleCall(ctx, call)
	if answer.Body == nil {
		cancel()
		return answer
	}
	context.AfterFunc(r.Context(), cancel)
	return answer
}

// readBody reads the body, or the start of a long one, before the call is sent, so that a caller
// that stops in the middle of a body does not occupy an upstream.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, request *htclient.Request, deadline time.Time, memory *htmemory.Lease) (*htpath.Body, error) {
	if r.ContentLength > f.config.BodyBytes {
		return nil, &http.MaxBytesError{Limit: f.config.BodyBytes}
	}
	body := &callerBody{Reader: http.MaxBytesReader(w, r.Body, f.config.BodyBytes), request: request}
	// An upstream may respond while the caller is still sending.
	_ = http.NewResponseController(w).EnableFullDuplex()
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
	read, err := htpath.NewBody(body, r.ContentLength, memory)
	if err == nil && read.Buffered() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	return read, err
}

// callerBody is a body that is sent on while it arrives. Until its end its connection may give way
// to others, as it would while a body is read that is sent on whole.
type callerBody struct {
	io.Reader
	request *htclient.Request
	once    sync.Once
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.once.Do(b.request.Run)
	}
	return n, err
}

func bodyRefusal(err error) *htpath.Answer {
	if errors.Is(err, htmemory.ErrNoMemory) {
		return htpath.Refusal(htcall.ReasonNoMemory)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusalWithText(htcall.ReasonBadRequest, http.StatusRequestEntityTooLarge, err.Error())
	}
	return refusalWithText(htcall.ReasonBadRequest, http.StatusBadRequest, "request body ended early")
}

// refusalWithText returns the answer to a request that is refused, with a status and a
// body of plain text.
func refusalWithText(reason htcall.Reason, status int, text string) *htpath.Answer {
	answer := htpath.Refusal(reason)
	answer.Status = status
	answer.Header = http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	answer.Body = &textBody{Reader: strings.NewReader(text + "\n")}
	return answer
}

type textBody struct{ *strings.Reader }

// Close implements io.Closer.
func (*textBody) Close() error { return nil }

// callMeta returns the metadata of the call. It is idempotent only if a rule says so; then
// its idempotency key is ignored.
func (f *Front) callMeta(r *http.Request, set *htresource.Set, service htresource.Service) (htcall.Meta, error) {
	var requested time.Duration
	if text := r.Header.Get(htcall.HeaderTimeoutMS); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return htcall.Meta{}, errors.New(htcall.HeaderTimeoutMS + " must be a positive number of milliseconds")
		}
		requested = time.Duration(ms) * time.Millisecond
	}
	key := r.Header.Get(htcall.HeaderIdempotencyKey)
	caller := callerName(r)
	if len(key) > maxKeyBytes || len(caller) > maxCallerBytes {
		return htcall.Meta{}, errors.New("caller name or idempotency key is too long")
	}
	meta := htcall.Meta{
		ID:         uuid.NewString(),
		Service:    service.Name,
		Caller:     caller,
		Method:     r.Method,
		URI:        r.URL.RequestURI(),
		Idempotent: set.Idempotent(service.Name, r.Method, r.URL.Path),
		Remaining:  service.Timeout(requested),
	}
	if !meta.Idempotent {
		meta.Key = key
	}
	return meta, nil
}

// callerName returns the caller's name in the request or, without one, its IP address.
func callerName(r *http.Request) string {
	if name := r.Header.Get(htcall.HeaderCaller); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// addForwardedFor appends the caller's address to X-Forwarded-For.
func addForwardedFor(header http.Header, r *http.Request) {
	address, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return
	}
	if previous := header.Values("X-Forwarded-For"); len(previous) > 0 {
		address = strings.Join(previous, ", ") + ", " + address
	}
	header.Set("X-Forwarded-For", address)
}
