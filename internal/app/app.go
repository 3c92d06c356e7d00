// Package app provides what all daemons share: structured logging, HTTP servers
// and graceful shutdown.
package app

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"heathercroft.example/heathercroft/internal/conns"
)

// readHeaderTimeout is the time limit for reading the header of a request.
const readHeaderTimeout = 10 * time.Second

// maxHeaderBytes limits the request header; larger headers get status 431.
const maxHeaderBytes = 32 << 10

// NewLogger returns a logger that writes JSON lines with the name of the process.
func NewLogger(w io.Writer, process string, level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})).With("process", process)
}

// Server is a kratos HTTP server whose connections are tracked.
type Server struct {
	*khttp.Server
	name  string
	conns *conns.Tracker
}

// HTTPServer returns a server for HTTP/1.1 and cleartext HTTP/2; the log has its name. All
// requests bypass the kratos router, which would clean the path: a proxied path
// must stay as the caller sent it. The server has no timeout for a whole request,
// since uploads may take arbitrarily long. wrap wraps the listener of tracked connections.
func HTTPServer(name string, listener net.Listener, handler http.Handler, wrap ...func(net.Listener) net.Listener) *Server {
	tracker := conns.New()
	listener = tracker.Listen(listener)
	for _, w := range wrap {
		listener = w(listener)
	}
	srv := khttp.NewServer(
		khttp.Listener(listener),
		// Without an endpoint, kratos lists the network interfaces to find the
		// address, which some machines don't permit.
		khttp.Endpoint(&url.URL{Scheme: "http", Host: listener.Addr().String()}),
		khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler { return handler }),
	)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	srv.Protocols = protocols
	srv.ReadHeaderTimeout = readHeaderTimeout
	srv.MaxHeaderBytes = maxHeaderBytes
	srv.ConnState = tracker.SetState
	return &Server{Server: srv, name: name, conns: tracker}
}

// Options configures a daemon.
type Options struct {
	Name    string
	Logger  *slog.Logger
	Servers []transport.Server
	// StopTimeout is the time limit for the graceful shutdown of the servers.
	StopTimeout time.Duration
	// BeforeStop runs after the stop signal and before the servers shut down, for
	// example to drain. It has no time limit and must return on its own.
	BeforeStop func(context.Context) error
}

// Run runs a daemon until SIGTERM, SIGINT or the end of ctx, then shuts it down
// gracefully.
func Run(ctx context.Context, o Options) error {
	klog.SetLogger(slogAdapter{o.Logger})
	opts := []kratos.Option{
		kratos.Context(ctx),
		kratos.Name(o.Name),
		kratos.Server(o.Servers...),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(o.StopTimeout),
	}
	if o.BeforeStop != nil {
		opts = append(opts, kratos.BeforeStop(o.BeforeStop))
	}
	err := kratos.New(opts...).Run()
	logConnections(o)
	if errors.Is(err, context.DeadlineExceeded) {
		// Idle connections may stay open for longer than StopTimeout.
		o.Logger.Warn("shutdown timeout reached; closed the remaining connections", "limit_ms", o.StopTimeout.Milliseconds())
		return nil
	}
	return errors.Wrapf(err, "run %s", o.Name)
}

// Connections returns what the connections of the servers carry, by the name of the server.
// Servers without connections are left out.
func Connections(servers []transport.Server) map[string]conns.Summary {
	open := map[string]conns.Summary{}
	for _, s := range servers {
		if server, ok := s.(*Server); ok {
			if summary := server.conns.Summary(); summary != (conns.Summary{}) {
				open[server.name] = summary
			}
		}
	}
	return open
}

// logConnections logs what the connections carry that end with the process.
func logConnections(o Options) {
	level, fields := slog.LevelInfo, []any{}
	for name, summary := range Connections(o.Servers) {
		if summary.Carries() {
			level = slog.LevelWarn
		}
		fields = append(fields, slog.Any(name, summary))
	}
	o.Logger.Log(context.Background(), level, "connections_at_exit", fields...)
}

// Exit codes of the daemons.
const (
	ExitFailure     = 1
	ExitBadSettings = 2
)

// Fail writes err to standard error and exits with the code.
func Fail(code int, err error) {
	_, _ = os.Stderr.WriteString(err.Error() + "\n")
	os.Exit(code)
}

// slogAdapter forwards log messages of kratos to slog.
type slogAdapter struct{ logger *slog.Logger }

// Log implements klog.Logger.
func (a slogAdapter) Log(level klog.Level, keyvals ...any) error {
	message := ""
	attrs := make([]any, 0, len(keyvals))
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == klog.DefaultMessageKey {
			message, _ = keyvals[i+1].(string)
			continue
		}
		attrs = append(attrs, keyvals[i], keyvals[i+1])
	}
	a.logger.Log(context.Background(), slogLevel(level), message, attrs...)
	return nil
}

func slogLevel(level klog.Level) slog.Level {
	switch level {
	case klog.LevelDebug:
		return slog.LevelDebug
	case klog.LevelWarn:
		return slog.LevelWarn
	case klog.LevelError, klog.LevelFatal:
		return slog.LevelError
	default:
		return slog.LevelInfo
	}
}
