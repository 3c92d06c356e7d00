package target

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// callOptions is the parsed query of a call.
type callOptions struct {
	responseBytes int64
	// work replaces the service time if set.
	work    time.Duration
	hasWork bool
}

func parseOptions(values url.Values) (callOptions, error) {
	var o callOptions
	if text := values.Get("response_bytes"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 || n > maxResponseBytes {
			return o, errors.Newf("response_bytes %q is outside 0 to %d", text, int64(maxResponseBytes))
		}
		o.responseBytes = n
	}
	if text := values.Get("work_ms"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 || n > maxWork.Milliseconds() {
			return o, errors.Newf("work_ms %q is outside 0 to %d", text, maxWork.Milliseconds())
		}
		o.work, o.hasWork = time.Duration(n)*time.Millisecond, true
	}
	return o, nil
}

// deadline returns the context of a call, bounded by the time left in its header.
func deadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms > int64(24*time.Hour/time.Millisecond) {
		return nil, nil, errors.Newf("%s %q is no count of milliseconds under a day", HeaderDeadline, text)
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	return ctx, cancel, nil
}
