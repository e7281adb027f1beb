package htservice

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
)

// Service adapts a function to suture.Service. Run returns when ctx ends.
type Service struct {
	Name string
	Run  func(context.Context) error
}

// Serve implements suture.Service.
func (s Service) Serve(ctx context.Context) error { return s.Run(ctx) }

// String returns the name of the service for log lines.
func (s Service) String() string { return s.Name }

// HTTP serves a listener until ctx ends. It returns suture.ErrDoNotRestart if the server was
// shut down or closed, and otherwise the error of the server.
func HTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return err
}

// LogEvent logs an event of a supervisor. It is meant for suture.Spec.EventHook.
func LogEvent(event suture.Event) {
	fields := logrus.Fields(event.Map())
	fields["event"] = "supervision"
	logrus.WithFields(fields).Warn(event.String())
}
