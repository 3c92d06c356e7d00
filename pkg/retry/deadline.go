package retry

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxTimeout is the maximum time limit that a caller can set for a request.
const MaxTimeout = 24 * time.Hour

// ErrBadDeadline reports an invalid deadline header.
var ErrBadDeadline = errors.New("deadline is not a number of milliseconds from 0 to 86400000")

// ParseDeadline parses the time left from a header value in milliseconds. ok is false if
// the value is empty, which means that the request has no deadline.
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

// FormatDeadline formats the time left as a header value. It rounds down to milliseconds,
// so that a callee never has more time than its caller.
func FormatDeadline(left time.Duration) string {
	return strconv.FormatInt(max(left, 0).Milliseconds(), 10)
}
