// Package signals reads what a target says about its own state in the headers of its
// responses.
package signals

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/directory"
)

// Headers are the names of the headers.
type Headers struct {
	// RateLimit is the number of requests per second that a target takes from all nodes
	// together. A response without it ends the limit.
	RateLimit string
	// Leaving is set on responses of targets that are shutting down.
	Leaving string
}

// Read reads the signals in the headers of a response and reports malformed values. Of
// several limits the lowest one holds.
func (h Headers) Read(header http.Header) (s directory.Signals, err error) {
	for _, text := range header.Values(h.RateLimit) {
		limit, parseErr := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if parseErr != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
			err = errors.CombineErrors(err, errors.Newf("%s: %q is not a number of requests per second", h.RateLimit, text))
			continue
		}
		if !s.Limited || limit < s.RateLimit {
			s.Limited, s.RateLimit = true, limit
		}
	}
	for _, text := range header.Values(h.Leaving) {
		leaving, parseErr := strconv.ParseBool(strings.TrimSpace(text))
		if parseErr != nil {
			err = errors.CombineErrors(err, errors.Newf("%s: %q is not a flag", h.Leaving, text))
			continue
		}
		s.Leaving = s.Leaving || leaving
	}
	return s, err
}
