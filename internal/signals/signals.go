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
	// Load holds, separated by commas, the requests running and waiting, the slots and, in
	// percent, how long work takes on the machine now; 100 is usual. Older targets send only
	// the first three figures.
	Load string
}

// Load is what a target says about its load. It changes with almost every response.
type Load struct {
	Running, Waiting, Slots int
	// Disturbance is by how many times longer than usual work takes on the machine now, 0 if
	// the target does not tell.
	Disturbance float64
}

const (
	// maxLoadCount bounds the counts of a load signal.
	maxLoadCount = 1_000_000
	// minDisturbancePercent and maxDisturbancePercent bound the fourth figure. Work that takes
	// a tenth or a hundred times of its usual time is taken for an error of the target.
	minDisturbancePercent = 10
	maxDisturbancePercent = 10_000
)

// ReadLoad reads the load signal in the headers of a response. ok is false if there is none or
// it is malformed.
func (h Headers) ReadLoad(header http.Header) (l Load, ok bool, err error) {
	values := header.Values(h.Load)
	if len(values) == 0 {
		return Load{}, false, nil
	}
	if len(values) > 1 {
		return Load{}, false, errors.Newf("%s is sent %d times", h.Load, len(values))
	}
	const minFigures, maxFigures = 3, 4
	parts := strings.SplitN(values[0], ",", maxFigures+1)
	if len(parts) < minFigures || len(parts) > maxFigures {
		return Load{}, false, errors.Newf("%s: %.64q does not hold 3 or 4 figures", h.Load, values[0])
	}
	for i, to := range []*int{&l.Running, &l.Waiting, &l.Slots} {
		count, parseErr := strconv.Atoi(strings.TrimSpace(parts[i]))
		if parseErr != nil || count < 0 || count > maxLoadCount {
			return Load{}, false, errors.Newf("%s: %.64q is not a number of requests", h.Load, parts[i])
		}
		*to = count
	}
	if len(parts) == maxFigures {
		percent, parseErr := strconv.ParseFloat(strings.TrimSpace(parts[maxFigures-1]), 64)
		if parseErr != nil || !(percent >= minDisturbancePercent && percent <= maxDisturbancePercent) {
			return Load{}, false, errors.Newf("%s: %.64q is not a time in percent of the usual one", h.Load, parts[maxFigures-1])
		}
		l.Disturbance = percent / 100
	}
	return l, true, nil
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
