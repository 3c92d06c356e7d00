package sidecar

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"heathercroft.example/heathercroft/internal/control"
)

// clock measures the time since the start of the process. It includes time in which the
// machine is suspended, which the monotonic clock of the Go runtime does not.
type clock struct {
	start time.Duration
	// fixed is the time that tests set, nil otherwise.
	fixed atomic.Pointer[time.Duration]
}

func newClock() *clock { return &clock{start: bootTime()} }

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

func (c *clock) now() time.Duration {
	if fixed := c.fixed.Load(); fixed != nil {
		return *fixed
	}
	return bootTime() - c.start
}

func (c *clock) time() control.Time {
	return control.Time{Now: c.now(), UnixMS: time.Now().UnixMilli()}
}
