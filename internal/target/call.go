package target

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/httpjson"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// Headers of a call.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "Heathercroft-Outcome"
	HeaderDeadline       = "Heathercroft-Deadline-Ms"
	HeaderDepth          = "Heathercroft-Depth"
	HeaderRateLimit      = "Heathercroft-Rate-Limit"
	HeaderLeaving        = "Heathercroft-Leaving"
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

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	s.writeSignals(w.Header())
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

// writeSignals says in a response what the target asks of its callers.
func (s *Server) writeSignals(h http.Header) {
	control, _ := s.switches.get()
	if control.RateLimit != nil {
		h.Set(HeaderRateLimit, strconv.FormatFloat(*control.RateLimit, 'f', -1, 64))
	}
	if control.SignalLeaving || s.gate.state() == mesh.TargetLeaving {
		h.Set(HeaderLeaving, "1")
	}
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
	answer := s.newAnswer(r, o, received, digest.Sum64())
	duration := s.serviceTime(o, nth) + s.connectionTime(conn) + faults.latency
	s.finish(ctx, w, r, answer, duration, faults)
}

// finish works on a request that counts as executed, and answers it.
func (s *Server) finish(ctx context.Context, w http.ResponseWriter, r *http.Request, a Answer, d time.Duration, faults effect) {
	if !s.work(ctx, d) {
		s.answerFailure(w, http.StatusGatewayTimeout, a, "deadline passed or caller left")
		return
	}
	if err := s.callDownstream(ctx, r); err != nil {
		s.answerFailure(w, http.StatusBadGateway, a, err.Error())
		return
	}
	if faults.fail {
		s.answerFailure(w, http.StatusInternalServerError, a, "fault: error")
		return
	}
	s.answer(w, a, faults.truncate)
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
