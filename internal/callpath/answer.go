package callpath

import (
	"context"
	"net/http"

	"heathercroft.example/heathercroft/pkg/retry"
)

// answer is the end of one attempt: either resp or refusal is set.
type answer struct {
	outcome retry.Outcome
	resp    *http.Response
	refusal *Refusal
	// timing is what the node beside the target measured, if it answered.
	timing targetTiming
	// cancel ends the request on the connection to another node. Closing the body
	// would otherwise wait for a caller that is silent in the middle of its body.
	cancel context.CancelFunc
	// ended is called once, after the body was read or given up. It is told
	// whether the body was complete.
	ended func(complete bool)
}

func refused(o retry.Outcome, r *Refusal) *answer {
	return &answer{outcome: o, refusal: r}
}

// then adds a function to those called at the end.
func (a *answer) then(f func(complete bool)) {
	if a.ended == nil {
		a.ended = f
		return
	}
	first := a.ended
	a.ended = func(complete bool) {
		first(complete)
		f(complete)
	}
}

// end reports the end of the body. Further calls do nothing.
func (a *answer) end(complete bool) {
	if a.cancel != nil {
		a.cancel()
	}
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	if a.ended != nil {
		a.ended(complete)
		a.ended = nil
	}
}

// discard gives up an answer that is not delivered.
func (a *answer) discard() { a.end(false) }
