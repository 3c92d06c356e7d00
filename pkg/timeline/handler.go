package timeline

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// EventsPath is where a process hands out its events.
const EventsPath = "/heathercroft/v1/events"

// Limits of a request for events.
const (
	// MaxBatch is the largest number of events in one response.
	MaxBatch = 1000
	// MaxEventsWait bounds the long poll.
	MaxEventsWait = time.Minute
)

// Handler hands out the events of a recorder: GET with the parameters after (a
// sequence, 0 for all events) and wait_ms (how long to wait for the first event).
func Handler(r *Recorder) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			writeError(w, http.StatusMethodNotAllowed, "use GET")
			return
		}
		after, wait, err := eventsParameters(req.URL.RawQuery)
		if err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		writeJSON(w, http.StatusOK, await(req, r, after, wait))
	})
}

// await returns the events after a sequence, as soon as there is one.
func await(req *http.Request, r *Recorder, after uint64, wait time.Duration) Batch {
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

func eventsParameters(raw string) (after uint64, wait time.Duration, err error) {
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

// errorBody is the JSON form of a refused request.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
	} `json:"error"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	var body errorBody
	body.Error.Message = message
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the reader has gone; it asks again from its sequence.
	_ = json.NewEncoder(w).Encode(body)
}
