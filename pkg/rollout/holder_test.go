package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/rollout"
	"heathercroft.example/heathercroft/pkg/state"
)

// chooser supplies the random choices of a test run, from rapid or from a fixed seed.
type chooser interface{ choose(n int) int }

type rapidChooser struct{ t *rapid.T }

func (r rapidChooser) choose(n int) int { return rapid.IntRange(0, n-1).Draw(r.t, "choice") }

type seededChooser struct{ *rand.Rand }

func (s seededChooser) choose(n int) int { return s.IntN(n) }

const (
	testStart    = int64(1_700_000_000_000)
	testDuration = 10 * time.Minute
)

var testZones = []mesh.AvailabilityZone{"casa-a", "casa-b", "rabat-a"}

// harness runs one machine against the real reducer, with a platform that loses
// responses, has outages, and accepts records of other nodes.
type harness struct {
	choose        chooser
	machine       machine
	check         *checker
	log           *state.State
	id            record.RolloutID
	now           time.Duration
	platformOut   bool
	totals        map[mesh.AvailabilityZone]rollout.Evidence
	sequence      uint64
	faultyVersion bool
	disturbances  int
}

func newHarness(choose chooser, wrap func(machine) machine) *harness {
	h := &harness{choose: choose, log: state.New(), totals: map[mesh.AvailabilityZone]rollout.Evidence{}}
	h.apply(record.Record{ID: "s", Body: record.PutService{Name: "courier", Version: "v1"}})
	h.apply(record.Record{ID: "v", ExpectedRevision: 1, Body: record.PutVersion{Service: "courier", Version: "v2"}})
	h.id = h.apply(record.Record{ID: "r", Body: record.StartRollout{
		Service: "courier", From: "v1", To: "v2",
		StartUnixMS: testStart, DeadlineUnixMS: testStart + testDuration.Milliseconds(),
	}}).Offset
	plan := rollout.NewPlan(testStart, testStart+testDuration.Milliseconds())
	h.check = &checker{self: "node-1", finalSoak: plan.Soak(record.FullWeight) / 5}
	h.machine = wrap(rollout.NewController(rollout.ControllerConfig{Self: "node-1", Rollout: h.id}))
	for _, z := range testZones {
		h.totals[z] = rollout.Evidence{}
	}
	return h
}

func (h *harness) apply(rec record.Record) state.Outcome {
	rec.Base = h.log.Revision
	data, err := record.Encode(rec)
	if err != nil {
		panic(err)
	}
	res, err := h.log.Apply(h.log.Revision+1, data)
	if err != nil {
		panic(err)
	}
	return res.Outcome
}

func (h *harness) unixMS() int64 { return testStart + h.now.Milliseconds() }

// send passes an event to the machine, checks its effects and carries them out.
func (h *harness) send(e rollout.Event) error {
	h.check.observe(e)
	for _, effect := range h.machine.Step(e) {
		if err := h.check.check(effect); err != nil {
			return err
		}
		if a, ok := effect.(rollout.AppendRecord); ok && !h.platformOut {
			o := h.apply(a.Record)
			if h.choose.choose(8) == 0 {
				continue // The response is lost; the record took effect.
			}
			if err := h.send(rollout.AppendResult{Now: h.now, ID: a.Record.ID, Outcome: o}); err != nil {
				return err
			}
		}
	}
	return nil
}

// run runs the machine for the given number of 5 s steps.
func (h *harness) run(steps int) error {
	h.faultyVersion = h.choose.choose(4) == 0
	if err := h.send(rollout.CandidatesChanged{Live: []mesh.NodeID{"node-1"}}); err != nil {
		return err
	}
	if err := h.send(rollout.ZonesChanged{Zones: testZones}); err != nil {
		return err
	}
	for range steps {
		if err := h.step(); err != nil {
			return err
		}
	}
	return nil
}

func (h *harness) step() error {
	h.disturb()
	h.now += 5 * time.Second
	events := []rollout.Event{}
	if !h.platformOut {
		events = append(events, rollout.PlatformRead{Now: h.now, Revision: h.log.Revision})
	}
	if cur := h.log.Rollouts[h.id]; !h.platformOut && cur.Revision != h.check.known.Revision {
		events = append(events, rollout.RolloutChanged{Now: h.now, UnixMS: h.unixMS(), Rollout: cur, Revision: h.log.Revision})
	}
	h.sequence++
	for _, z := range testZones {
		h.countCalls(z)
		events = append(events, rollout.EvidenceReceived{
			Now: h.now, Source: mesh.NodeID(z), Session: "s", Zone: z, Sequence: h.sequence, Totals: h.copyOf(z),
		})
	}
	events = append(events, rollout.Tick{Now: h.now, UnixMS: h.unixMS()})
	for _, e := range events {
		if err := h.send(e); err != nil {
			return err
		}
	}
	return nil
}

