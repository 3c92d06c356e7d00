package target

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/content"
	"heathercroft.example/heathercroft/internal/httpjson"
)

// Headers of a call.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "Heathercroft-Outcome"
	HeaderDeadline       = "Heathercroft-Deadline-Ms"
	HeaderDepth          = "Heathercroft-Depth"
	HeaderCrash          = "X-Fault-Crash"
)

// OutcomeNotRun is the value of HeaderOutcome for a request that was not executed.
const OutcomeNotRun = "not-run"

const (
	// maxResponseBytes bounds the body that a caller can ask for.
	maxResponseBytes = 4 << 30
	// maxWork bounds the work that a caller can ask for.
	maxWork = 10 * time.Minute
	// crashCode is the exit code after a crashing request.
	crashCode = 70
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

// callOptions is the parsed query of a call.
type callOptions struct {
	responseBytes int64
	// work replaces the service time if set.
	work    time.Duration
	hasWork bool
}

func parseOptions(values url.Values) (callOptions, error) {
	var o callOptions
	if text := values.Get("response_bytes"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 || n > maxResponseBytes {
			return o, errors.Newf("response_bytes %q is outside 0 to %d", text, int64(maxResponseBytes))
		}
		o.responseBytes = n
	}
	if text := values.Get("work_ms"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 || n > maxWork.Milliseconds() {
			return o, errors.Newf("work_ms %q is outside 0 to %d", text, maxWork.Milliseconds())
		}
		o.work, o.hasWork = time.Duration(n)*time.Millisecond, true
	}
	return o, nil
}

// deadline returns the context of a call, bounded by the time left in its header.
func deadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms > int64(24*time.Hour/time.Millisecond) {
		return nil, nil, errors.Newf("%s %q is no count of milliseconds under a day", HeaderDeadline, text)
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	return ctx, cancel, nil
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	conn := connectionOf(r)
	if conn.excess {
		w.Header().Set("Connection", "close")
		s.refuse(w, "all connections are taken")
		return
	}
	options, err := parseOptions(r.URL.Query())
	if err != nil {
		httpjson.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	ctx, cancel, err := deadline(r)
	if err != nil {
		httpjson.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	defer cancel()
	if ctx.Err() != nil {
		s.refuse(w, "deadline has passed")
		return
	}
	inFlight, reason := s.gate.enter()
	if reason != "" {
		s.refuse(w, reason)
		return
	}
	defer s.gate.exit()
	s.execute(ctx, w, r, options, inFlight)
}

// refuse answers a request that was not executed.
func (s *Server) refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(HeaderOutcome, OutcomeNotRun)
	httpjson.Fail(w, http.StatusServiceUnavailable, reason)
}

// execute runs a request that has a slot. From the moment its body is complete,
// the request counts as executed, whatever becomes of its answer.
func (s *Server) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, o callOptions, inFlight int) {
	nth := s.served.Add(1)
	conn := connectionOf(r)
	digest := xxhash.New()
	received, err := receive(ctx, w, r, digest)
	if err != nil {
		httpjson.Fail(w, http.StatusBadRequest, "read body: "+err.Error())
		return
	}
	control, since := s.switches.get()
	if control.CrashOnHeader && r.Header.Get(HeaderCrash) == "1" {
		s.logger.Error("crashing on request", "event", "target_crash", "request_id", r.Header.Get(HeaderRequestID))
		s.crash(crashCode)
	}
	s.ledger.record(r.Header.Get(HeaderIdempotencyKey), r.Header.Get(HeaderRequestID))
	faults := control.effectOn(request{
		version: s.settings.Version, path: r.URL.Path, inFlight: inFlight, sinceSwitch: since,
	})
	if faults.silent {
		conn.silent.Store(true)
	}
	if conn.silent.Load() {
		s.stall(r)
		return
	}
	answer := Answer{
		RequestID: r.Header.Get(HeaderRequestID),
		Target:    s.settings.Name, Version: s.settings.Version, Service: s.settings.Service,
		ReceivedBytes: received, ReceivedHash: strconv.FormatUint(digest.Sum64(), 16),
		BodyBytes: o.responseBytes,
	}
	if !s.work(ctx, s.serviceTime(o, nth)+s.connectionTime(conn)+faults.latency) {
		s.answerFailure(w, http.StatusGatewayTimeout, answer, "deadline passed or caller left")
		return
	}
	if err := s.callDownstream(ctx, r); err != nil {
		s.answerFailure(w, http.StatusBadGateway, answer, err.Error())
		return
	}
	if faults.fail {
		s.answerFailure(w, http.StatusInternalServerError, answer, "fault: error")
		return
	}
	s.answer(w, answer, faults.truncate)
}

// receive reads the body of a request until its deadline.
func receive(ctx context.Context, w http.ResponseWriter, r *http.Request, into io.Writer) (int64, error) {
	if until, ok := ctx.Deadline(); ok {
		control := http.NewResponseController(w)
		if err := control.SetReadDeadline(until); err != nil {
			return 0, errors.Wrap(err, "set read deadline")
		}
		// The deadline must not reach the next request of the connection.
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	return io.Copy(into, r.Body)
}

// stall holds a request without an answer until its caller leaves, and breaks the connection then.
func (s *Server) stall(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.stopping:
	}
	panic(http.ErrAbortHandler)
}

// serviceTime returns how long the nth request of this run takes.
func (s *Server) serviceTime(o callOptions, nth int64) time.Duration {
	d := o.work
	if !o.hasWork {
		d = s.settings.ServiceTime.Base.Std()
		if jitter := s.settings.ServiceTime.Jitter.Std(); jitter > 0 {
			d += rand.N(jitter)
		}
	}
	cold := s.settings.ColdStart
	if nth <= int64(cold.Requests) || time.Since(s.started) < cold.Duration.Std() {
		d += cold.Extra.Std()
	}
	return d
}

// connectionTime returns the cost of a connection for its first request, and 0 later.
func (s *Server) connectionTime(c *connection) time.Duration {
	if c.paid.Swap(true) {
		return 0
	}
	return s.settings.ConnectionCost.Std()
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
