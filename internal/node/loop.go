package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"heathercroft.example/heathercroft/internal/callpath"
	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/internal/rpc"
	"heathercroft.example/heathercroft/pkg/idempotency"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/routing"
	"heathercroft.example/heathercroft/pkg/timeline"
)

const (
	// inboxSize limits the events queued for the reducer. All protocols between nodes
	// tolerate loss, so excess messages are dropped and counted.
	inboxSize = 4096
	// maxConcurrentSends limits the messages in flight to other nodes.
	maxConcurrentSends = 128
	// sendTimeout limits the delivery of one message, after which an unresponsive
	// connection is dropped.
	sendTimeout = time.Second
	// evidenceInterval is the time between two collections of evidence, well under
	// the limit of 1 s for a local cut.
	evidenceInterval = 250 * time.Millisecond
)

// loop owns the reducer: it passes events to it one at a time and executes the
// effects. It implements transport.Server of kratos.
type loop struct {
	node     *Node
	core     *core.Core
	platform *platform
	keys     *keyOwners
	client   *rpc.Client
	start    time.Time

	inbox    chan core.Event
	queries  chan func()
	stop     chan struct{}
	ended    chan struct{}
	stopOnce sync.Once

	table     atomic.Pointer[routing.Table]
	target    atomic.Pointer[mesh.Target]
	tracker   *routing.Tracker
	cold      coldStartTracker
	ready     bool
	sendSlots chan struct{}

	changedMu sync.Mutex
	changed   chan struct{}

	inboxDropped, sendsDropped, sendsFailed, sent atomic.Int64
}

func newLoop(n *Node) *loop {
	local := n.settings.Listen.RPC.Addr()
	l := &loop{
		node: n, client: rpc.NewClient(n.counters, local), start: time.Now(),
		inbox: make(chan core.Event, inboxSize), queries: make(chan func()), stop: make(chan struct{}),
		ended: make(chan struct{}), tracker: routing.NewTracker(), sendSlots: make(chan struct{}, maxConcurrentSends),
		changed: make(chan struct{}),
	}
	seeds := make([]netip.AddrPort, 0, len(n.settings.Peers.Seeds))
	for _, s := range n.settings.Peers.Seeds {
		seeds = append(seeds, s.AddrPort)
	}
	l.core = core.New(core.Config{
		Self: n.self, StartUnixMS: l.start.UnixMilli(), Seeds: seeds, Seed: randomSeed(), Keys: keyConfig(n),
	})
	l.keys = newKeyOwners(l)
	l.cold.now = l.now
	l.platform = newPlatform(l, platformClient(n.settings.Platform, local), n.settings.Platform)
	return l
}

func randomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// now is the monotonic time since the start of the process.
func (l *loop) now() time.Duration { return time.Since(l.start) }

func (l *loop) time() core.Time {
	return core.Time{Now: l.now(), UnixMS: time.Now().UnixMilli()}
}

// Start runs the reducer until Stop.
func (l *loop) Start(context.Context) error {
	defer close(l.ended)
	tick := time.NewTicker(core.TickInterval)
	defer tick.Stop()
	collect := time.NewTicker(evidenceInterval)
	defer collect.Stop()
	l.step(core.Started{})
	for {
		select {
		case <-l.stop:
			return nil
		case e := <-l.inbox:
			l.step(e)
		case q := <-l.queries:
			q()
		case <-tick.C:
			l.step(core.Tick{})
		case <-collect.C:
			if delta := l.node.evidence.collect(); len(delta) > 0 {
				l.step(core.EvidenceCounted{Delta: delta})
			}
		}
	}
}

// Stop ends the reducer and its connections.
func (l *loop) Stop(context.Context) error {
	l.stopOnce.Do(func() { close(l.stop) })
	<-l.ended
	l.platform.close()
	l.client.Close()
	return nil
}

// post queues an event that must not be lost. It blocks while the inbox is full,
// at most until the loop ends.
func (l *loop) post(e core.Event) {
	select {
	case l.inbox <- e:
	case <-l.ended:
	}
}

