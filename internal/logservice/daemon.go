package logservice

import (
	"context"
	"expvar"
	"log/slog"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kratos/kratos/v2/transport"

	"heathercroft.example/heathercroft/internal/app"
	"heathercroft.example/heathercroft/internal/build"
)

// stopTimeout bounds the stop; calls in flight are answered at once by Close.
const stopTimeout = 5 * time.Second

// Run serves the log until a stop signal.
func Run(ctx context.Context, s *Settings, logger *slog.Logger) error {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := New(s, logger)
	expvar.Publish("platform", expvar.Func(func() any { return server.Status().Counters }))
	httpServer := app.HTTPServer("log", listener, server)
	httpServer.RegisterOnShutdown(server.Close)
	logger.Info("log service started", "address", listener.Addr().String(), "build", build.Current())
	return app.Run(ctx, app.Options{
		Name:        "heathercroft-platform",
		Logger:      logger,
		Servers:     []transport.Server{httpServer},
		StopTimeout: stopTimeout,
	})
}
