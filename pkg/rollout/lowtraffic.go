package rollout

import (
	"fmt"

	"heathercroft.example/heathercroft/pkg/record"
)

// The rule for low traffic, as at night: in the last quarter of its time the rollout
// continues to at most lowTrafficMaxWeight without a pass, if no call of the new
// version failed, and beyond that only after minFailureFreeCalls without failure. The
// calls count over the whole rollout, since at night the small weights never gather
// that many calls each.
const lowTrafficMaxWeight record.BasisPoints = 2500

const (
	lowTrafficStart     = 0.75
	minFailureFreeCalls = 30
	// minFailureFreeCallsAtWeight is how many of them must be at the current weight.
	minFailureFreeCallsAtWeight = 5
)

// checkLowTraffic applies the rule to a version that has neither passed nor failed for
// lack of calls.
func (c *Controller) checkLowTraffic(result Analysis, next record.BasisPoints) (reason string, ok bool) {
	if result.Suspicious || c.earlierFailures+result.Failures > 0 {
		return "", false
	}
	failureFree := c.earlierCalls + result.Calls
	if failureFree >= minFailureFreeCalls && result.Calls >= minFailureFreeCallsAtWeight {
		return fmt.Sprintf("low traffic: no failure in %d calls", failureFree), true
	}
	if c.unixMS >= c.lowTrafficStartUnixMS() && next != 0 && next <= lowTrafficMaxWeight {
		return fmt.Sprintf("low traffic: no failure in only %d calls, the share stays at most %d bp", failureFree, lowTrafficMaxWeight), true
	}
	return "", false
}

// callsNeeded returns how many more calls of the new version the current weight needs,
// by the easier of the pass rule and the rule for low traffic.
func (c *Controller) callsNeeded(result Analysis) uint64 {
	if result.Verdict == VerdictPassed || result.Suspicious {
		return 0
	}
	if c.earlierFailures+result.Failures > 0 {
		return result.CallsNeeded
	}
	failureFree := c.earlierCalls + result.Calls
	needed := uint64(0)
	if failureFree < minFailureFreeCalls {
		needed = minFailureFreeCalls - failureFree
	}
	if result.Calls < minFailureFreeCallsAtWeight {
		needed = max(needed, minFailureFreeCallsAtWeight-result.Calls)
	}
	return min(needed, result.CallsNeeded)
}
