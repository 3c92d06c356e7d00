package node

import (
	"sync"
	"time"

	"heathercroft.example/heathercroft/internal/callpath"
	"heathercroft.example/heathercroft/pkg/retry"
	"heathercroft.example/heathercroft/pkg/rollout"
)

// evidenceShards spreads the lock of the hot path.
const evidenceShards = 8

// evidence collects the samples of the call path between two collections.
type evidence struct {
	shards [evidenceShards]evidenceShard
}

type evidenceShard struct {
	mu     sync.Mutex
	counts rollout.Evidence
	_      [40]byte // keeps the locks of two shards off one cache line
}

func newEvidence() *evidence {
	e := &evidence{}
	for i := range e.shards {
		e.shards[i].counts = rollout.Evidence{}
	}
	return e
}

// Record implements callpath.Recorder.
func (e *evidence) Record(s callpath.Sample) {
	if s.Outcome.NotRun() && s.Outcome != retry.ConnectionRefused {
		// A refusal before the target says nothing about the version, and a
		// target that sheds load is no worse than one that queues.
		return
	}
	key := rollout.Key{Service: s.Service, Version: s.Version, Route: s.Route, Zone: s.Zone}
	shard := &e.shards[uint(s.Latency/time.Microsecond)%evidenceShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if s.ColdStart && s.Outcome == retry.TimedOut {
		// A cold start is slow, so that a deadline may pass in it.
		return
	}
	if (s.FreshConnection || s.ColdStart) && !s.Failed() {
		shard.counts.AddUntimedCall(key)
		return
	}
	// A response that broke off after it was counted is counted once more, as a
	// failure: the two samples may fall into different collections.
	shard.counts.AddCall(key, s.Failed(), s.Latency)
}

// collect returns what was counted since the last call.
func (e *evidence) collect() rollout.Evidence {
	total := rollout.Evidence{}
	for i := range e.shards {
		shard := &e.shards[i]
		shard.mu.Lock()
		counts := shard.counts
		if len(counts) > 0 {
			shard.counts = rollout.Evidence{}
		}
		shard.mu.Unlock()
		total.Merge(counts)
	}
	return total
}