// disturb may start or end a platform outage, pause or resume the rollout, or claim it
// for another node.
func (h *harness) disturb() {
	h.disturbances++
	id := fmt.Sprintf("other-%d", h.disturbances)
	switch h.choose.choose(40) {
	case 0, 1:
		h.platformOut = !h.platformOut
	case 2:
		h.apply(record.Record{ID: id, Body: record.PauseRollout{Rollout: h.id}})
	case 3, 4, 5:
		h.apply(record.Record{ID: id, Body: record.ResumeRollout{Rollout: h.id}})
	case 6:
		epoch := record.Revision(h.log.Rollouts[h.id].Epoch)
		h.apply(record.Record{ID: id, ExpectedRevision: epoch, Body: record.ClaimRollout{Rollout: h.id, Holder: "node-2"}})
	}
	if h.platformOut && h.choose.choose(3) == 0 {
		h.platformOut = false
	}
}

// countCalls adds 100 calls of a zone, distributed over the versions by the weight.
func (h *harness) countCalls(z mesh.AvailabilityZone) {
	newCalls := int(h.log.Rollouts[h.id].Weight) / 100
	for i := range 100 {
		version, failed := "v1", false
		if i < newCalls {
			version, failed = "v2", h.faultyVersion && i%3 == 0
		}
		h.totals[z].AddCall(rollout.Key{Service: "courier", Version: version, Route: "x", Zone: z}, failed, 10*time.Millisecond)
	}
}

func (h *harness) copyOf(z mesh.AvailabilityZone) rollout.Evidence {
	c := rollout.Evidence{}
	c.Merge(h.totals[z])
	return c
}

const testSteps = 150

// Guards against a weight over 5 % before a pass, a record under an old epoch, a raise
// while the platform is not confirmed readable or the rollout is paused, and a
// completion before the end of the final soak.
func TestControllerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(rapidChooser{t}, func(m machine) machine { return m })
		require.NoError(t, h.run(testSteps))
		if h.faultyVersion {
			require.NotEqual(t, state.RolloutDone, h.log.Rollouts[h.id].Status)
		}
	})
}

// mutateRecord changes the records that a machine requests.
func mutateRecord(change func(*record.Record)) func(rollout.Event, []rollout.Effect) []rollout.Effect {
	return func(_ rollout.Event, effects []rollout.Effect) []rollout.Effect {
		for i, e := range effects {
			if a, ok := e.(rollout.AppendRecord); ok {
				change(&a.Record)
				effects[i] = a
			}
		}
		return effects
	}
}

// Guards against checks that pass whatever the machine does: each mutation must be
// detected within 40 runs.
func TestChecksCatchBrokenHolders(t *testing.T) {
	var last record.Record
	mutations := map[string]func(rollout.Event, []rollout.Effect) []rollout.Effect{
		"without a pass": mutateRecord(func(r *record.Record) {
			if s, ok := r.Body.(record.StepRollout); ok {
				s.Weight = 2500
				r.Body = s
			}
		}),
		"under epoch": mutateRecord(func(r *record.Record) {
			if r.Epoch > 0 {
				r.Epoch--
			}
		}),
		"platform last read": func(e rollout.Event, effects []rollout.Effect) []rollout.Effect {
			for _, effect := range effects {
				if a, ok := effect.(rollout.AppendRecord); ok && a.Record.Body.Kind() == record.KindStepRollout {
					last = a.Record
				}
			}
			// Repeats the last step on each tick, without regard to the platform.
			if _, ok := e.(rollout.Tick); ok && last.Body != nil {
				effects = append(effects, rollout.AppendRecord{Record: last})
			}
			return effects
		},
		"completion at weight": mutateRecord(func(r *record.Record) {
			if s, ok := r.Body.(record.StepRollout); ok {
				r.Body = record.CompleteRollout{Rollout: s.Rollout}
			}
		}),
	}
	for want, mutate := range mutations {
		t.Run(want, func(t *testing.T) {
			last = record.Record{}
			caught := false
			for seed := range uint64(40) {
				h := newHarness(seededChooser{rand.New(rand.NewPCG(seed, 1))}, func(m machine) machine { return mutated{m, mutate} })
				if err := h.run(testSteps); err != nil {
					caught = caught || containsText(err, want)
				}
				last = record.Record{}
			}
			require.True(t, caught)
		})
	}
}
