package target

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"heathercroft.example/heathercroft/internal/content"
	"heathercroft.example/heathercroft/internal/httpjson"
)

// Answer is the first line of the body of every answer. BodyBytes bytes derived
// from the request id follow it.
type Answer struct {
	RequestID string `json:"request_id"`
	Target    string `json:"target"`
	Version   string `json:"version"`
	Service   string `json:"service"`
	// ReceivedBytes and ReceivedHash (xxhash64, hexadecimal) describe the body of the request.
	ReceivedBytes int64  `json:"received_bytes"`
	ReceivedHash  string `json:"received_hash"`
	BodyBytes     int64  `json:"body_bytes"`
	Error         string `json:"error,omitempty"`
}

// refuse answers a request that was not executed.
func (s *Server) refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(HeaderOutcome, OutcomeNotRun)
	httpjson.Fail(w, http.StatusServiceUnavailable, reason)
}

func (s *Server) answerFailure(w http.ResponseWriter, status int, a Answer, message string) {
	a.Error, a.BodyBytes = message, 0
	httpjson.Write(w, status, a)
}

// answer sends the answer with its declared length. A truncated one ends half way
// through with a broken connection.
func (s *Server) answer(w http.ResponseWriter, a Answer, truncate bool) {
	head, err := json.Marshal(a)
	if err != nil {
		httpjson.Fail(w, http.StatusInternalServerError, err.Error())
		return
	}
	head = append(head, '\n')
	contentType := "application/json"
	if a.BodyBytes > 0 {
		contentType = "application/octet-stream"
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.FormatInt(int64(len(head))+a.BodyBytes, 10))
	w.WriteHeader(http.StatusOK)
	if truncate && a.BodyBytes == 0 {
		_, _ = w.Write(head[:len(head)/2])
		abort(w)
	}
	if _, err := w.Write(head); err != nil {
		return
	}
	send := a.BodyBytes
	if truncate {
		send /= 2
	}
	if _, err := io.Copy(w, content.NewReader(a.RequestID, send)); err != nil {
		return
	}
	if truncate {
		abort(w)
	}
}

// abort sends what was written and breaks the connection.
func abort(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (s *Server) newAnswer(r *http.Request, o callOptions, received int64, hash uint64) Answer {
	return Answer{
		RequestID: r.Header.Get(HeaderRequestID),
		Target:    s.settings.Name, Version: s.settings.Version, Service: s.settings.Service,
		ReceivedBytes: received, ReceivedHash: strconv.FormatUint(hash, 16),
		BodyBytes: o.responseBytes,
	}
}
