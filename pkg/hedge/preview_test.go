package hedge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/hedge"
)

// Guards against a preview that differs from the decision, and against one that uses up the copies
// that requests have earned or counts as a request.
func TestPreviewIsTheDecisionAndTakesNothing(t *testing.T) {
	h := trained(hedge.Policy{Limit: hedge.Limit{Share: 0.01, Burst: 1}})
	for range 1000 {
		require.Equal(t, hedge.Send, h.Preview(lateRequest(), 0, allow).Action)
	}
	h.RecordRequest("r", "s", 1)
	require.Equal(t, h.Preview(lateRequest(), 0, allow), h.Decide(lateRequest(), 0, allow))
	for range 1000 {
		require.Equal(t, hedge.ReasonLimit, h.Preview(lateRequest(), 0, allow).Reason)
	}
	require.Equal(t, hedge.ReasonLimit, h.Decide(lateRequest(), 0, allow).Reason)
	require.Equal(t, hedge.ReasonOff, hedge.New(hedge.Policy{}).Preview(lateRequest(), time.Second, allow).Reason)
}
