package target

import (
	"context"
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kratos/kratos/v2/transport"
	"golang.org/x/sync/errgroup"

	"heathercroft.example/heathercroft/internal/app"
	"heathercroft.example/heathercroft/internal/build"
)

// stopTimeout bounds the stop after the drain.
const stopTimeout = 5 * time.Second

// Run serves a target until a stop signal and drains it then.
func Run(ctx context.Context, s *Settings, logger *slog.Logger) error {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := New(s, address, logger)
	expvar.Publish("target", expvar.Func(func() any { return server.Status() }))
	httpServer := app.HTTPServer("calls", listener, server)
	httpServer.ConnContext = server.ConnContext
	track := httpServer.ConnState
	httpServer.ConnState = func(c net.Conn, state http.ConnState) {
		track(c, state)
		server.ConnState(c, state)
	}
	httpServer.RegisterOnShutdown(server.Close)
	logger.Info("target started", "address", address.String(), "zone", string(s.Zone), "service", s.Service, "version", s.Version, "build", build.Current())

	background, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { server.Announce(background); return nil })
	group.Go(func() error { server.Sample(background); return nil })
	err = app.Run(ctx, app.Options{
		Name:        "heathercroft-target",
		Logger:      logger,
		Servers:     []transport.Server{httpServer},
		StopTimeout: stopTimeout,
		BeforeStop:  server.Drain,
	})
	cancel()
	return errors.CombineErrors(err, group.Wait())
}
