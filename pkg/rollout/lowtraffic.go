package rollout

import (
	"fmt"

	"heathercroft.example/heathercroft/pkg/record"
)

// The rule for too little traffic, as at night: in the last quarter of the time
// the rollout goes on to at most lowTrafficMaxWeight without a pass, if no call of
// the new version failed; and beyond that only after cleanCalls without failure.
// The calls count over the whole rollout, since the small shares of a quiet night
// never gather that many at once.
const lowTrafficMaxWeight record.BasisPoints = 2500

const (
	lowTrafficStart     = 0.75
	minFailureFreeCalls = 30
	// minFailureFreeCallsAtWeight is how many of them must have been served at the present share.
	minFailureFreeCallsAtWeight = 5
)

// checkLowTraffic applies the rule to a version that has neither passed nor failed
// for lack of calls.
func (c *Controller) checkLowTraffic(j Analysis, next record.BasisPoints) (reason string, ok bool) {
	if j.Suspicious || c.earlierFailures+j.Failures > 0 {
		return "", false
	}
	clean := c.earlierCalls + j.Calls
	if clean >= minFailureFreeCalls && j.Calls >= minFailureFreeCallsAtWeight {
		return fmt.Sprintf("low traffic: no failure in %d calls", clean), true
	}
	if c.unixMS >= c.lowTrafficStartUnixMS() && next != 0 && next <= lowTrafficMaxWeight {
		return fmt.Sprintf("low traffic: no failure in only %d calls, the share stays at most %d bp", clean, lowTrafficMaxWeight), true
	}
	return "", false
}

// callsNeeded returns how many more calls of the new version the present share
// needs, by the easier one of the pass rule and the rule for low traffic.
func (c *Controller) callsNeeded(j Analysis) uint64 {
	if j.Verdict == VerdictPassed || j.Suspicious {
		return 0
	}
	if c.earlierFailures+j.Failures > 0 {
		return j.CallsNeeded
	}
	clean := c.earlierCalls + j.Calls
	needed := uint64(0)
	if clean < minFailureFreeCalls {
		needed = minFailureFreeCalls - clean
	}
	if j.Calls < minFailureFreeCallsAtWeight {
		needed = max(needed, minFailureFreeCallsAtWeight-j.Calls)
	}
	return min(needed, j.CallsNeeded)
}
