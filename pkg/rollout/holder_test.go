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

// chooser draws the choices of a drive: from rapid, or from a fixed seed.
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

// rig runs one machine over the real reducer, with a platform that loses
// responses, goes out, and lets other nodes write.
type rig struct {
	choose  chooser
	machine machine
	check   *checker
	log     *state.State
	id      record.RolloutID
	now     time.Duration
	out     bool
	totals  map[mesh.AvailabilityZone]rollout.Evidence
	seq     uint64
	bad     bool
	other   int
}

func newRig(choose chooser, wrap func(machine) machine) *rig {
	r := &rig{choose: choose, log: state.New(), totals: map[mesh.AvailabilityZone]rollout.Evidence{}}
	r.apply(record.Record{ID: "s", Body: record.PutService{Name: "courier", Version: "v1"}})
	r.apply(record.Record{ID: "v", ExpectedRevision: 1, Body: record.PutVersion{Service: "courier", Version: "v2"}})
	r.id = r.apply(record.Record{ID: "r", Body: record.StartRollout{
		Service: "courier", From: "v1", To: "v2",
		StartUnixMS: testStart, DeadlineUnixMS: testStart + testDuration.Milliseconds(),
	}}).Offset
	plan := rollout.NewPlan(testStart, testStart+testDuration.Milliseconds())
	r.check = &checker{self: "node-1", finalSoak: plan.Soak(record.FullWeight) / 5}
	r.machine = wrap(rollout.NewController(rollout.ControllerConfig{Self: "node-1", Rollout: r.id}))
	for _, z := range testZones {
		r.totals[z] = rollout.Evidence{}
	}
	return r
}

func (r *rig) apply(rec record.Record) state.Outcome {
	rec.Base = r.log.Revision
	data, err := record.Encode(rec)
	if err != nil {
		panic(err)
	}
	res, err := r.log.Apply(r.log.Revision+1, data)
	if err != nil {
		panic(err)
	}
	return res.Outcome
}

func (r *rig) unixMS() int64 { return testStart + r.now.Milliseconds() }

// send gives an event to the machine, checks its effects and carries them out.
func (r *rig) send(e rollout.Event) error {
	r.check.saw(e)
	for _, effect := range r.machine.Step(e) {
		if err := r.check.check(effect); err != nil {
			return err
		}
		if a, ok := effect.(rollout.AppendRecord); ok && !r.out {
			o := r.apply(a.Record)
			if r.choose.choose(8) == 0 {
				continue // The response is lost; the record took effect.
			}
			if err := r.send(rollout.AppendResult{Now: r.now, ID: a.Record.ID, Outcome: o}); err != nil {
				return err
			}
		}
	}
	return nil
}

// run drives the machine for the given number of 5 s steps.
func (r *rig) run(steps int) error {
	r.bad = r.choose.choose(4) == 0
	if err := r.send(rollout.CandidatesChanged{Live: []mesh.NodeID{"node-1"}}); err != nil {
		return err
	}
	if err := r.send(rollout.ZonesChanged{Zones: testZones}); err != nil {
		return err
	}
	for range steps {
		if err := r.step(); err != nil {
			return err
		}
	}
	return nil
}

func (r *rig) step() error {
	r.disturb()
	r.now += 5 * time.Second
	events := []rollout.Event{}
	if !r.out {
		events = append(events, rollout.PlatformRead{Now: r.now, Revision: r.log.Revision})
	}
	if cur := r.log.Rollouts[r.id]; !r.out && cur.Revision != r.check.known.Revision {
		events = append(events, rollout.RolloutChanged{Now: r.now, UnixMS: r.unixMS(), Rollout: cur, Revision: r.log.Revision})
	}
	r.seq++
	for _, z := range testZones {
		r.count(z)
		events = append(events, rollout.EvidenceReceived{
			Now: r.now, Source: mesh.NodeID(z), Session: "s", Zone: z, Sequence: r.seq, Totals: r.copyOf(z),
		})
	}
	events = append(events, rollout.Tick{Now: r.now, UnixMS: r.unixMS()})
	for _, e := range events {
		if err := r.send(e); err != nil {
			return err
		}
	}
	return nil
}

