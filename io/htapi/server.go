package htapi

import (
	"context"
	"errors"
	"expvar"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htconfig"
	"hawthornturn/core/htmemory"
	"hawthornturn/core/htresource"
	"hawthornturn/core/httime"
	"hawthornturn/io/htsettings"
)

// Bounds of the operators' API.
const (
	MaxWatchers  = 64                     // concurrent watches of one host; further ones are refused with status 503
	readTimeout  = 10 * time.Second       // bounds reading the body of a request
	tableTimeout = 2 * time.Second        // bounds a read of the table, after which the applied state is returned
	writeTimeout = 5 * time.Second        // bounds writing one line to a watcher
	watchPeriod  = 500 * time.Millisecond // interval at which a watch checks for a changed status
)

// Response header fields.
const (
	// HeaderSource names the source of a resource: table or applied. The state that the
	// host has applied is returned while the table service is down; it has no versions.
	HeaderSource = "Hawthornturn-Source"
	sourceTable  = "table"
	sourceLocal  = "applied"
)

// Config holds the dependencies and limits of the API.
type Config struct {
	Operators []htsettings.Operator
	MaxBody   int64
	Memory    *htmemory.Budget // for the bodies of requests; nil: not bounded
	Store     *htconfig.Store
	Follower  *htconfig.Follower
	Writer    *htconfig.Writer
	Timer     *httime.Service
	Dump      func(context.Context) any // state dump of the host
	Ready     func() error              // nil if the host accepts calls
}

// API is the operators' API of one host.
type API struct {
	Config
	keys     keyring
	watchers atomic.Int64
	decoding sync.Mutex
}

// New returns the handler of the API.
func New(config Config) http.Handler {
	a := &API{Config: config, keys: newKeyring(config.Operators)}
	mux := http.NewServeMux()
	mount[htresource.FailureDomain](a, mux, htresource.KindFailureDomain)
	mount[htresource.Pool](a, mux, htresource.KindPool)
	mount[htresource.Rule](a, mux, htresource.KindRule)
	mount[htresource.Service](a, mux, htresource.KindService)
	a.handle(mux, "POST /v1/apply", htsettings.RoleWriter, a.apply)
	a.handle(mux, "GET /v1/status", htsettings.RoleReader, a.status)
	a.handle(mux, "GET /v1/dump", htsettings.RoleReader, a.dump)
	mux.Handle("GET /v1/watch", a.keys.require(htsettings.RoleReader, http.HandlerFunc(a.watch)))
	mux.Handle("GET /debug/vars", a.keys.require(htsettings.RoleReader, expvar.Handler()))
	mux.HandleFunc("GET /ready", a.ready)
	return mux
}

// NewServer returns an HTTP server for the API. It has no write timeout, because
// watches are long-lived; they set a deadline for each write instead.
func NewServer(handler http.Handler, headerBytes int) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    headerBytes,
	}
}

// apiResponse is the result of a handler that handle encodes as the response.
type apiResponse struct {
	body    any
	version uint64 // sent as ETag unless 0
	source  string // sent as HeaderSource unless empty
}

// handle registers a handler that requires a role and returns its response or an error.
func (a *API) handle(mux *http.ServeMux, pattern string, role htsettings.Role, serve func(*http.Request) (apiResponse, error)) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readTimeout))
		r.Body = http.MaxBytesReader(w, r.Body, a.MaxBody)
		result, err := serve(r)
		if err != nil {
			writeProblem(w, r, problemFromError(err))
			return
		}
		if result.version != 0 {
			w.Header().Set("ETag", formatETag(result.version))
		}
		if result.source != "" {
			w.Header().Set(HeaderSource, result.source)
		}
		write(w, r, http.StatusOK, result.body)
	})
	mux.Handle(pattern, a.keys.require(role, handler))
}

func (a *API) ready(w http.ResponseWriter, r *http.Request) {
	if err := a.Ready(); err != nil {
		writeProblem(w, r, &Problem{Status: http.StatusServiceUnavailable, Message: err.Error()})
		return
	}
	write(w, r, http.StatusOK, "ready")
}

func (a *API) dump(r *http.Request) (apiResponse, error) {
	return apiResponse{body: a.Dump(r.Context())}, nil
}

// decode reads and decodes the body of a request. An undecodable body gives a Problem
// with status 422.
func decode[T any](a *API, r *http.Request) (T, error) {
	var value T
	c, ok := codecFor(r.Header.Get("Content-Type"))
	if !ok {
		return value, &Problem{Status: http.StatusUnsupportedMediaType, Message: "the body must be application/json or application/cbor"}
	}
	memory := a.Memory.NewLease()
	defer memory.Release()
	body, err := memory.ReadAll(r.Body, r.ContentLength, a.MaxBody)
	if err != nil {
		return value, err
	}
	a.decoding.Lock() // what a body is decoded to may be several times as large
	defer a.decoding.Unlock()
	if err := c.decode(slices.Concat(body...), &value); err != nil {
		problem := problemFromError(err)
		if problem.Status == http.StatusInternalServerError {
			problem = &Problem{Status: http.StatusUnprocessableEntity, Message: "invalid input: " + err.Error()}
		}
		return value, problem
	}
	return value, nil
}

func write(w http.ResponseWriter, r *http.Request, status int, body any) {
	c := acceptedCodec(r.Header.Get("Accept"))
	w.Header().Set("Content-Type", c.mediaType)
	w.WriteHeader(status)
	if err := c.encode(w, body); err != nil && !errors.Is(err, context.Canceled) {
		logrus.WithFields(logrus.Fields{"event": "api-answer-failed", "path": r.URL.Path, "error": err}).Warn("response not written")
	}
}

func writeProblem(w http.ResponseWriter, r *http.Request, p *Problem) {
	write(w, r, p.Status, p)
}
