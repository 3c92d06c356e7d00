package query

import (
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/state"
)

// CommandPath is the HTTP path for commands of operators.
const CommandPath = "/heathercroft/v1/command"

// maxRequestBytes is the maximum size of the body of a command request: each byte
// of a text may take six bytes in JSON, as in \u0022.
const maxRequestBytes = 6*MaxText + 4096

// CommandRequest is the body of a command request.
type CommandRequest struct {
	// ID makes retries of a command idempotent. It is required for changes.
	ID      string `json:"id,omitempty"`
	Command string `json:"command"`
	// WaitMS lowers the time limit of the reply, in milliseconds.
	WaitMS *int64 `json:"wait_ms,omitempty"`
}

// ErrorCode identifies why a request was rejected before execution.
type ErrorCode string

// The codes of rejected requests.
const (
	CodeBadMethod  ErrorCode = "bad-method"
	CodeBadRequest ErrorCode = "bad-request"
	CodeTooLarge   ErrorCode = "too-large"
	CodeParseError ErrorCode = "parse-error"
)

// RequestError describes why a request was rejected without being executed.
type RequestError struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Outcome is always NotRun.
	Outcome RunOutcome `json:"outcome"`
	// Line and Column are set for a parse error.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Status is the HTTP status.
	Status int `json:"-"`
}

// Error implements error.
func (e *RequestError) Error() string { return e.Message }

// ErrorBody is the JSON body of the response to a rejected request.
type ErrorBody struct {
	Error *RequestError `json:"error"`
}

// Counters of the commands that this process has received, by reply status and by
// error code.
var (
	commandsByStatus = expvar.NewMap("heathercroft_commands_total")
	commandErrors    = expvar.NewMap("heathercroft_command_errors_total")
)

// Handler returns the HTTP handler for commands of operators.
func Handler(b Backend) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := readRequest(w, r)
		if err != nil {
			commandErrors.Add(string(err.Code), 1)
			if err.Status == http.StatusMethodNotAllowed {
				w.Header().Set("Allow", http.MethodPost)
			}
			writeJSON(w, err.Status, ErrorBody{Error: err})
			return
		}
		reply := Execute(r.Context(), b, req)
		commandsByStatus.Add(string(reply.Status), 1)
		writeJSON(w, http.StatusOK, reply)
	})
}

func readRequest(w http.ResponseWriter, r *http.Request) (Request, *RequestError) {
	if r.Method != http.MethodPost {
		return Request{}, refusal(http.StatusMethodNotAllowed, CodeBadMethod, "use POST")
	}
	body, err := decodeRequest(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return Request{}, refusal(http.StatusRequestEntityTooLarge, CodeTooLarge, "the request is larger than the limit")
	case err != nil:
		return Request{}, refusal(http.StatusBadRequest, CodeBadRequest, err.Error())
	}
	return body.parse()
}

// decodeRequest reads exactly one JSON object with known fields.
func decodeRequest(r io.Reader) (CommandRequest, error) {
	var body CommandRequest
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		return body, errors.Wrap(err, "the body is no command request")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		if err == nil {
			err = errors.New("more than one JSON value")
		}
		return body, errors.Wrap(err, "the body is no command request")
	}
	return body, nil
}

func (c CommandRequest) parse() (Request, *RequestError) {
	req := Request{ID: c.ID, Text: c.Command}
	command, err := Parse(c.Command)
	if err != nil {
		e := refusal(http.StatusBadRequest, CodeParseError, err.Error())
		var at *ParseError
		if errors.As(err, &at) {
			e.Line, e.Column = at.Line, at.Column
		}
		return req, e
	}
	req.Command = command
	if _, change := command.(Change); change && !state.ValidName(c.ID) {
		return req, refusal(http.StatusBadRequest, CodeBadRequest, "a change needs an \"id\" of up to 128 letters, digits, \"-\", \"_\" and \".\"")
	}
	if c.WaitMS != nil {
		if *c.WaitMS < 0 || *c.WaitMS > MaxWithin.Milliseconds() {
			return req, refusal(http.StatusBadRequest, CodeBadRequest, "\"wait_ms\" is not between 0 and 86400000")
		}
		within := time.Duration(*c.WaitMS) * time.Millisecond
		req.Within = &within
	}
	return req, nil
}

func refusal(status int, code ErrorCode, message string) *RequestError {
	return &RequestError{Code: code, Message: message, Outcome: NotRun, Status: status}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the operator has disconnected; the outcome can be queried
	// later by ID.
	_ = json.NewEncoder(w).Encode(body)
}
