package sidecar

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/directory"
)

// targetSignals is what a target says about its own state in a response.
type targetSignals struct {
	// RateLimit is the number of requests per second that the target takes from all nodes
	// together, nil if it names no limit.
	RateLimit *float64 `json:"limit_per_s,omitempty"`
	// Leaving is set if the target is shutting down.
	Leaving bool `json:"leaving,omitempty"`
}

// signals reads the signals in the headers of a response and reports malformed values. Of
// several limits the lowest one holds.
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
	target  directory.Process
	signals targetSignals
	// malformed is set after a response with malformed signals was logged.
	malformed bool
}

// recordSignals applies the signals in a response of the local target to a request that was
// sent at a time, and logs changes.
func (n *Node) recordSignals(request string, target directory.Process, r *response, sentAt time.Duration) *targetSignals {
	s, err := n.headers.signals(r.header)
	n.signalsMu.Lock()
	last := n.lastSignals
	if last.target != target {
		last = lastSignals{target: target}
	}
	before := last.signals
	if err != nil && s.RateLimit == nil {
		s.RateLimit = before.RateLimit
	}
	logMalformed := err != nil && !last.malformed
	last.signals, last.malformed = s, last.malformed || err != nil
	n.lastSignals = last
	n.signalsMu.Unlock()
	if logMalformed {
		n.logger.Warn("target_signal_malformed", "request", request, "target", target.ID, "error", err.Error())
	}
	if err != nil {
		n.metrics.malformedSignals.Add(1)
	}
	if !s.sameLimit(before) {
		n.logger.Info("target_limit", "request", request, "target", target.ID, "limit_per_s", s.limit(), "before_per_s", before.limit(),
			"sent_per_s", n.sent.perSecond(n.clock.now())[target.ID])
	}
	if s.Leaving && !before.Leaving {
		n.logger.Info("target_leaving_signal", "request", request, "target", target.ID)
	}
	n.gate.signal(target, s, sentAt)
	n.stepSignals(target, &s)
	return &s
}

// stepSignals passes the signals in a response of a target on to the state machine if they
// changed. received is nil if there was no response.
func (n *Node) stepSignals(target directory.Process, received *targetSignals) {
	if received == nil {
		return
	}
	s := directory.Signals{Limited: received.RateLimit != nil, Leaving: received.Leaving}
	if s.Limited {
		s.RateLimit = *received.RateLimit
	}
	if s != n.view.Load().Signals[target] {
		n.step(control.TargetSignaled{Target: target, Signals: s})
	}
}

// targetLimit returns the limit in the last response of the local target, or -1.
func (n *Node) targetLimit() float64 {
	n.signalsMu.Lock()
	defer n.signalsMu.Unlock()
	return n.lastSignals.signals.limit()
}
