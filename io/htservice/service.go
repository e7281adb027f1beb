package htservice

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
)

// Service is a function under supervision.
type Service struct {
	Name string
	Run  func(context.Context) error
}

// Serve implements suture.Service.
func (s Service) Serve(ctx context.Context) error { return s.Run(ctx) }

// String names the service in logs.
func (s Service) String() string { return s.Name }

// HTTP serves a listener until ctx ends. A server that was shut down is not started
// again.
func HTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return err
}

// LogEvent writes a line for an event of a supervisor.
func LogEvent(event suture.Event) {
	fields := logrus.Fields(event.Map())
	fields["event"] = "supervision"
	logrus.WithFields(fields).Warn(event.String())
}
