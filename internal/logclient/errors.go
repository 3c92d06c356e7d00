package logclient

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/record"
)

// ErrUnavailable marks a call that had no effect, such as a refused connection or
// a status 503 or 429 that says so. It may be repeated later.
var ErrUnavailable = errors.New("platform log is unavailable")

// ErrUnknown marks an append that may have taken effect: it timed out, its
// connection broke, or its answer was not understood.
var ErrUnknown = errors.New("append may have taken effect")

// ErrRejected marks a call that the platform will not accept when repeated, such
// as a record over the size limit. It had no effect.
var ErrRejected = errors.New("platform log rejected the call")

// ErrMalformed marks an answer that breaks the protocol. It is an additional mark
// to ErrUnknown for appends and to ErrUnavailable for reads.
var ErrMalformed = errors.New("malformed answer of the platform log")

// OutOfRangeError reports a read at an offset that the log does not hold: it was
// trimmed (below First) or was never assigned (above Next).
type OutOfRangeError struct {
	// First is the oldest offset held.
	First record.Revision
	// Next is the offset that the next append gets.
	Next record.Revision
}

// Error implements error.
func (e *OutOfRangeError) Error() string {
	return fmt.Sprintf("offset out of range: the log holds %d to %d", e.First, e.Next-1)
}
