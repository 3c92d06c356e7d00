package evaluation

import (
	"fmt"
	"maps"
	"time"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/rollout"
	"heathercroft.example/heathercroft/pkg/state"
)

// evidenceInterval is how often nodes send evidence to the holder.
const evidenceInterval = time.Second

// machines runs the product's holder and one cutter per node over the reducer.
type machines struct {
	world   *world
	state   *state.State
	id      record.RolloutID
	holder  *rollout.Controller
	cutters []*rollout.Breaker
	cut     []bool
	totals  []rollout.Evidence
	fresh   []rollout.Evidence
	// snapshot holds what was sent last; it is renewed only if dirty.
	snapshot []rollout.Evidence
	dirty    []bool
	sent     uint64
	sentAt   time.Duration
	now      time.Duration
	unixMS   int64
	// warnedAt is when the holder first reported the rollout as at risk.
	warnedAt time.Duration
	// queue holds the effects of the last tick: they take one tick to arrive.
	queue []rollout.Effect
}

func newMachines(s Scenario, w *world, judge func(rollout.AnalyzerConfig) rollout.Analyzer) *machines {
	m := &machines{world: w, state: state.New(), unixMS: startUnixMS, cut: make([]bool, len(w.nodes))}
	m.append(record.Record{ID: "service", Body: record.PutService{Name: s.Service.Name, Version: oldVersion}})
	m.append(record.Record{ID: "version", ExpectedRevision: 1, Body: record.PutVersion{Service: s.Service.Name, Version: newVersion}})
	res := m.append(record.Record{ID: "start", Body: record.StartRollout{
		Service: s.Service.Name, From: oldVersion, To: newVersion,
		StartUnixMS: startUnixMS, DeadlineUnixMS: startUnixMS + s.Duration.Milliseconds(),
	}})
	m.id = res.Outcome.Offset
	m.holder = rollout.NewController(rollout.ControllerConfig{Self: w.nodes[0], Rollout: m.id, NewAnalyzer: judge})
	for n, node := range w.nodes {
		m.cutters = append(m.cutters, rollout.NewBreaker(rollout.BreakerConfig{
			Self: node, Zone: s.Profile.Zones[w.zoneOf[n]], NewAnalyzer: judge,
		}))
		m.totals = append(m.totals, rollout.Evidence{})
		m.fresh = append(m.fresh, rollout.Evidence{})
		m.step(n, rollout.CandidatesChanged{Live: w.nodes})
	}
	m.snapshot, m.dirty = make([]rollout.Evidence, len(w.nodes)), make([]bool, len(w.nodes))
	m.take(m.holder.Step(rollout.CandidatesChanged{Live: w.nodes[:1]}))
	m.take(m.holder.Step(rollout.PlatformRead{}))
	m.take(m.holder.Step(rollout.ZonesChanged{Zones: s.Profile.Zones}))
	m.changed()
	return m
}

func (m *machines) share(node int) record.BasisPoints {
	r := m.state.Rollouts[m.id]
	if m.cut[node] {
		return 0
	}
	return r.Weight
}

func (m *machines) counted(c call) {
	m.dirty[c.node] = true
	m.totals[c.node].AddCall(c.key, c.failed, c.latency)
	m.fresh[c.node].AddCall(c.key, c.failed, c.latency)
}

func (m *machines) tick(now time.Duration, unixMS int64) {
	m.now, m.unixMS = now, unixMS
	arrived := m.queue
	m.queue = nil
	for _, e := range arrived {
		m.carryOut(e)
	}
	for n := range m.cutters {
		if len(m.fresh[n]) > 0 {
			m.step(n, rollout.LocalEvidence{Now: now, Delta: m.fresh[n]})
			m.fresh[n] = rollout.Evidence{}
		}
		m.step(n, rollout.Tick{Now: now, UnixMS: unixMS})
	}
	if now-m.sentAt >= evidenceInterval {
		m.sendEvidence()
	}
	m.take(m.holder.Step(rollout.PlatformRead{Now: now, Revision: m.state.Revision}))
	m.take(m.holder.Step(rollout.Tick{Now: now, UnixMS: unixMS}))
}

func (m *machines) sendEvidence() {
	m.sentAt = m.now
	m.sent++
	for n, node := range m.world.nodes {
		if m.dirty[n] {
			m.snapshot[n], m.dirty[n] = maps.Clone(m.totals[n]), false
		}
		m.take(m.holder.Step(rollout.EvidenceReceived{
			Now: m.now, Source: node, Session: "s", Sequence: m.sent, Totals: m.snapshot[n],
			Zone: m.world.scenario.Profile.Zones[m.world.zoneOf[n]],
		}))
	}
}

func (m *machines) result() Result {
	switch m.state.Rollouts[m.id].Status {
	case state.RolloutDone:
		return Done
	case state.RolloutRolledBack:
		return Reversed
	default:
		return Open
	}
}

func (m *machines) reason() string { return m.state.Rollouts[m.id].Reason }

func (m *machines) warned() time.Duration { return m.warnedAt }

// step gives an event to one cutter. A cut is in force at once.
func (m *machines) step(node int, e rollout.Event) {
	for _, effect := range m.cutters[node].Step(e) {
		if _, ok := effect.(rollout.CutVersion); ok {
			m.cut[node] = true
			continue
		}
		m.queue = append(m.queue, effect)
	}
}

func (m *machines) take(effects []rollout.Effect) { m.queue = append(m.queue, effects...) }

func (m *machines) carryOut(e rollout.Effect) {
	switch e := e.(type) {
	case rollout.AppendRecord:
		res := m.append(e.Record)
		m.take(m.holder.Step(rollout.AppendResult{Now: m.now, ID: e.Record.ID, Outcome: res.Outcome}))
		m.changed()
	case rollout.PublishStatus:
		if e.Report.Status == rollout.StatusAtRisk && m.warnedAt == 0 {
			m.warnedAt = m.now
		}
	case rollout.NotifyCut:
		for n := range m.cutters {
			m.step(n, rollout.CutReceived{Now: m.now, Cut: e.Cut})
		}
		m.take(m.holder.Step(rollout.CutReceived{Now: m.now, Cut: e.Cut}))
	}
}

// changed tells all machines the reducer's view of the rollout.
func (m *machines) changed() {
	e := rollout.RolloutChanged{Now: m.now, UnixMS: m.unixMS, Rollout: m.state.Rollouts[m.id], Revision: m.state.Revision}
	for n := range m.cutters {
		m.step(n, e)
	}
	m.take(m.holder.Step(e))
}

// append reduces a record, as the platform's log would deliver it.
func (m *machines) append(rec record.Record) state.Result {
	if rec.Base == 0 {
		rec.Base = m.state.Revision
	}
	data, err := record.Encode(rec)
	if err != nil {
		panic(fmt.Sprintf("machine emitted a record that can't be encoded: %v", err))
	}
	res, err := m.state.Apply(m.state.Revision+1, data)
	if err != nil {
		panic(fmt.Sprintf("reducer stopped: %v", err))
	}
	return res
}
