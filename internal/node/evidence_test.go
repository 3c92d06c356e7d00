package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/callpath"
	"heathercroft.example/heathercroft/pkg/retry"
	"heathercroft.example/heathercroft/pkg/rollout"
)

// Guards against evidence that fails a version for causes outside of it: refusals
// before the target, cold starts and connection setup.
func TestEvidenceExcludesCausesOutsideTheVersion(t *testing.T) {
	sample := callpath.Sample{Service: "courier", Version: "v2", Route: "r", Zone: "casa-a", Status: 200, Latency: time.Millisecond}
	with := func(change func(*callpath.Sample)) callpath.Sample {
		s := sample
		change(&s)
		return s
	}
	key := rollout.Key{Service: "courier", Version: "v2", Route: "r", Zone: "casa-a"}
	for name, c := range map[string]struct {
		sample                 callpath.Sample
		calls, failures, timed uint64
	}{
		"answer":              {sample, 1, 0, 1},
		"server error":        {with(func(s *callpath.Sample) { s.Status = 500 }), 1, 1, 0},
		"reset":               {with(func(s *callpath.Sample) { s.Outcome = retry.ResetAfterWrite }), 1, 1, 0},
		"refused connection":  {with(func(s *callpath.Sample) { s.Outcome = retry.ConnectionRefused }), 1, 1, 0},
		"refused by node":     {with(func(s *callpath.Sample) { s.Outcome = retry.RefusedByNode }), 0, 0, 0},
		"shed by target":      {with(func(s *callpath.Sample) { s.Outcome = retry.RefusedByTarget }), 0, 0, 0},
		"fresh connection":    {with(func(s *callpath.Sample) { s.FreshConnection = true }), 1, 0, 0},
		"cold start":          {with(func(s *callpath.Sample) { s.ColdStart = true }), 1, 0, 0},
		"error in cold start": {with(func(s *callpath.Sample) { s.ColdStart, s.Status = true, 500 }), 1, 1, 0},
		"slow in cold start":  {with(func(s *callpath.Sample) { s.ColdStart, s.Outcome = true, retry.TimedOut }), 0, 0, 0},
		"broken off":          {with(func(s *callpath.Sample) { s.Outcome, s.Correction = retry.ShortBody, true }), 1, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEvidence()
			e.Record(c.sample)
			got := e.collect()[key]
			require.Equal(t, c.calls, got.Calls)
			require.Equal(t, c.failures, got.Failures)
			require.Equal(t, c.timed, got.Latency.Total())
			require.Empty(t, e.collect())
		})
	}
}
