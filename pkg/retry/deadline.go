package retry

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxTimeout is the longest time that a caller can give a request.
const MaxTimeout = 24 * time.Hour

// ErrBadDeadline reports a deadline header that is no number of milliseconds.
var ErrBadDeadline = errors.New("deadline is not a number of milliseconds from 0 to 86400000")

// ParseDeadline reads the time left from a header value in milliseconds. ok is
// false if the header is absent: the request then has no deadline.
func ParseDeadline(value string) (left time.Duration, ok bool, err error) {
	if value == "" {
		return 0, false, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 || ms > MaxTimeout.Milliseconds() {
		return 0, false, ErrBadDeadline
	}
	return time.Duration(ms) * time.Millisecond, true, nil
}

// FormatDeadline writes the time left for a header, rounded down to
// milliseconds so that a callee never has more time than its caller.
func FormatDeadline(left time.Duration) string {
	return strconv.FormatInt(max(left, 0).Milliseconds(), 10)
}
