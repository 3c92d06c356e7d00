package rollout

import (
	"fmt"

	"heathercroft.example/heathercroft/pkg/record"
)

// The rule for too little traffic, as at night: in the last quarter of the time
// the rollout goes on to at most lowTrafficWeight without a pass, if no call of
// the new version failed; and beyond that only after cleanCalls without failure.
const lowTrafficWeight record.BasisPoints = 2500

const (
	lowTrafficFrom = 0.75
	cleanCalls     = 30
)

// lowTraffic applies the rule to a version that has neither passed nor failed
// for lack of calls.
func (h *Holder) lowTraffic(j Judgement, next record.BasisPoints) (reason string, ok bool) {
	if j.Failures > 0 || j.CallsNeeded == 0 {
		return "", false
	}
	if j.Calls >= cleanCalls {
		return fmt.Sprintf("low traffic: no failure in %d calls", j.Calls), true
	}
	late := float64(h.unixMS-h.rollout.StartUnixMS) >= lowTrafficFrom*float64(h.rollout.DeadlineUnixMS-h.rollout.StartUnixMS)
	if late && next != 0 && next <= lowTrafficWeight {
		return fmt.Sprintf("low traffic: no failure in only %d calls, the share stays at most %d bp", j.Calls, lowTrafficWeight), true
	}
	return "", false
}
