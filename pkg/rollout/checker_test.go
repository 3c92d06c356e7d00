package rollout_test

import (
	"fmt"
	"time"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/rollout"
	"heathercroft.example/heathercroft/pkg/state"
)

// machine is what the checks observe: a Controller or Breaker, or one with a deliberate
// fault.
type machine interface {
	Step(rollout.Event) []rollout.Effect
}

// checker observes the events and effects of one Controller and states its invariants
// independently of its code.
type checker struct {
	self      string
	known     state.Rollout
	read      time.Duration
	readSeen  bool
	now       time.Duration
	unixMS    int64
	raisedMS  int64
	finalSoak time.Duration
}

// observe takes an event before the machine does.
func (c *checker) observe(e rollout.Event) {
	switch e := e.(type) {
	case rollout.Tick:
		c.now, c.unixMS = e.Now, e.UnixMS
	case rollout.PlatformRead:
		c.read, c.readSeen = e.Now, true
	case rollout.RolloutChanged:
		c.now, c.unixMS = e.Now, e.UnixMS
		if e.Rollout.Weight != c.known.Weight {
			c.raisedMS = e.UnixMS
		}
		c.known = e.Rollout
	}
}

// check returns the invariant that an effect violates.
func (c *checker) check(effect rollout.Effect) error {
	appended, ok := effect.(rollout.AppendRecord)
	if !ok {
		return nil
	}
	rec := appended.Record
	switch body := rec.Body.(type) {
	case record.StepRollout:
		if err := c.checkClaim(rec); err != nil {
			return err
		}
		return c.checkStep(body)
	case record.RolloutVerdict:
		return c.checkClaim(rec)
	case record.CompleteRollout:
		if err := c.checkClaim(rec); err != nil {
			return err
		}
		return c.checkComplete()
	}
	return nil
}

func (c *checker) checkClaim(rec record.Record) error {
	if rec.Epoch != c.known.Epoch || c.known.Holder != c.self {
		return fmt.Errorf("record under epoch %d, the claim is %d by %q", rec.Epoch, c.known.Epoch, c.known.Holder)
	}
	return nil
}

func (c *checker) checkStep(body record.StepRollout) error {
	switch {
	case !c.readSeen || c.now-c.read > rollout.PlatformReadMaxAge:
		return fmt.Errorf("step at %s, platform last read at %s", c.now, c.read)
	case body.Weight > 500 && !c.known.Passed:
		return fmt.Errorf("step to %d without a pass", body.Weight)
	case c.known.Status != state.RolloutProgressing:
		return fmt.Errorf("step while %s", c.known.Status)
	}
	return nil
}

func (c *checker) checkComplete() error {
	soak := time.Duration(c.unixMS-c.raisedMS) * time.Millisecond
	if c.known.Weight != record.FullWeight || soak < c.finalSoak {
		return fmt.Errorf("completion at weight %d after a soak of %s", c.known.Weight, soak)
	}
	return nil
}

// mutated passes events to a real machine and changes its effects.
type mutated struct {
	machine
	mutate func(e rollout.Event, effects []rollout.Effect) []rollout.Effect
}

func (b mutated) Step(e rollout.Event) []rollout.Effect { return b.mutate(e, b.machine.Step(e)) }
