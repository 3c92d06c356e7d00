package sidecar

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// targetSignals is what a target says about its own state in a response.
type targetSignals struct {
	// RateLimit is the number of requests per second that the target takes from all nodes
	// together, nil if it names no limit.
	RateLimit *float64 `json:"limit_per_s,omitempty"`
	// Leaving is set if the target is shutting down.
	Leaving bool `json:"leaving,omitempty"`
}

// signals reads the signals in the headers of a response. Malformed values are reported and
// count as not sent; of several limits the lowest one holds.
func (h Headers) signals(header http.Header) (s targetSignals, err error) {
	for _, text := range header.Values(h.RateLimit) {
		limit, parseErr := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if parseErr != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
			err = errors.CombineErrors(err, errors.Newf("%s: %q is not a number of requests per second", h.RateLimit, text))
			continue
		}
		if s.RateLimit == nil || limit < *s.RateLimit {
			s.RateLimit = &limit
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

// sameLimit reports whether both signals name the same limit, or none.
func (s targetSignals) sameLimit(o targetSignals) bool {
	if s.RateLimit == nil || o.RateLimit == nil {
		return s.RateLimit == o.RateLimit
	}
	return *s.RateLimit == *o.RateLimit
}

// limit returns the limit, or -1 if there is none.
func (s targetSignals) limit() float64 {
	if s.RateLimit == nil {
		return -1
	}
	return *s.RateLimit
}

// lastSignals holds the signals in the last response of the local target.
type lastSignals struct {
	target  string
	signals targetSignals
	// malformed is set after a response with malformed signals was logged.
	malformed bool
}

// recordSignals logs the signals of the local target when they change.
func (n *Node) recordSignals(h hopRequest, r *response) targetSignals {
	s, err := n.headers.signals(r.header)
	n.signalsMu.Lock()
	last := n.lastSignals
	if last.target != h.Target {
		last = lastSignals{target: h.Target}
	}
	before := last.signals
	logMalformed := err != nil && !last.malformed
	last.signals, last.malformed = s, last.malformed || err != nil
	n.lastSignals = last
	n.signalsMu.Unlock()
	if logMalformed {
		n.logger.Warn("target_signal_malformed", "request", h.ID, "target", h.Target, "error", err.Error())
	}
	if err != nil {
		n.metrics.malformedSignals.Add(1)
	}
	if !s.sameLimit(before) {
		n.logger.Info("target_limit", "request", h.ID, "target", h.Target, "limit_per_s", s.limit(), "before_per_s", before.limit(),
			"sent_per_s", n.sent.perSecond(n.clock.now())[h.Target])
	}
	if s.Leaving && !before.Leaving {
		n.logger.Info("target_leaving_signal", "request", h.ID, "target", h.Target)
	}
	return s
}

// targetLimit returns the limit in the last response of the local target, or -1.
func (n *Node) targetLimit() float64 {
	n.signalsMu.Lock()
	defer n.signalsMu.Unlock()
	return n.lastSignals.signals.limit()
}
