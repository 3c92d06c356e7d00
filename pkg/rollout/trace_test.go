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

// trace is a recorded sequence of events of a rollout with its expected outcome.
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

// traceEvent changes the conditions of the rollout and then lets time pass.
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

// tracePlayer replays a trace on a harness with regular traffic.
type tracePlayer struct {
	*harness
	settings      traceEvent
	missingZone   mesh.AvailabilityZone
	holderReports bool
	due           int64
	weightSum     int
	calls         [2]int
	records       []string
}

type noDisturbance struct{}

// choose avoids 0, which selects a disturbance in the property tests.
func (noDisturbance) choose(n int) int { return n - 1 }

func newTracePlayer(tr trace) *tracePlayer {
	testMS := tr.DurationMS
	h := &harness{choose: noDisturbance{}, log: state.New(), totals: map[mesh.AvailabilityZone]rollout.Evidence{}}
	h.apply(record.Record{ID: "s", Body: record.PutService{Name: "courier", Version: "v1"}})
	h.apply(record.Record{ID: "v", ExpectedRevision: 1, Body: record.PutVersion{Service: "courier", Version: "v2"}})
	h.id = h.apply(record.Record{ID: "r", Body: record.StartRollout{
		Service: "courier", From: "v1", To: "v2", StartUnixMS: testStart, DeadlineUnixMS: testStart + testMS,
	}}).Offset
	h.check = &checker{self: "node-1"}
	for _, z := range testZones {
		h.totals[z] = rollout.Evidence{}
	}
	p := &tracePlayer{harness: h, settings: traceEvent{CallsMS: 50, NewMS: 10}}
	h.machine = mutated{rollout.NewController(rollout.ControllerConfig{Self: "node-1", Rollout: h.id}), p.recordAppends}
	return p
}

// recordAppends notes the records that the machine requests while the platform is
// available.
func (p *tracePlayer) recordAppends(_ rollout.Event, effects []rollout.Effect) []rollout.Effect {
	for _, e := range effects {
		a, ok := e.(rollout.AppendRecord)
		if !ok || p.platformOut {
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

func (p *tracePlayer) play(t *testing.T, e traceEvent) {
	if e.Live != nil {
		require.NoError(t, p.send(rollout.CandidatesChanged{Now: p.now, Live: e.Live}))
		require.NoError(t, p.send(rollout.ZonesChanged{Now: p.now, Zones: testZones}))
	}
	p.applyConditions(e)
	for end := p.now + time.Duration(e.ForMS)*time.Millisecond; p.now < end; {
		p.playSecond(t)
	}
}

func (p *tracePlayer) applyConditions(e traceEvent) {
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
		p.platformOut = *e.Out
	}
	if e.Silent != nil {
		p.missingZone = *e.Silent
	}
	if e.Heard != nil {
		p.holderReports = *e.Heard
	}
	if e.CallsMS > 0 {
		p.settings.CallsMS = e.CallsMS
	}
	if e.NewMS > 0 {
		p.settings.NewMS = e.NewMS
	}
	p.settings.OldFails, p.settings.NewFails = e.OldFails, e.NewFails
}

func (p *tracePlayer) playSecond(t *testing.T) {
	p.now += time.Second
	p.sequence++
	p.addTraffic()
	events := []rollout.Event{}
	if cur := p.log.Rollouts[p.id]; !p.platformOut {
		events = append(events, rollout.PlatformRead{Now: p.now, Revision: p.log.Revision})
		if cur.Revision != p.check.known.Revision {
			events = append(events, rollout.RolloutChanged{Now: p.now, UnixMS: p.unixMS(), Rollout: cur, Revision: p.log.Revision})
		}
	}
	if p.holderReports {
		events = append(events, rollout.HolderStatusReceived{Now: p.now, Rollout: p.id, Epoch: p.log.Rollouts[p.id].Epoch})
	}
	for _, z := range testZones {
		if z != p.missingZone {
			events = append(events, rollout.EvidenceReceived{
				Now: p.now, Source: mesh.NodeID(z), Session: "s", Zone: z, Sequence: p.sequence, Totals: p.copyOf(z),
			})
		}
	}
	for _, e := range append(events, rollout.Tick{Now: p.now, UnixMS: p.unixMS()}) {
		require.NoError(t, p.send(e))
	}
}

// addTraffic distributes regular calls over the zones, and over the versions by the
// weight.
func (p *tracePlayer) addTraffic() {
	for p.due += 1000; p.due >= p.settings.CallsMS; p.due -= p.settings.CallsMS {
		p.weightSum += int(p.log.Rollouts[p.id].Weight)
		version, fails, latency := 0, p.settings.OldFails, 10
		if p.weightSum >= 10_000 {
			p.weightSum -= 10_000
			version, fails, latency = 1, p.settings.NewFails, p.settings.NewMS
		}
		p.calls[version]++
		zone := testZones[p.calls[version]%len(testZones)]
		failed := fails > 0 && p.calls[version]%fails == 0
		// Latencies range over 40 % around their mean.
		spread := time.Duration(800+100*(p.calls[version]%5)) * time.Microsecond
		key := rollout.Key{Service: "courier", Version: []string{"v1", "v2"}[version], Route: "x", Zone: zone}
		p.totals[zone].AddCall(key, failed, time.Duration(latency)*spread)
	}
}

// Guards against a change of the controller that alters the outcome of a recorded
// sequence; each trace names the failure it covers.
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
			p := newTracePlayer(tr)
			for _, e := range tr.Events {
				p.play(t, e)
			}
			report := p.machine.(mutated).machine.(*rollout.Controller).Report()
			require.Equal(t, tr.Outcome.Records, p.records)
			require.Equal(t, tr.Outcome.Status, report.Status, report.Reason)
			require.Contains(t, report.Reason, tr.Outcome.Reason)
		})
	}
}
