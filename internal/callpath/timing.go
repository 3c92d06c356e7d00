package callpath

import (
	"strconv"
	"strings"
	"time"
)

// targetTiming is what the target's node measured for one exchange.
type targetTiming struct {
	known   bool
	elapsed time.Duration
	// freshConnection is set if a connection was opened for the exchange, coldStart
	// if the target is in its cold start.
	freshConnection, coldStart bool
}

// State values in HeaderTargetTime.
const (
	stateFreshConnection = "fresh"
	stateColdStart       = "cold"
)

// String formats the value of HeaderTargetTime: microseconds, followed by state
// values separated by slashes.
func (t targetTiming) String() string {
	s := strconv.FormatInt(t.elapsed.Microseconds(), 10)
	if t.freshConnection {
		s += "/" + stateFreshConnection
	}
	if t.coldStart {
		s += "/" + stateColdStart
	}
	return s
}

// parseTiming parses HeaderTargetTime; a malformed value is treated as unknown.
func parseTiming(s string) targetTiming {
	parts := strings.Split(s, "/")
	micros, err := strconv.ParseInt(parts[0], 10, 64)
	if err != nil || micros < 0 {
		return targetTiming{}
	}
	t := targetTiming{known: true, elapsed: time.Duration(micros) * time.Microsecond}
	for _, mark := range parts[1:] {
		t.freshConnection = t.freshConnection || mark == stateFreshConnection
		t.coldStart = t.coldStart || mark == stateColdStart
	}
	return t
}
