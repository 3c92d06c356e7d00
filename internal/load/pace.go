package load

import (
	"context"
	"time"
)

// coarseWait is left to a blocking sleep at the end of a wait: the timers of the
// runtime may be up to 1 ms late, which is more than a node adds to a call.
const coarseWait = 1500 * time.Microsecond

// waitUntil reports whether the time came before ctx ended.
func waitUntil(ctx context.Context, at time.Time) bool {
	if coarse := time.Until(at) - coarseWait; coarse > 0 {
		timer := time.NewTimer(coarse)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	if fine := time.Until(at); fine > 0 {
		preciseSleep(fine)
	}
	return ctx.Err() == nil
}
