package logservice

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/httpjson"
	"heathercroft.example/heathercroft/pkg/record"
)

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
	offset := target.append(data, time.Now(), control.retention())
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
