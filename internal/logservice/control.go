package logservice

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// OutageMode is how the log fails while it is out.
type OutageMode string

// The outage modes.
const (
	// OutageNone: the log works.
	OutageNone OutageMode = "none"
	// OutageUnavailable: every call is refused with status 503 and says that it had no effect.
	OutageUnavailable OutageMode = "unavailable"
	// OutageHang: every call is held until the outage ends or its client leaves, and has no effect.
	OutageHang OutageMode = "hang"
	// OutageStall: every call is held and goes on when the outage ends. Appends take
	// effect then, including those whose client has left.
	OutageStall OutageMode = "stall"
	// OutageReset: the connection of every call is closed without an answer, and the call has no effect.
	OutageReset OutageMode = "reset"
)

// Control is the part of the behavior that can be switched while the log runs.
type Control struct {
	Outage OutageMode `json:"outage"`
	// DelayMS holds back every answer by this long, plus a random part of JitterMS.
	DelayMS  int64 `json:"delay_ms"`
	JitterMS int64 `json:"jitter_ms"`
	// LostShare of the appends takes effect and is not answered.
	LostShare float64 `json:"lost_share"`
	// RetentionRecords and RetentionMS bound each stream; 0 sets no bound.
	RetentionRecords int     `json:"retention_records"`
	RetentionMS      int64   `json:"retention_ms"`
	AppendsPerSecond float64 `json:"appends_per_second"`
	AppendBurst      int     `json:"append_burst"`
}

// maxDelayMS bounds the delay and its jitter, so that a mistyped value does not hang a trial.
const maxDelayMS = 600_000

// Validate checks the values; the error names the key.
func (c Control) Validate() error {
	switch c.Outage {
	case OutageNone, OutageUnavailable, OutageHang, OutageStall, OutageReset:
	default:
		return errors.Newf("outage %q is none of none, unavailable, hang, stall, reset", c.Outage)
	}
	switch {
	case c.DelayMS < 0 || c.DelayMS > maxDelayMS:
		return errors.Newf("delay_ms is outside 0 to %d", maxDelayMS)
	case c.JitterMS < 0 || c.JitterMS > maxDelayMS:
		return errors.Newf("jitter_ms is outside 0 to %d", maxDelayMS)
	case c.LostShare < 0 || c.LostShare > 1:
		return errors.New("lost_share is outside 0 to 1")
	case c.RetentionRecords < 0 || c.RetentionMS < 0:
		return errors.New("retention is negative")
	case c.AppendsPerSecond <= 0:
		return errors.New("appends_per_second is not positive")
	case c.AppendBurst < 1:
		return errors.New("append_burst is under 1")
	}
	return nil
}

func (c Control) retention() retention {
	return retention{records: c.RetentionRecords, age: time.Duration(c.RetentionMS) * time.Millisecond}
}

func (c Control) delay() time.Duration {
	ms := c.DelayMS
	if c.JitterMS > 0 {
		ms += rand.Int64N(c.JitterMS + 1)
	}
	return time.Duration(ms) * time.Millisecond
}

// switchboard holds the current Control.
type switchboard struct {
	mu      sync.Mutex
	control Control
	limiter *rate.Limiter
	// changed is closed and replaced when the control is set.
	changed chan struct{}
}

func newSwitchboard(c Control) *switchboard {
	return &switchboard{
		control: c,
		limiter: rate.NewLimiter(rate.Limit(c.AppendsPerSecond), c.AppendBurst),
		changed: make(chan struct{}),
	}
}

// get returns the control and a channel that is closed when it changes.
func (s *switchboard) get() (Control, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control, s.changed
}

// set replaces the control by what change returns for the current one.
func (s *switchboard) set(change func(Control) (Control, error)) (Control, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := change(s.control)
	if err != nil {
		return s.control, err
	}
	s.control = next
	s.limiter.SetLimit(rate.Limit(next.AppendsPerSecond))
	s.limiter.SetBurst(next.AppendBurst)
	close(s.changed)
	s.changed = make(chan struct{})
	return next, nil
}
