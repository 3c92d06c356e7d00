package callpath

import (
	"context"
	"net/http"

	"heathercroft.example/heathercroft/pkg/retry"
)

// attemptResult is the result of one attempt: either resp or refusal is set.
type attemptResult struct {
	outcome retry.Outcome
	resp    *http.Response
	refusal *Refusal
	// timing is what the target's node measured, if a response was received.
	timing targetTiming
	// signals are those in the response of the target.
	signals targetSignals
	// cancel ends the request on the connection to another node. Without it, closing
	// the response body would wait for a caller that has stalled in the middle of
	// its request body.
	cancel context.CancelFunc
	// onEnd is called once, after the body was read completely or abandoned.
	// complete tells which.
	onEnd func(complete bool)
}

func refused(o retry.Outcome, r *Refusal) *attemptResult {
	return &attemptResult{outcome: o, refusal: r}
}

// afterBody adds a function to be called at the end of the body, after those added
// before.
func (a *attemptResult) afterBody(f func(complete bool)) {
	if a.onEnd == nil {
		a.onEnd = f
		return
	}
	first := a.onEnd
	a.onEnd = func(complete bool) {
		first(complete)
		f(complete)
	}
}

// end releases the response and calls the functions added by afterBody. Further
// calls do nothing.
func (a *attemptResult) end(complete bool) {
	if a.cancel != nil {
		a.cancel()
	}
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	if a.onEnd != nil {
		a.onEnd(complete)
		a.onEnd = nil
	}
}

// discard releases a result that is not delivered.
func (a *attemptResult) discard() { a.end(false) }
