package query

import (
	"context"
	"fmt"
	"sync"
	"time"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// testNow is the wall clock of the fake node.
var testNow = time.Date(2026, 1, 2, 15, 0, 0, 0, time.UTC)

// fakeNode is a Backend with an in-memory log. Its zones apply each record
// immediately, except for those in lagging.
type fakeNode struct {
	mu       sync.Mutex
	state    *state.State
	inForce  InForce
	statuses map[string]ChangeStatus
	reports  map[record.RolloutID]RolloutReport
	waiting  []WaitingChange
	lagging  map[string]bool
	submits  int
	changed  chan struct{}
	onSubmit func(Submission) ChangeStatus
}

func newFakeNode() *fakeNode {
	n := &fakeNode{
		state: state.New(), statuses: map[string]ChangeStatus{}, reports: map[record.RolloutID]RolloutReport{},
		lagging: map[string]bool{}, changed: make(chan struct{}),
	}
	n.inForce.PlatformReachable = true
	for _, zone := range []string{"casa-a", "casa-b", "rabat-a"} {
		n.inForce.Zones = append(n.inForce.Zones, ZoneReport{Zone: zone, Region: "maghreb-west", Visible: true, AsOf: testNow, Nodes: 2})
	}
	n.onSubmit = n.append
	return n
}

// seeded returns a node with a service, two versions and a route.
func seeded() *fakeNode {
	n := newFakeNode()
	n.write("seed-1", "casa-a-1", 0, record.PutService{Name: "courier", Version: "v1"})
	n.write("seed-2", "casa-a-1", 1, record.PutVersion{Service: "courier", Version: "v2"})
	n.write("seed-3", "casa-b-1", 0, record.PutRoute{Name: "api", Prefix: "/courier", Service: "courier"})
	return n
}

// NewFakeBackend returns a fake node for tests outside the package.
func NewFakeBackend() Backend { return seeded() }

func (n *fakeNode) write(id, author string, expected record.Revision, body record.Body) state.Outcome {
	data, err := record.Encode(record.Record{ID: id, Author: author, Base: n.state.Revision, ExpectedRevision: expected, Body: body})
	if err != nil {
		panic(err)
	}
	next := n.state.Clone()
	res, err := next.Apply(next.Revision+1, data)
	if err != nil {
		panic(err)
	}
	n.state = next
	n.inForce.Head = next.Revision
	for i := range n.inForce.Zones {
		if z := &n.inForce.Zones[i]; !n.lagging[z.Zone] {
			z.Applied = []RevisionCount{{Revision: next.Revision, Nodes: z.Nodes}}
		}
	}
	return res.Outcome
}

func (n *fakeNode) append(s Submission) ChangeStatus {
	o := n.write(s.ID, "casa-a-1", s.ExpectedRevision, s.Body)
	return ChangeStatus{Stage: StageDecided, Outcome: o, Cost: &Price{Bytes: 210, Appends: 1, Reads: 6}}
}

// update changes the node and notifies waiting commands.
func (n *fakeNode) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *fakeNode) Now() time.Time { return testNow }

func (n *fakeNode) State() *state.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state
}

func (n *fakeNode) InForce() InForce {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.inForce
	f.Zones = append([]ZoneReport(nil), f.Zones...)
	return f
}

func (n *fakeNode) Nodes() []NodeReport {
	var rows []NodeReport
	for _, z := range n.InForce().Zones {
		for i := 1; i <= z.Nodes; i++ {
			rows = append(rows, NodeReport{
				Node: fmt.Sprintf("%s-%d", z.Zone, i), Zone: z.Zone, Region: z.Region, State: "alive",
				Address: fmt.Sprintf("10.0.0.%d:7002", i), Revision: z.Applied[0].Revision, Service: "courier", Version: "v1",
			})
		}
	}
	return rows
}

func (n *fakeNode) Rollout(id record.RolloutID) (RolloutReport, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, ok := n.reports[id]
	return r, ok
}

func (n *fakeNode) Price(body record.Body, wait time.Duration) Price {
	data, _ := record.Encode(record.Record{ID: "x", Body: body})
	if wait > 0 {
		return Price{Bytes: int64(len(data)), Appends: 0.25, Reads: 1.5}
	}
	return Price{Bytes: int64(len(data)), Appends: 1, Reads: 6}
}

func (n *fakeNode) Waiting() []WaitingChange { return n.waiting }

func (n *fakeNode) Submit(ctx context.Context, s Submission) ChangeStatus {
	if ctx.Err() != nil {
		return ChangeStatus{Stage: StageNotRun, Reason: ctx.Err().Error()}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.submits++
	f := n.onSubmit(s)
	if f.Stage != StageNotRun {
		n.statuses[s.ID] = f
	}
	return f
}

func (n *fakeNode) ChangeStatus(id string) ChangeStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	if f, ok := n.statuses[id]; ok {
		return f
	}
	return ChangeStatus{Stage: StageNone}
}

func (n *fakeNode) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}
