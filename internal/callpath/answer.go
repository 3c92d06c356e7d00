package callpath

import (
	"context"
	"net/http"

	"heathercroft.example/heathercroft/pkg/retry"
)

// attemptResult is the end of one attempt: either resp or refusal is set.
type attemptResult struct {
	outcome retry.Outcome
	resp    *http.Response
	refusal *Refusal
	// timing is what the node beside the target measured, if it answered.
	timing targetTiming
	// cancel ends the request on the connection to another node. Closing the body
	// would otherwise wait for a caller that is silent in the middle of its body.
	cancel context.CancelFunc
	// onEnd is called once, after the body was read or given up. It is told
	// whether the body was complete.
	onEnd func(complete bool)
}

func refused(o retry.Outcome, r *Refusal) *attemptResult {
	return &attemptResult{outcome: o, refusal: r}
}

// afterBody adds a function to those called at the end.
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

// end reports the end of the body. Further calls do nothing.
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

// discard gives up an answer that is not delivered.
func (a *attemptResult) discard() { a.end(false) }