// disturb lets the platform fail, an operator pause, or another node claim.
func (r *rig) disturb() {
	r.other++
	id := fmt.Sprintf("other-%d", r.other)
	switch r.choose.choose(40) {
	case 0, 1:
		r.out = !r.out
	case 2:
		r.apply(record.Record{ID: id, Body: record.PauseRollout{Rollout: r.id}})
	case 3, 4, 5:
		r.apply(record.Record{ID: id, Body: record.ResumeRollout{Rollout: r.id}})
	case 6:
		epoch := record.Revision(r.log.Rollouts[r.id].Epoch)
		r.apply(record.Record{ID: id, ExpectedRevision: epoch, Body: record.ClaimRollout{Rollout: r.id, Holder: "node-2"}})
	}
	if r.out && r.choose.choose(3) == 0 {
		r.out = false
	}
}

// count adds 100 calls of a zone, by share.
func (r *rig) count(z mesh.AvailabilityZone) {
	fresh := int(r.log.Rollouts[r.id].Weight) / 100
	for i := range 100 {
		version, failed := "v1", false
		if i < fresh {
			version, failed = "v2", r.bad && i%3 == 0
		}
		r.totals[z].AddCall(rollout.Key{Service: "courier", Version: version, Route: "x", Zone: z}, failed, 10*time.Millisecond)
	}
}

func (r *rig) copyOf(z mesh.AvailabilityZone) rollout.Evidence {
	c := rollout.Evidence{}
	c.Merge(r.totals[z])
	return c
}

const testSteps = 150

// Guards against a share over 5 % before a pass, a record under an old epoch, a
// raise while the platform is not confirmed or the rollout is paused, and a
// completion before the end of the final soak.
func TestHolderKeepsItsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRig(rapidChooser{t}, func(m machine) machine { return m })
		require.NoError(t, r.run(testSteps))
		if r.bad {
			require.NotEqual(t, state.RolloutDone, r.log.Rollouts[r.id].Status)
		}
	})
}

// falsifyRecord changes the records of a machine.
func falsifyRecord(change func(*record.Record)) func(rollout.Event, []rollout.Effect) []rollout.Effect {
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

// Guards against checks that pass whatever the machine does: each break must be
// caught within a few drives.
func TestChecksCatchBrokenHolders(t *testing.T) {
	var last record.Record
	breaks := map[string]func(rollout.Event, []rollout.Effect) []rollout.Effect{
		"without a pass": falsifyRecord(func(r *record.Record) {
			if s, ok := r.Body.(record.StepRollout); ok {
				s.Weight = 2500
				r.Body = s
			}
		}),
		"under epoch": falsifyRecord(func(r *record.Record) {
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
			// Keeps asking for its last step, whatever it knows of the platform.
			if _, ok := e.(rollout.Tick); ok && last.Body != nil {
				effects = append(effects, rollout.AppendRecord{Record: last})
			}
			return effects
		},
		"completion at weight": falsifyRecord(func(r *record.Record) {
			if s, ok := r.Body.(record.StepRollout); ok {
				r.Body = record.CompleteRollout{Rollout: s.Rollout}
			}
		}),
	}
	for want, falsify := range breaks {
		t.Run(want, func(t *testing.T) {
			last = record.Record{}
			caught := false
			for seed := range uint64(40) {
				r := newRig(seededChooser{rand.New(rand.NewPCG(seed, 1))}, func(m machine) machine { return broken{m, falsify} })
				if err := r.run(testSteps); err != nil {
					caught = caught || containsText(err, want)
				}
				last = record.Record{}
			}
			require.True(t, caught)
		})
	}
}
