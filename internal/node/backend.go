package node

import (
	"context"
	"encoding/json"
	"time"

	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/internal/query"
	"heathercroft.example/heathercroft/pkg/membership"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/pricing"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/rollout"
	"heathercroft.example/heathercroft/pkg/state"
)

// backend implements the operators' commands on the reducer.
type backend struct{ loop *loop }

var _ query.Backend = backend{}

// Now implements query.Backend.
func (b backend) Now() time.Time { return time.Now() }

// State implements query.Backend.
func (b backend) State() *state.State {
	s := state.New()
	b.loop.query(func(c *core.Core) { s = c.State() })
	return s
}

// Changed implements query.Backend.
func (b backend) Changed() <-chan struct{} { return b.loop.changes() }

// InForce implements query.Backend.
func (b backend) InForce() query.InForce {
	var out query.InForce
	b.loop.query(func(c *core.Core) {
		head, _, _ := c.Head()
		out.Head = head
		out.PlatformReachable = c.PlatformReachable()
		for _, z := range c.Zones() {
			out.Zones = append(out.Zones, zoneReport(z))
		}
	})
	return out
}

func zoneReport(z core.ZoneReport) query.ZoneReport {
	report := query.ZoneReport{
		Zone: string(z.Zone), Region: string(z.Region), Visible: z.Visible && z.ContactKnown, Nodes: z.Nodes,
	}
	if z.ContactKnown {
		report.AsOf = time.Now().Add(-z.ContactAge)
	}
	for _, a := range z.Applied {
		report.Applied = append(report.Applied, query.RevisionCount(a))
	}
	for _, n := range z.NACKs {
		report.NACKs = append(report.NACKs, query.NACK{Node: string(n.Node), Revision: n.Revision, Reason: n.Reason})
	}
	return report
}

// Nodes implements query.Backend.
func (b backend) Nodes() []query.NodeReport {
	var out []query.NodeReport
	b.loop.query(func(c *core.Core) {
		visible := map[mesh.AvailabilityZone]bool{}
		for _, z := range c.Zones() {
			visible[z.Zone] = z.Visible
		}
		for _, m := range c.Members() {
			out = append(out, nodeReport(m, visible[m.Info.Zone]))
		}
	})
	return out
}

func nodeReport(m membership.Member, visible bool) query.NodeReport {
	report := query.NodeReport{
		Node: string(m.Info.ID), Zone: string(m.Info.Zone), Region: string(m.Info.Region),
		Address: m.Info.CallAddress.String(), State: string(m.State), Revision: m.Revision,
	}
	if !visible {
		report.State = "unknown"
	}
	if m.Target != nil {
		report.Service, report.Version = m.Target.Service, m.Target.Version
	}
	return report
}

// Rollout implements query.Backend.
func (b backend) Rollout(id record.RolloutID) (query.RolloutReport, bool) {
	var out query.RolloutReport
	known := false
	b.loop.query(func(c *core.Core) {
		report, fresh, ok := c.RolloutReport(id)
		if !ok {
			return
		}
		known = true
		out = rolloutReport(report)
		if !fresh && !c.PlatformReachable() {
			out.Unknown, out.UnknownReason = true, "this zone can see neither the platform nor the holder of the move"
		}
		for _, cut := range c.Cuts() {
			if cut.Rollout == id {
				out.CutZones = append(out.CutZones, string(cut.Zone))
			}
		}
	})
	return out, known
}

func rolloutReport(r rollout.Report) query.RolloutReport {
	out := query.RolloutReport{
		AtRisk:  r.Status == rollout.StatusAtRisk,
		Unknown: r.Status == rollout.StatusUnknown,
	}
	if out.AtRisk {
		out.AtRiskReason = r.Reason
	}
	if out.Unknown {
		out.UnknownReason = r.Reason
	}
	if r.ExpectedUnixMS > 0 {
		out.Expected = time.UnixMilli(r.ExpectedUnixMS)
	}
	return out
}

// Price implements query.Backend.
func (b backend) Price(body record.Body, wait time.Duration) query.Price {
	data, err := json.Marshal(body)
	if err != nil {
		return query.Price{}
	}
	var price pricing.Price
	b.loop.query(func(c *core.Core) { price = c.EstimatePrice(len(data), wait) })
	return queryPrice(price)
}

