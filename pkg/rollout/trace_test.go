package rollout_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/rollout"
	"heathercroft.example/heathercroft/pkg/state"
)

// trace is a recorded course of a rollout with its stated outcome.
type trace struct {
	Guards     string       `json:"guards"`
	DurationMS int64        `json:"duration_ms"`
	Events     []traceEvent `json:"events"`
	Outcome    struct {
		// Records lists the accepted records of the machine under test.
		Records []string       `json:"records"`
		Status  rollout.Status `json:"status"`
		Reason  string         `json:"reason_contains"`
	} `json:"outcome"`
}

// traceEvent changes the surroundings and then lets time pass.
type traceEvent struct {
	Live     []mesh.NodeID          `json:"live"`
	Claim    string                 `json:"claim_by"`
	Pause    bool                   `json:"pause"`
	Resume   bool                   `json:"resume"`
	Out      *bool                  `json:"platform_out"`
	Silent   *mesh.AvailabilityZone `json:"silent_zone"`
	Heard    *bool                  `json:"holder_heard"`
	CallsMS  int64                  `json:"ms_per_call"`
	OldFails int                    `json:"old_fails_one_in"`
	NewFails int                    `json:"new_fails_one_in"`
	NewMS    int                    `json:"new_latency_ms"`
	ForMS    int64                  `json:"for_ms"`
}

// player replays a trace on a rig whose traffic is regular.
type player struct {
	*rig
	cur     traceEvent
	silent  mesh.AvailabilityZone
	heard   bool
	due     int64
	shares  int
	calls   [2]int
	records []string
}

type firstChoice struct{}

// choose avoids 0, which stands for a disturbance in the property tests.
func (firstChoice) choose(n int) int { return n - 1 }

func newPlayer(tr trace) *player {
	testMS := tr.DurationMS
	r := &rig{choose: firstChoice{}, log: state.New(), totals: map[mesh.AvailabilityZone]rollout.Evidence{}}
	r.apply(record.Record{ID: "s", Body: record.PutService{Name: "courier", Version: "v1"}})
	r.apply(record.Record{ID: "v", ExpectedRevision: 1, Body: record.PutVersion{Service: "courier", Version: "v2"}})
	r.id = r.apply(record.Record{ID: "r", Body: record.StartRollout{
		Service: "courier", From: "v1", To: "v2", StartUnixMS: testStart, DeadlineUnixMS: testStart + testMS,
	}}).Offset
	r.check = &checker{self: "node-1"}
	for _, z := range testZones {
		r.totals[z] = rollout.Evidence{}
	}
	p := &player{rig: r, cur: traceEvent{CallsMS: 50, NewMS: 10}}
	r.machine = broken{rollout.NewController(rollout.ControllerConfig{Self: "node-1", Rollout: r.id}), p.note}
	return p
}

// note keeps the records that the machine appends while the platform is there.
func (p *player) note(_ rollout.Event, effects []rollout.Effect) []rollout.Effect {
	for _, e := range effects {
		a, ok := e.(rollout.AppendRecord)
		if !ok || p.out {
			continue
		}
		name := string(a.Record.Body.Kind())
		if s, ok := a.Record.Body.(record.StepRollout); ok {
			name = fmt.Sprintf("%s %d", name, s.Weight)
		}
		p.records = append(p.records, name)
	}
	return effects
}

func (p *player) play(t *testing.T, e traceEvent) {
	if e.Live != nil {
		require.NoError(t, p.send(rollout.CandidatesChanged{Now: p.now, Live: e.Live}))
		require.NoError(t, p.send(rollout.ZonesChanged{Now: p.now, Zones: testZones}))
	}
	p.change(e)
	for end := p.now + time.Duration(e.ForMS)*time.Millisecond; p.now < end; {
		p.second(t)
	}
}

func (p *player) change(e traceEvent) {
	id := fmt.Sprintf("trace-%d", p.log.Revision)
	switch {
	case e.Claim != "":
		epoch := record.Revision(p.log.Rollouts[p.id].Epoch)
		p.apply(record.Record{ID: id, ExpectedRevision: epoch, Body: record.ClaimRollout{Rollout: p.id, Holder: e.Claim}})
	case e.Pause:
		p.apply(record.Record{ID: id, Body: record.PauseRollout{Rollout: p.id}})
	case e.Resume:
		p.apply(record.Record{ID: id, Body: record.ResumeRollout{Rollout: p.id}})
	}
	if e.Out != nil {
		p.out = *e.Out
	}
	if e.Silent != nil {
		p.silent = *e.Silent
	}
	if e.Heard != nil {
		p.heard = *e.Heard
	}
	if e.CallsMS > 0 {
		p.cur.CallsMS = e.CallsMS
	}
	if e.NewMS > 0 {
		p.cur.NewMS = e.NewMS
	}
	p.cur.OldFails, p.cur.NewFails = e.OldFails, e.NewFails
}

func (p *player) second(t *testing.T) {
	p.now += time.Second
	p.seq++
	p.traffic()
	events := []rollout.Event{}
	if cur := p.log.Rollouts[p.id]; !p.out {
		events = append(events, rollout.PlatformRead{Now: p.now, Revision: p.log.Revision})
		if cur.Revision != p.check.known.Revision {
			events = append(events, rollout.RolloutChanged{Now: p.now, UnixMS: p.unixMS(), Rollout: cur, Revision: p.log.Revision})
		}
	}
	if p.heard {
		events = append(events, rollout.HolderStatusReceived{Now: p.now, Rollout: p.id, Epoch: p.log.Rollouts[p.id].Epoch})
	}
	for _, z := range testZones {
		if z != p.silent {
			events = append(events, rollout.EvidenceReceived{
				Now: p.now, Source: mesh.NodeID(z), Session: "s", Zone: z, Sequence: p.seq, Totals: p.copyOf(z),
			})
		}
	}
	for _, e := range append(events, rollout.Tick{Now: p.now, UnixMS: p.unixMS()}) {
		require.NoError(t, p.send(e))
	}
}

// traffic spreads regular calls over zones, and over versions by share.
func (p *player) traffic() {
	for p.due += 1000; p.due >= p.cur.CallsMS; p.due -= p.cur.CallsMS {
		p.shares += int(p.log.Rollouts[p.id].Weight)
		version, fails, latency := 0, p.cur.OldFails, 10
		if p.shares >= 10_000 {
			p.shares -= 10_000
			version, fails, latency = 1, p.cur.NewFails, p.cur.NewMS
		}
		p.calls[version]++
		zone := testZones[p.calls[version]%len(testZones)]
		failed := fails > 0 && p.calls[version]%fails == 0
		// Latencies vary by 40 % around their middle.
		spread := time.Duration(800+100*(p.calls[version]%5)) * time.Microsecond
		key := rollout.Key{Service: "courier", Version: []string{"v1", "v2"}[version], Route: "x", Zone: zone}
		p.totals[zone].AddCall(key, failed, time.Duration(latency)*spread)
	}
}

// Guards against a change of the machines that alters the outcome of a recorded
// course; each trace names the failure it stands for.
func TestRecordedTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			var tr trace
			require.NoError(t, json.Unmarshal(data, &tr))
			require.NotEmpty(t, tr.Guards)
			p := newPlayer(tr)
			for _, e := range tr.Events {
				p.play(t, e)
			}
			report := p.machine.(broken).machine.(*rollout.Controller).Report()
			require.Equal(t, tr.Outcome.Records, p.records)
			require.Equal(t, tr.Outcome.Status, report.Status, report.Reason)
			require.Contains(t, report.Reason, tr.Outcome.Reason)
		})
	}
}
