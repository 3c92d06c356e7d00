package pipeline

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"
)

// Options configures a Handler.
type Options struct {
	// Concurrent reports whether a request without a body may run while earlier requests of
	// its connection have no response. It must be false for requests that must not run twice.
	Concurrent func(*http.Request) bool
	// MaxRequests is the maximum number of requests of a connection that have no response.
	// Further ones are not read.
	MaxRequests int
	// MaxHeaderBytes limits the head of a request, HeaderTimeout the time to receive it, and
	// IdleTimeout the time without requests.
	MaxHeaderBytes             int
	HeaderTimeout, IdleTimeout time.Duration
	// ConnState, if not nil, is called when a connection that was taken over becomes active
	// or idle, as the hook of http.Server is for the others.
	ConnState func(net.Conn, http.ConnState)
	Logger    *slog.Logger
}

// Handler serves pipelined requests. The server needs the listener that Listen returns and
// ConnContext.
type Handler struct {
	next http.Handler
	Options
}

// NewHandler returns a handler that passes each request to next.
func NewHandler(next http.Handler, o Options) *Handler { return &Handler{next: next, Options: o} }

type connKey struct{}

// ConnContext must be set in the http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || r.ProtoMajor != 1 || r.ProtoMinor < 1 || r.Close || r.ContentLength != 0 {
		h.next.ServeHTTP(w, r)
		return
	}
	arrivals := c.arrivals()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	first := newExchange(r.WithContext(ctx), cancel)
	first.direct = w
	go first.run(h.next)
	select {
	case <-first.done:
	case <-arrivals:
		if first.detach() {
			h.takeOver(r.Context(), w, first)
			return
		}
		<-first.done
	}
	if first.panicked != nil {
		panic(first.panicked)
	}
}

// takeOver serves the connection until it ends.
func (h *Handler) takeOver(ctx context.Context, w http.ResponseWriter, first *exchange) {
	raw, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		// The server always supports it for HTTP/1.1 requests.
		panic("take over a connection: " + err.Error())
	}
	newSession(h, raw, buffered.Reader).serve(ctx, first)
}