// tryPost queues an event, or drops it if the inbox is full.
func (l *loop) tryPost(e core.Event) {
	select {
	case l.inbox <- e:
	default:
		l.inboxDropped.Add(1)
	}
}

// query runs a function between two events. It returns false if the loop has ended.
func (l *loop) query(f func(*core.Core)) bool {
	done := make(chan struct{})
	select {
	case l.queries <- func() { f(l.core); close(done) }:
		<-done
		return true
	case <-l.ended:
		return false
	}
}

func (l *loop) step(e core.Event) {
	rebuild := false
	for _, effect := range l.core.Step(l.time(), e) {
		switch effect := effect.(type) {
		case core.Send:
			l.send(effect)
		case core.SendSnapshot:
			l.sendSnapshot(effect)
		case core.ReadLog:
			l.platform.read(effect)
		case core.ReadSnapshots:
			l.platform.readSnapshots(effect)
		case core.Append:
			l.platform.append(effect)
		case core.AppendSnapshot:
			l.platform.appendSnapshot(l.core.State())
		case core.PublishTable:
			rebuild = true
		case core.PublishReady:
			l.ready = effect.Ready
			rebuild = true
		case core.KeyExecute:
			l.keys.deliver(effect.ID, callpath.KeyGrant{Execute: true, Fence: callpath.FencingToken(effect.Fence)})
		case core.KeyReplay:
			l.keys.deliver(effect.ID, callpath.KeyGrant{Replay: storedResponse(effect.Response)})
		case core.KeyRefuse:
			l.keys.deliver(effect.ID, callpath.KeyGrant{Refusal: callpath.KeyRefusal(idempotency.Refuse(effect))})
		case core.PublishKeys:
			l.keys.publish(l.core, effect.Members)
		case core.KeysReleased:
			l.keys.releasedOnce.Do(func() { close(l.keys.released) })
		case core.TargetLost:
			l.cold.reset()
			l.node.calls.TargetExpired()
		case core.CountCrashes:
			for _, f := range effect.Report.Fingerprints {
				l.node.calls.RecordRemoteCrash(callpath.Fingerprint(f))
			}
		case core.NotifyWaiters:
			l.notify()
		case core.TimelineEvent:
			l.recordEvent(effect)
		}
	}
	if rebuild {
		l.rebuild()
	}
}

// rebuild publishes the local target and, if the node is ready, a new routing table.
func (l *loop) rebuild() {
	if t, ok := l.core.Target(); ok {
		l.target.Store(&t)
	} else {
		l.target.Store(nil)
	}
	if !l.ready {
		return
	}
	l.table.Store(routing.Build(l.core.Routing(), l.tracker, l.now()))
}

func (l *loop) localTarget() (mesh.Target, bool) {
	if t := l.target.Load(); t != nil {
		return *t, true
	}
	return mesh.Target{}, false
}

// notify wakes all callers that wait for changes.
func (l *loop) notify() {
	l.changedMu.Lock()
	defer l.changedMu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *loop) changes() <-chan struct{} {
	l.changedMu.Lock()
	defer l.changedMu.Unlock()
	return l.changed
}

func (l *loop) recordEvent(n core.TimelineEvent) {
	l.record(n.Kind, uint64(n.Revision), n.Fields)
}

// record adds an event to the timeline and writes it to the process log, from which
// it can be collected as well.
func (l *loop) record(kind timeline.Kind, revision uint64, fields map[string]string) {
	e := l.node.recorder.Record(kind, revision, fields)
	l.node.logger.Info(string(kind), timeline.LogAttr(e))
}

// send delivers a message. The response only acknowledges the receipt, so that an
// unresponsive connection is detected.
func (l *loop) send(e core.Send) {
	select {
	case l.sendSlots <- struct{}{}:
	default:
		l.sendsDropped.Add(1)
		return
	}
	l.sent.Add(1)
	go func() {
		defer func() { <-l.sendSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		if err := l.client.Call(ctx, e.To, e.Method, e.Params, nil); err != nil {
			l.sendsFailed.Add(1)
		}
	}()
}
