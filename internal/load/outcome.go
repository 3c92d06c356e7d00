package load

// Outcome is how a call ended for its caller.
type Outcome string

// The outcomes of a call. Each call has exactly one.
const (
	// OutcomeAnswered: the whole answer to this very call arrived.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun: refused, and known not to have run, also after the retries.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeMayHaveRun: refused, and said that it may have run.
	OutcomeMayHaveRun Outcome = "may-have-run"
	// OutcomeError: an answer with an error status and no outcome.
	OutcomeError Outcome = "error"
	// OutcomeBroken: the answer began and its connection broke, which the caller could see.
	OutcomeBroken Outcome = "broken"
	// OutcomeUnreachable: no byte of the call left, also after the retries.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeLost: the call was sent and there was no answer at all.
	OutcomeLost Outcome = "lost"
	// OutcomeMixedUp: the answer belongs to another call or has a wrong content.
	OutcomeMixedUp Outcome = "mixed-up"
	// OutcomeTruncated: the answer ended cleanly before its end.
	OutcomeTruncated Outcome = "truncated"
)

// retryable reports whether a caller may send a call again that has no key.
func (o Outcome) retryable() bool { return o == OutcomeNotRun || o == OutcomeUnreachable }

// failed reports whether a caller cannot tell if its call ran.
func (o Outcome) failed() bool {
	switch o {
	case OutcomeMayHaveRun, OutcomeError, OutcomeBroken, OutcomeLost:
		return true
	default:
		return false
	}
}
