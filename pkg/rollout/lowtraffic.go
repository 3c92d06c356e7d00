package rollout

import (
	"fmt"

	"heathercroft.example/heathercroft/pkg/record"
)

// The rule for too little traffic, as at night: in the last quarter of the time
// the rollout goes on to at most lowTrafficWeight without a pass, if no call of
// the new version failed; and beyond that only after cleanCalls without failure.
// The calls count over the whole rollout, since the small shares of a quiet night
// never gather that many at once.
const lowTrafficWeight record.BasisPoints = 2500

const (
	lowTrafficFrom = 0.75
	cleanCalls     = 30
	// cleanAtShare is how many of them must have been served at the present share.
	cleanAtShare = 5
)

// lowTraffic applies the rule to a version that has neither passed nor failed
// for lack of calls.
func (h *Controller) lowTraffic(j Analysis, next record.BasisPoints) (reason string, ok bool) {
	if j.Suspicious || h.failures+j.Failures > 0 {
		return "", false
	}
	clean := h.calls + j.Calls
	if clean >= cleanCalls && j.Calls >= cleanAtShare {
		return fmt.Sprintf("low traffic: no failure in %d calls", clean), true
	}
	if h.unixMS >= h.lateUnixMS() && next != 0 && next <= lowTrafficWeight {
		return fmt.Sprintf("low traffic: no failure in only %d calls, the share stays at most %d bp", clean, lowTrafficWeight), true
	}
	return "", false
}

// cleanNeeded returns how many more calls of the new version the present share
// needs, by the easier one of the pass rule and the rule for low traffic.
func (h *Controller) cleanNeeded(j Analysis) uint64 {
	if j.Verdict == VerdictPassed || j.Suspicious {
		return 0
	}
	if h.failures+j.Failures > 0 {
		return j.CallsNeeded
	}
	clean := h.calls + j.Calls
	needed := uint64(0)
	if clean < cleanCalls {
		needed = cleanCalls - clean
	}
	if j.Calls < cleanAtShare {
		needed = max(needed, cleanAtShare-j.Calls)
	}
	return min(needed, j.CallsNeeded)
}
