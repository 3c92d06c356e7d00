package rollout

import (
	"time"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// projection follows a rollout forward in time at the present rate of calls.
type projection struct {
	atMS   int64
	weight record.BasisPoints
	// clean is the expected number of calls of the new version so far.
	clean float64
	// perMS is the rate of calls to both versions.
	perMS float64
}

// gather returns when the given number of further calls of the new version is
// expected at the present share.
func (p *projection) gather(calls float64) int64 {
	share := float64(p.weight) / float64(record.FullWeight)
	if calls <= 0 || share == 0 {
		return p.atMS
	}
	return p.atMS + int64(calls/(p.perMS*share))
}

// moveTo lets time pass.
func (p *projection) moveTo(atMS int64) {
	share := float64(p.weight) / float64(record.FullWeight)
	p.clean += float64(atMS-p.atMS) * p.perMS * share
	p.atMS = atMS
}

// project returns when the rollout is expected to be done, and false if no calls
// arrive. Until the rate of calls is known only the soaks count.
func (h *Controller) project(j Analysis) (unixMS int64, known bool) {
	perSecond := h.rate.perSecond()
	if perSecond == 0 && h.now-h.heldSince >= rateMemory {
		return 0, false
	}
	p := projection{atMS: h.unixMS, weight: h.rollout.Weight, clean: float64(h.calls + j.Calls), perMS: perSecond / 1000}
	due := h.dueUnixMS()
	first := h.cleanNeeded(j)
	for {
		next, more := h.plan.Next(p.weight)
		p.moveTo(max(p.atMS, due, h.leaveUnixMS(&p, next.Weight, first)))
		if !more {
			return p.atMS, true
		}
		p.weight, first = next.Weight, 0
		due = h.plannedEnd(p.weight, p.atMS)
	}
}

// leaveUnixMS is when the calls allow to leave the present share of a projection.
// needed is what the present evidence lacks, if that is known.
func (h *Controller) leaveUnixMS(p *projection, next record.BasisPoints, needed uint64) int64 {
	if p.perMS == 0 || (next != 0 && next <= state.UnverifiedWeightLimit) {
		return p.atMS
	}
	enough := p.gather(max(cleanCalls-p.clean, float64(needed)))
	if next != 0 && next <= lowTrafficWeight {
		return min(enough, h.lateUnixMS())
	}
	return max(enough, p.gather(cleanAtShare))
}

// lateUnixMS is the start of the last quarter of the rollout's time.
func (h *Controller) lateUnixMS() int64 {
	total := float64(h.rollout.DeadlineUnixMS - h.rollout.StartUnixMS)
	return h.rollout.StartUnixMS + int64(lowTrafficFrom*total)
}

// plannedEnd is when a share that is reached at the given time may be left.
func (h *Controller) plannedEnd(weight record.BasisPoints, raisedMS int64) int64 {
	planned, part := h.plan.CompleteUnixMS, finalPart
	if next, ok := h.plan.Next(weight); ok {
		planned, part = next.AtUnixMS, catchUpPart
	}
	soak := time.Duration(float64(h.plan.Soak(weight)) * part)
	return max(planned, raisedMS+soak.Milliseconds())
}
