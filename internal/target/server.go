// Package target is a stand-in for a service process of the mesh. It announces
// itself to its node, sheds load over its slots, counts what it executes and can
// be switched into faults.
package target

import (
	"context"
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/httpjson"
)

// Server is a target as an HTTP handler.
type Server struct {
	settings *Settings
	address  netip.AddrPort
	logger   *slog.Logger
	client   *http.Client
	gate     *gate
	ledger   *ledger
	switches *switchboard
	mux      *http.ServeMux
	started  time.Time
	served   atomic.Int64
	open     atomic.Int64
	history  *history
	// crash ends the process; tests replace it.
	crash      func(code int)
	announcing sync.Mutex
	// stopping is closed by Close and ends the silent requests.
	stopping  chan struct{}
	closeOnce sync.Once
}

// New returns a target that is reached at an address.
func New(s *Settings, address netip.AddrPort, logger *slog.Logger) *Server {
	server := &Server{
		settings: s,
		address:  address,
		logger:   logger,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Slots}},
		gate:     newGate(s.Slots),
		ledger:   newLedger(),
		switches: newSwitchboard(s.Report),
		mux:      http.NewServeMux(),
		started:  time.Now(),
		history:  new(history),
		crash:    os.Exit,
		stopping: make(chan struct{}),
	}
	server.mux.HandleFunc("GET /healthz", server.serveHealth)
	server.mux.HandleFunc("GET /load", server.serveLoad)
	server.mux.HandleFunc("GET /control", server.serveStatus)
	server.mux.HandleFunc("POST /control", server.serveControl)
	server.mux.HandleFunc("GET /control/executions", server.serveExecutions)
	server.mux.Handle("GET /debug/vars", expvar.Handler())
	return server
}

// ServeHTTP implements http.Handler. Calls do not pass the mux, which would redirect
// paths that are not clean.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz", "/load", "/control", "/control/executions", "/debug/vars":
		s.mux.ServeHTTP(w, r)
	default:
		s.serveCall(w, r)
	}
}

// Drain refuses new work, tells the node, and waits for the work in flight up to
// the drain limit. The node is told first, so that it sends nothing to a listener
// that is about to close.
func (s *Server) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.settings.DrainLimit.Std())
	defer cancel()
	s.gate.leave()
	s.logger.Info("draining", "event", "target_draining", "in_flight", s.gate.load())
	if err := s.announceOnce(ctx); err != nil {
		s.logger.Warn("node was not told", "event", "announce_failed", "error", err.Error())
	}
	err := s.gate.wait(ctx)
	s.logger.Info("drained", "event", "target_drained", "in_flight", s.gate.load())
	return errors.Wrap(err, "drain")
}

// Close ends the requests that a fault made silent.
func (s *Server) Close() { s.closeOnce.Do(func() { close(s.stopping) }) }

// session identifies this run of the target.
func (s *Server) session() string { return strconv.FormatInt(s.started.UnixNano(), 36) }

func (s *Server) serveExecutions(w http.ResponseWriter, r *http.Request) {
	least := 1
	if text := r.URL.Query().Get("min"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			httpjson.Fail(w, http.StatusBadRequest, "min is no count")
			return
		}
		least = n
	}
	found := s.ledger.list(r.URL.Query().Get("prefix"), least)
	found.Target, found.Session = s.settings.Name, s.session()
	httpjson.Write(w, http.StatusOK, found)
}

// connection is what the target knows about one connection.
type connection struct {
	// excess marks a connection over the limit; its requests are refused.
	excess bool
	// paid is set once the connection cost was spent.
	paid atomic.Bool
	// silent is set by a fault; no request on the connection is answered any more.
	silent atomic.Bool
}

type connectionKey struct{}

// ConnContext is for http.Server.ConnContext.
func (s *Server) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	conn := &connection{excess: s.open.Add(1) > int64(s.settings.Connections)}
	return context.WithValue(ctx, connectionKey{}, conn)
}

// ConnState is for http.Server.ConnState; it counts the end of connections.
func (s *Server) ConnState(_ net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		s.open.Add(-1)
	}
}

func connectionOf(r *http.Request) *connection {
	if conn, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		return conn
	}
	return new(connection)
}
