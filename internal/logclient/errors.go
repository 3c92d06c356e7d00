package logclient

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/record"
)

// ErrUnavailable marks a call that had no effect, for example because the connection
// was refused or a 503 or 429 response said so. The call may be retried later.
var ErrUnavailable = errors.New("platform log is unavailable")

// ErrUnknown marks an append that may have taken effect: it timed out, its connection
// was lost, or its response could not be decoded.
var ErrUnknown = errors.New("append may have taken effect")

// ErrRejected marks a call that had no effect and that the platform would reject again,
// such as an append of a record over the size limit.
var ErrRejected = errors.New("platform log rejected the call")

// ErrMalformed marks a response that violates the protocol. Appends are marked
// ErrUnknown as well, and reads ErrUnavailable.
var ErrMalformed = errors.New("malformed answer of the platform log")

// OutOfRangeError reports a read at an offset that the log does not hold: it was
// trimmed (below First) or was never assigned (above Next).
type OutOfRangeError struct {
	// First is the oldest offset that the log holds.
	First record.Revision
	// Next is the offset that the next append will get.
	Next record.Revision
	// Era is the era of the log, as in Page.
	Era uint64
}

// Error implements error.
func (e *OutOfRangeError) Error() string {
	return fmt.Sprintf("offset out of range: the log holds %d to %d", e.First, e.Next-1)
}
