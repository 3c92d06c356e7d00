package node

import (
	"sync"
	"time"

	"heathercroft.example/heathercroft/internal/callpath"
	"heathercroft.example/heathercroft/pkg/retry"
	"heathercroft.example/heathercroft/pkg/rollout"
)

// evidenceShards is the number of shards that reduce lock contention on the hot path.
const evidenceShards = 8

// evidence aggregates the samples of the call path between two collections.
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
		// A refusal before the target is unrelated to the version, and a target
		// that sheds load is no worse than one that queues.
		return
	}
	key := rollout.Key{Service: s.Service, Version: s.Version, Route: s.Route, Zone: s.Zone}
	shard := &e.shards[uint(s.Latency/time.Microsecond)%evidenceShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if s.ColdStart && s.Outcome == retry.TimedOut {
		// A cold start is slow, so a deadline may pass during it.
		return
	}
	if (s.FreshConnection || s.ColdStart) && !s.Failed() {
		shard.counts.AddUntimedCall(key)
		return
	}
	// A response that is truncated after it was counted is counted again as a
	// failure: the two samples may fall into different collections.
	shard.counts.AddCall(key, s.Failed(), s.Latency)
}

// collect returns and resets the counts since the previous call.
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