func queryPrice(p pricing.Price) query.Price {
	return query.Price{Bytes: int64(p.Bytes), Appends: p.Appends, Reads: p.Reads}
}

// Waiting implements query.Backend.
func (b backend) Waiting() []query.WaitingChange {
	var out []query.WaitingChange
	b.loop.query(func(c *core.Core) {
		for _, f := range c.WaitingChanges() {
			out = append(out, query.WaitingChange{ID: f.Submission.ID, Text: f.Submission.Text, Due: b.due(f)})
		}
	})
	return out
}

// due converts the due time of a change from the monotonic to the wall clock.
func (b backend) due(f core.ChangeStatus) time.Time { return b.loop.start.Add(f.Due) }

// Submit implements query.Backend.
func (b backend) Submit(_ context.Context, s query.Submission) query.ChangeStatus {
	b.loop.post(core.ChangeSubmitted{Submission: core.Submission{
		ID: s.ID, Body: s.Body, ExpectedRevision: s.ExpectedRevision, Wait: s.Wait, Text: s.Text,
	}})
	return b.ChangeStatus(s.ID)
}

// ChangeStatus implements query.Backend.
func (b backend) ChangeStatus(id string) query.ChangeStatus {
	var f core.ChangeStatus
	if !b.loop.query(func(c *core.Core) { f = c.ChangeStatus(id) }) {
		return query.ChangeStatus{Stage: query.StageUnknown, Reason: "the node stops"}
	}
	out := query.ChangeStatus{Outcome: f.Outcome, Reason: f.Reason}
	switch f.Stage {
	case core.StageNone:
		out.Stage = query.StageNone
	case core.StageNotRun:
		out.Stage, out.Elsewhere = query.StageNotRun, true
	case core.StageWaiting:
		out.Stage, out.Due = query.StageWaiting, b.due(f)
	case core.StageDecided:
		out.Stage = query.StageDecided
		price := queryPrice(f.Price)
		out.Cost = &price
	default:
		out.Stage = query.StageUnknown
	}
	return out
}

// refreshRollouts requests the reports of the open rollouts from their holders, so
// that replies to operators are as recent as the holder's own.
func (b backend) refreshRollouts(ctx context.Context) {
	type holder struct {
		id   record.RolloutID
		node mesh.NodeInfo
	}
	var holders []holder
	b.loop.query(func(c *core.Core) {
		for id, r := range c.State().Rollouts {
			if !r.Open() || r.Holder == string(b.loop.node.self.ID) {
				continue
			}
			for _, m := range c.Members() {
				if string(m.Info.ID) == r.Holder {
					holders = append(holders, holder{id, m.Info})
				}
			}
		}
	})
	ctx, cancel := context.WithTimeout(ctx, rolloutRefreshTimeout)
	defer cancel()
	for _, h := range holders {
		var report rollout.Report
		if b.loop.client.Call(ctx, h.node.RPCAddress, methodReport, reportParams{h.id}, &report) != nil {
			continue
		}
		status := core.HolderStatus{Holder: h.node.ID, Report: report}
		b.loop.query(func(c *core.Core) { status.Epoch = c.State().Rollouts[h.id].Epoch })
		b.loop.post(core.HolderStatusReceived{Status: status})
	}
}

// rolloutRefreshTimeout limits the wait for the holders of rollouts.
const rolloutRefreshTimeout = 500 * time.Millisecond

// zoneRefreshInterval is the time between two requests for the reports of other
// zones while an operator waits for a change to be in force. assessInterval is the
// time between two evaluations of them: a newer report alone wakes no waiter.
const (
	zoneRefreshInterval = time.Second
	assessInterval      = 200 * time.Millisecond
)

// refreshZones requests the reports of the other zones until ctx ends. Otherwise the
// readers contact one zone in turn every 2 s, which is too slow to confirm a change
// within its limit of 9 s.
func (b backend) refreshZones(ctx context.Context) {
	refresh := time.NewTicker(zoneRefreshInterval)
	defer refresh.Stop()
	assess := time.NewTicker(assessInterval)
	defer assess.Stop()
	b.loop.post(core.RefreshZones{})
	for {
		select {
		case <-ctx.Done():
			return
		case <-refresh.C:
			b.loop.post(core.RefreshZones{})
		case <-assess.C:
			b.loop.notify()
		}
	}
}
