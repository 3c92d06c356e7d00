package sidecar

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"heathercroft.example/heathercroft/pkg/quota"
)

// maxCapStats is the number of organisations with metrics: the ones used last.
const maxCapStats = 100

// capStats counts the decisions of the caps by organisation.
type capStats struct {
	mu     sync.Mutex
	counts map[string]*capCounts
}

// capCounts counts the requests of one organisation at this node.
type capCounts struct {
	Admitted int64 `json:"admitted"`
	OverCap  int64 `json:"over_cap"`
	Unknown  int64 `json:"unknown"`
	usedAt   time.Duration
}

func newCapStats() *capStats { return &capStats{counts: map[string]*capCounts{}} }

func (s *capStats) count(organisation string, v quota.Verdict, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.counts[organisation]
	if !ok {
		if len(s.counts) >= maxCapStats {
			s.forgetOldest()
		}
		c = &capCounts{}
		s.counts[organisation] = c
	}
	c.usedAt = now
	switch v {
	case quota.Admitted:
		c.Admitted++
	case quota.OverCap:
		c.OverCap++
	case quota.Unknown, quota.Waiting:
		c.Unknown++
	}
}

func (s *capStats) forgetOldest() {
	oldest, found := "", false
	for organisation, c := range s.counts {
		if !found || c.usedAt < s.counts[oldest].usedAt {
			oldest, found = organisation, true
		}
	}
	delete(s.counts, oldest)
}

// granted returns the number of requests of an organisation that were admitted.
func (s *capStats) granted(organisation string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.counts[organisation]; ok {
		return c.Admitted
	}
	return 0
}

// all returns a copy of the counts.
func (s *capStats) all() map[string]capCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]capCounts, len(s.counts))
	for organisation, c := range s.counts {
		out[organisation] = *c
	}
	return out
}

const (
	// rejectionLinesPerSecond and rejectionLineBurst limit the log lines of requests that a cap
	// rejects, for each organisation.
	rejectionLinesPerSecond = 2
	rejectionLineBurst      = 10
)

// lineLimit limits log lines by organisation.
type lineLimit struct {
	mu       sync.Mutex
	limiters map[string]*limitedLines
}

type limitedLines struct {
	limiter *rate.Limiter
	omitted int
}

func newLineLimit() *lineLimit { return &lineLimit{limiters: map[string]*limitedLines{}} }

// omit reports whether a line is left out. Otherwise it returns how many were before it.
func (l *lineLimit) omit(organisation string, now time.Duration) (before int, skip bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.limiters[organisation]
	if !ok {
		if len(l.limiters) >= maxTrackedRoutes {
			clear(l.limiters)
		}
		o = &limitedLines{limiter: rate.NewLimiter(rejectionLinesPerSecond, rejectionLineBurst)}
		l.limiters[organisation] = o
	}
	if !o.limiter.AllowN(time.Unix(0, int64(now)), 1) {
		o.omitted++
		return 0, true
	}
	before, o.omitted = o.omitted, 0
	return before, false
}
