// Package logservice is a stand-in for the platform's append-only log service. It
// keeps its streams in memory and can be switched into outages, slow answers and
// lost answers.
package logservice

import (
	"expvar"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
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
	// era is the number of restorations plus one.
	era uint64
}

// New returns a log service without records.
func New(s *Settings, logger *slog.Logger) *Server {
	server := &Server{
		logger: logger,
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
		era:      1,
	}
	server.mux.HandleFunc("POST /v1/streams/{stream}/records", server.serveAppend)
	server.mux.HandleFunc("GET /v1/streams/{stream}/records", server.serveRead)
	server.mux.HandleFunc("GET /control", server.serveStatus)
	server.mux.HandleFunc("POST /control", server.serveControl)
	server.mux.HandleFunc("POST /restore", server.serveRestore)
	server.mux.Handle("GET /debug/vars", expvar.Handler())
	return server
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close ends the long polls and the held calls.
func (s *Server) Close() { s.closeOnce.Do(func() { close(s.stopping) }) }

// Restore puts the log back to an older copy, which lacks the newest records of each stream.
func (s *Server) Restore(records int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for _, stream := range s.streams {
		stream.restore(records, s.era)
	}
	s.logger.Info("restored from an older copy", "event", "platform_restored", "era", s.era, "records_lost", records)
}

// stream returns a stream by name, creating it if there is room.
func (s *Server) stream(name string) (*stream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.streams[name]
	if !ok && len(s.streams) < maxStreams {
		found, ok = newStream(s.era), true
		s.streams[name] = found
	}
	return found, ok
}
