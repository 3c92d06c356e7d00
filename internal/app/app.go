// Package app provides what all daemons share: structured logging, HTTP servers
// and graceful shutdown.
package app

import (
	"context"
	"expvar"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"heathercroft.example/heathercroft/internal/build"
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
	name   string
	conns  *conns.Tracker
	onStop []func()
}

// RegisterOnShutdown registers a function that is called when the server stops. It replaces
// that of http.Server, which would call it after the requests in flight have ended.
func (s *Server) RegisterOnShutdown(f func()) { s.onStop = append(s.onStop, f) }

// Stop implements transport.Server. It returns when the requests that were read are answered
// and the responses received, or with the error of ctx.
func (s *Server) Stop(ctx context.Context) error {
	for _, f := range s.onStop {
		go f()
	}
	return s.conns.Stop(ctx, s.Server.Stop)
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
	// GracePeriod is the time limit from the stop signal to the end of the process, 0 for none.
	// The part of it that BeforeStop leaves is for responses that were not received yet.
	GracePeriod time.Duration
	// StopTimeout is the time limit for the graceful shutdown of the servers.
	StopTimeout time.Duration
	// BeforeStop runs after the stop signal and before the servers shut down, for
	// example to drain. It has no time limit and must return on its own.
	BeforeStop func(context.Context) error
}

const (
	// exitMargin is the part of the grace period for the exit of the process.
	exitMargin = 100 * time.Millisecond
	// minCloseTime is the time for the shutdown of the servers if nothing of the grace period is
	// left.
	minCloseTime = 100 * time.Millisecond
)

// boundedServer is a server whose stop ends with the grace period of the daemon.
type boundedServer struct {
	transport.Server
	// end is the end of the grace period, nil if there is none.
	end *atomic.Pointer[time.Time]
}

// Stop implements transport.Server.
func (s boundedServer) Stop(ctx context.Context) error {
	if end := s.end.Load(); end != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, max(time.Until(*end)-exitMargin, minCloseTime))
		defer cancel()
	}
	return s.Server.Stop(ctx)
}

// Run runs a daemon until SIGTERM, SIGINT or the end of ctx, then shuts it down
// gracefully.
func Run(ctx context.Context, o Options) error {
	klog.SetLogger(slogAdapter{o.Logger})
	publishBuild()
	var end atomic.Pointer[time.Time]
	servers := make([]transport.Server, 0, len(o.Servers))
	for _, s := range o.Servers {
		servers = append(servers, boundedServer{s, &end})
	}
	opts := []kratos.Option{
		kratos.Context(ctx),
		kratos.Name(o.Name),
		kratos.Server(servers...),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(o.StopTimeout),
		kratos.BeforeStop(func(ctx context.Context) error {
			if o.GracePeriod > 0 {
				at := time.Now().Add(o.GracePeriod)
				end.Store(&at)
			}
			if o.BeforeStop == nil {
				return nil
			}
			return o.BeforeStop(ctx)
		}),
	}
	err := kratos.New(opts...).Run()
	logConnections(o)
	if errors.Is(err, context.DeadlineExceeded) {
		o.Logger.Warn("shutdown timeout reached; closed the remaining connections", "limit_ms", o.StopTimeout.Milliseconds())
		return nil
	}
	return errors.Wrapf(err, "run %s", o.Name)
}

// publishBuild adds the build of the program to the metrics.
var publishBuild = sync.OnceFunc(func() {
	expvar.Publish("build", expvar.Func(func() any { return build.Current() }))
})

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
