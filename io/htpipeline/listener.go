package htpipeline

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Starter starts requests before their turn. It is safe for concurrent use.
type Starter interface {
	// Start starts a request whose header was received at a time, unless that is not allowed
	// now. A number of requests of its connection were started and have not had their turn.
	Start(r *http.Request, received time.Time, started int) (Started, bool)
}

// Started is a request that was started before its turn.
type Started interface {
	// Discard ends the request: it will have no turn.
	Discard()
}

// Listener accepts connections of callers and reads ahead on them. Its ConnContext must be that
// of the server.
type Listener struct {
	net.Listener
	starter Starter
	now     func() time.Time
	started atomic.Int64 // requests that were started and have not had their turn
}

// NewListener returns a Listener.
func NewListener(listener net.Listener, starter Starter, now func() time.Time) *Listener {
	return &Listener{Listener: listener, starter: starter, now: now}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(conn, l), nil
}

// Started returns the number of requests that were started and have not had their turn. During a
// call of Start it includes that request.
func (l *Listener) Started() int { return int(l.started.Load()) }

type contextKey struct{}

// ConnContext is the ConnContext of an http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, conn)
}

// Turn is the turn of a request on its connection.
type Turn struct {
	// Received is when the header of the request was received, or zero if it was not read
	// ahead.
	Received time.Time
	Started  Started // nil if the request was not started before its turn
	conn     *Conn
}

// TurnOf returns the turn of a request to its handler, which calls it once.
func TurnOf(r *http.Request) Turn {
	conn, ok := r.Context().Value(contextKey{}).(*Conn)
	if !ok {
		return Turn{}
	}
	return conn.takeTurn(r)
}

// Last reports whether no request behind this one was started. From then on none will be, so
// that the connection may be closed after the answer.
func (t Turn) Last() bool { return t.conn == nil || t.conn.last() }
