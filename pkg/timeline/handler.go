package timeline

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// EventsPath is the path at which a process serves its events.
const EventsPath = "/heathercroft/v1/events"

// Limits of an events request.
const (
	// MaxBatch is the maximum number of events in a response.
	MaxBatch = 1000
	// MaxEventsWait is the maximum duration of a long poll.
	MaxEventsWait = time.Minute
)

// Handler serves the events of a recorder. It accepts GET requests with the
// parameters after (the last known sequence, 0 for all events) and wait_ms (how long
// to wait for the first event).
func Handler(r *Recorder) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			writeError(w, http.StatusMethodNotAllowed, "use GET")
			return
		}
		after, wait, err := parseParameters(req.URL.RawQuery)
		if err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		writeJSON(w, http.StatusOK, waitForEvents(req, r, after, wait))
	})
}

// waitForEvents returns the events after a sequence. If there is none, it waits for
// the first one, up to wait.
func waitForEvents(req *http.Request, r *Recorder, after uint64, wait time.Duration) Batch {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := r.Changed()
		batch := r.EventsAfter(after, MaxBatch)
		if len(batch.Events) > 0 {
			return batch
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch
		case <-req.Context().Done():
			return batch
		}
	}
}

func parseParameters(raw string) (after uint64, wait time.Duration, err error) {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return 0, 0, errors.Wrap(err, "query")
	}
	for key, v := range values {
		n, err := strconv.ParseUint(v[0], 10, 63)
		switch {
		case key != "after" && key != "wait_ms":
			return 0, 0, errors.Newf("unknown parameter %q; use after and wait_ms", key)
		case err != nil || len(v) != 1:
			return 0, 0, errors.Newf("the parameter %q needs one whole number, not %q", key, v)
		case key == "after":
			after = n
		case n > uint64(MaxEventsWait.Milliseconds()):
			return 0, 0, errors.Newf("wait_ms is over %d", MaxEventsWait.Milliseconds())
		default:
			wait = time.Duration(n) * time.Millisecond
		}
	}
	return after, wait, nil
}

// errorResponse is the JSON body of an error response.
type errorResponse struct {
	Error struct {
		Message string `json:"message"`
	} `json:"error"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	var body errorResponse
	body.Error.Message = message
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected. It polls again from its last
	// known sequence.
	_ = json.NewEncoder(w).Encode(body)
}
