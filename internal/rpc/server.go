package rpc

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	stdlog "log"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// serverIdleTimeout is longer than the client's, so that the client closes first
	// and no call uses a connection that the server has just closed.
	serverIdleTimeout = 90 * time.Second
	// maxConnections limits the memory that peers can make a node allocate. A member of
	// a zone with 167 nodes probes one peer per second and keeps idle connections for 30 s.
	maxConnections = 512
	// acceptRetryMin and acceptRetryMax limit the pause after a failed accept.
	acceptRetryMin = 5 * time.Millisecond
	acceptRetryMax = time.Second
	// maxRunningCalls limits the calls of one connection that run or whose response is being
	// written. While there are as many, no further one is read.
	maxRunningCalls = 16
)

// Handler handles the calls of peers. The peer receives the text of a returned error.
type Handler interface {
	HandleRPC(ctx context.Context, method string, params json.RawMessage) (any, error)
}

// ErrUnknownMethod is returned by a Handler for a method that it does not implement.
var ErrUnknownMethod = errors.New("unknown method")

// ErrBadParams is returned by a Handler for parameters that it cannot decode.
var ErrBadParams = errors.New("malformed parameters")

// Server accepts connections from peers. It implements transport.Server of Kratos.
type Server struct {
	listener net.Listener
	handler  Handler
	counters *Counters

	mu     sync.Mutex
	conns  map[*jsonrpc2.Conn]struct{}
	closed bool
}

// NewServer returns a server that accepts connections from listener.
func NewServer(listener net.Listener, handler Handler, counters *Counters) *Server {
	return &Server{listener: listener, handler: handler, counters: counters, conns: map[*jsonrpc2.Conn]struct{}{}}
}

// Start accepts connections until Stop is called. An error of one connection, or a lack of
// file descriptors, must not end the process, whose other connections work.
func (s *Server) Start(ctx context.Context) error {
	pause := acceptRetryMin
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.counters.Refused.Add(1)
			time.Sleep(pause)
			pause = min(2*pause, acceptRetryMax)
			continue
		}
		pause = acceptRetryMin
		s.serve(ctx, conn)
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConnections {
		s.counters.Refused.Add(1)
		_ = conn.Close()
		return
	}
	metered := &meteredConn{Conn: conn, counters: s.counters, idleTimeout: serverIdleTimeout}
	peer := newConn(ctx, metered, s.counters, limitHandler(jsonrpc2.HandlerWithError(s.handle)))
	s.conns[peer] = struct{}{}
	go func() {
		<-peer.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, peer)
		s.mu.Unlock()
	}()
}

// limitedHandler runs calls concurrently, up to maxRunningCalls.
type limitedHandler struct {
	next jsonrpc2.Handler
	free chan struct{}
}

func limitHandler(next jsonrpc2.Handler) jsonrpc2.Handler {
	return limitedHandler{next: next, free: make(chan struct{}, maxRunningCalls)}
}

// Handle implements jsonrpc2.Handler. The connection reads the next message when it returns.
func (h limitedHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	h.free <- struct{}{}
	go func() {
		defer func() { <-h.free }()
		h.next.Handle(ctx, conn, req)
	}()
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := s.call(ctx, req.Method, params)
	if err == nil {
		return result, nil
	}
	return nil, &jsonrpc2.Error{Code: errorCode(err), Message: err.Error()}
}

// call returns a panic of the handler as an error, so that a message of one peer does not
// end the process.
func (s *Server) call(ctx context.Context, method string, params json.RawMessage) (result any, err error) {
	defer func() {
		if p := recover(); p != nil {
			s.counters.Panics.Add(1)
			slog.Error("handler_panicked", "method", method, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			result, err = nil, errHandlerPanicked
		}
	}()
	return s.handler.HandleRPC(ctx, method, params)
}

var errHandlerPanicked = errors.New("internal error")

func errorCode(err error) int64 {
	switch {
	case errors.Is(err, ErrUnknownMethod):
		return jsonrpc2.CodeMethodNotFound
	case errors.Is(err, ErrBadParams):
		return jsonrpc2.CodeInvalidParams
	default:
		return jsonrpc2.CodeInternalError
	}
}

// Stop closes the listener and all connections.
func (s *Server) Stop(context.Context) error {
	err := s.listener.Close()
	s.mu.Lock()
	s.closed = true
	conns := make([]*jsonrpc2.Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
	return errors.Wrap(err, "close peer listener")
}

func newConn(ctx context.Context, conn net.Conn, counters *Counters, h jsonrpc2.Handler) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(conn, limitedCodec{counters: counters})
	// The library's log lines are not JSON, so they are discarded. The codec counts
	// malformed messages.
	return jsonrpc2.NewConn(ctx, stream, h, jsonrpc2.SetLogger(stdlog.New(io.Discard, "", 0)))
}
