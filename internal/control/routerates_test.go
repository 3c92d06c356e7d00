package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/canary"
)

// Guards against a move that waits for a route to be tried which had requests before the order only.
func TestRouteRatesAreThoseDuringTheMove(t *testing.T) {
	var r routeRates
	old := canary.Evidence{"steady": {Responses: 100}, "before": {Responses: 200}}
	_, ok := r.perSecond("steady")
	require.False(t, ok)
	for i := range 40 {
		now := time.Duration(i) * canary.EvidenceInterval
		old["steady"] = canary.Counts{Responses: 100 + i}
		r.observe(now, old, canary.Evidence{"steady": {Responses: i}})
		if _, ok := r.perSecond("steady"); now < 3*time.Second {
			require.False(t, ok, "the nodes learn each other's counts")
		}
	}
	perSecond, ok := r.perSecond("steady")
	require.True(t, ok)
	require.InDelta(t, 8, perSecond, 0.5)
	perSecond, _ = r.perSecond("before")
	require.Zero(t, perSecond)
	require.LessOrEqual(t, len(r.samples), 8)
	// The node that counted them has restarted.
	r.observe(time.Minute, canary.Evidence{"steady": {Responses: 3}}, nil)
	r.observe(time.Minute+3*time.Second, canary.Evidence{"steady": {Responses: 1}}, nil)
	perSecond, _ = r.perSecond("steady")
	require.Zero(t, perSecond)
}
