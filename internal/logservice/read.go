package logservice

import (
	"context"
	"net/http"
	"time"

	"heathercroft.example/heathercroft/internal/httpjson"
	"heathercroft.example/heathercroft/internal/logclient"
)

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
		page, held, more := source.read(q.from, q.max, time.Now(), control.retention())
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
