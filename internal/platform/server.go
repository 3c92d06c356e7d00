// Package platform is a stand-in for the platform's append-only log service. It
// keeps its streams in memory and can be switched into outages, slow answers and
// lost answers.
package platform

import (
	"context"
	"expvar"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/httpjson"
	"heathercroft.example/heathercroft/internal/logclient"
	"heathercroft.example/heathercroft/pkg/record"
)

const (
	// maxWait bounds a long poll.
	maxWait = 60 * time.Second
	// maxPageRecords bounds a page.
	maxPageRecords = 10_000
	// maxStreams bounds the memory that unknown stream names can take.
	maxStreams = 64
)

// Server is the log service as an HTTP handler.
type Server struct {
	logger   *slog.Logger
	now      func() time.Time
	switches *switchboard
	counters counters
	mux      *http.ServeMux
	// stopping is closed by Close and ends the long polls.
	stopping  chan struct{}
	closeOnce sync.Once

	// held and polling count the calls that an outage holds and the reads that wait.
	held, polling atomic.Int64

	mu      sync.Mutex
	streams map[string]*stream
}

// New returns a log service without records.
func New(s *Settings, logger *slog.Logger) *Server {
	server := &Server{
		logger: logger,
		now:    time.Now,
		switches: newSwitchboard(Control{
			Outage:           OutageNone,
			RetentionRecords: s.RetentionRecords,
			RetentionMS:      s.RetentionTime.Std().Milliseconds(),
			AppendsPerSecond: s.AppendsPerSecond,
			AppendBurst:      s.AppendBurst,
		}),
		mux:      http.NewServeMux(),
		stopping: make(chan struct{}),
		streams:  map[string]*stream{},
	}
	server.mux.HandleFunc("POST /v1/streams/{stream}/records", server.serveAppend)
	server.mux.HandleFunc("GET /v1/streams/{stream}/records", server.serveRead)
	server.mux.HandleFunc("GET /control", server.serveStatus)
	server.mux.HandleFunc("POST /control", server.serveControl)
	server.mux.Handle("GET /debug/vars", expvar.Handler())
	return server
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close ends the long polls and the held calls.
func (s *Server) Close() { s.closeOnce.Do(func() { close(s.stopping) }) }

// stream returns a stream by name, creating it if there is room.
func (s *Server) stream(name string) (*stream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.streams[name]
	if !ok && len(s.streams) < maxStreams {
		found, ok = newStream(), true
		s.streams[name] = found
	}
	return found, ok
}

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, record.MaxSize))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		httpjson.Fail(w, http.StatusRequestEntityTooLarge, "record is over "+strconv.Itoa(record.MaxSize)+" bytes")
		return
	case err != nil:
		httpjson.Fail(w, http.StatusBadRequest, "read record: "+err.Error())
		return
	case len(data) == 0:
		httpjson.Fail(w, http.StatusBadRequest, "record is empty")
		return
	}
	if !s.admit(w, r) {
		return
	}
	target, ok := s.stream(r.PathValue("stream"))
	if !ok {
		httpjson.Fail(w, http.StatusNotFound, "too many streams")
		return
	}
	if !s.switches.limiter.Allow() {
		s.counters.limited.Add(1)
		notRun(w, http.StatusTooManyRequests, "append rate is over the limit")
		return
	}
	control, _ := s.switches.get()
	offset := target.append(data, s.now(), control.retention())
	s.counters.appends.Add(1)
	s.counters.appendedBytes.Add(int64(len(data)))
	if control.loses() {
		s.counters.lost.Add(1)
		panic(http.ErrAbortHandler)
	}
	if s.pause(r.Context(), control.delay()) {
		httpjson.Write(w, http.StatusOK, appended{Offset: offset})
	}
}

// appended is the answer to an append.
type appended struct {
	Offset record.Revision `json:"offset"`
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	query, err := parseRead(r.URL.Query())
	if err != nil {
		httpjson.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if !s.admit(w, r) {
		return
	}
	source, ok := s.stream(r.PathValue("stream"))
	if !ok {
		httpjson.Fail(w, http.StatusNotFound, "too many streams")
		return
	}
	page, held := s.poll(r.Context(), source, query)
	control, _ := s.switches.get()
	if !s.pause(r.Context(), control.delay()) || !s.admit(w, r) {
		return
	}
	s.counters.reads.Add(1)
	status := http.StatusOK
	if !held {
		s.counters.outOfRange.Add(1)
		status = http.StatusGone
	}
	s.writePage(w, status, page)
}

// poll reads a page and waits for the first entry as long as the query says. A
// change of the control ends the wait, so that an outage reaches long polls too.
func (s *Server) poll(ctx context.Context, source *stream, q readQuery) (logclient.Page, bool) {
	control, changed := s.switches.get()
	timer := time.NewTimer(q.wait)
	defer timer.Stop()
	s.polling.Add(1)
	defer s.polling.Add(-1)
	for {
		page, held, more := source.read(q.from, q.max, s.now(), control.retention())
		if !held || len(page.Entries) > 0 {
			return page, held
		}
		select {
		case <-more:
		case <-changed:
			return page, held
		case <-timer.C:
			return page, held
		case <-s.stopping:
			return page, held
		case <-ctx.Done():
			return page, held
		}
	}
}

// pause waits and reports whether the client is still there.
func (s *Server) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-s.stopping:
		return true
	case <-ctx.Done():
		return false
	}
}

// admit reports whether a call may go on, and answers it during an outage.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	for {
		control, changed := s.switches.get()
		switch control.Outage {
		case OutageNone:
			return true
		case OutageReset:
			s.counters.outage.Add(1)
			panic(http.ErrAbortHandler)
		case OutageHang:
			s.hold(r.Context(), changed)
		case OutageStall:
			// An append that is held goes on even when its client has left.
			s.hold(context.WithoutCancel(r.Context()), changed)
			if !s.stopped() {
				continue
			}
		}
		s.counters.outage.Add(1)
		notRun(w, http.StatusServiceUnavailable, "log is out of service")
		return false
	}
}

// hold waits for a change of the control, the stop, or the end of ctx.
func (s *Server) hold(ctx context.Context, changed <-chan struct{}) {
	s.held.Add(1)
	defer s.held.Add(-1)
	select {
	case <-changed:
	case <-s.stopping:
	case <-ctx.Done():
	}
}

func (s *Server) stopped() bool {
	select {
	case <-s.stopping:
		return true
	default:
		return false
	}
}

func notRun(w http.ResponseWriter, status int, message string) {
	w.Header().Set(logclient.OutcomeHeader, logclient.OutcomeNotRun)
	httpjson.Fail(w, status, message)
}
