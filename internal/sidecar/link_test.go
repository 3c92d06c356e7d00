package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards the estimate of link utilization: steady traffic shows as its share of the
// bandwidth and decays when it ends.
func TestLinkMeterFollowsTraffic(t *testing.T) {
	var now time.Duration
	m := &linkMeter{now: func() time.Duration { return now }, mbps: 10}
	for range 300 {
		now += 10 * time.Millisecond
		m.received(6250)
	}
	require.InDelta(t, 0.5, m.utilization(), 0.03, "625 KB/s are half of 10 Mbit/s")
	now += 5 * time.Second
	require.Less(t, m.utilization(), 0.01)
	require.Zero(t, (&linkMeter{now: m.now}).utilization(), "no limit is known")
}
