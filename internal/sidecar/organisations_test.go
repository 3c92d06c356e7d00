package sidecar

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards the memory of a node that is asked by many organisations: metrics are kept for the 100 most
// recent ones.
func TestMetricsOfOrganisationsAreBounded(t *testing.T) {
	var m organisationMetrics
	m.count("", func(c *organisationCounts) { c.Requests++ })
	for i := range 10 * maxCountedOrganisations {
		m.count("always", func(c *organisationCounts) { c.Requests++ })
		m.count(fmt.Sprint("o", i), func(c *organisationCounts) { c.Requests++ })
	}
	got := m.snapshot()
	require.Len(t, got, maxCountedOrganisations)
	require.EqualValues(t, 10*maxCountedOrganisations, got["always"].Requests)
	require.Contains(t, got, fmt.Sprint("o", 10*maxCountedOrganisations-1))
	m.countAdmission("always", 20*time.Millisecond, &refusal{reason: reasonShare})
	require.EqualValues(t, 1, m.snapshot()["always"].ShareRejected)
}

// Guards against requests that are counted for no organisation or the wrong one: at the node of the
// caller when they arrive, at that of the target when they are passed on.
func TestRequestsAreCountedForTheirOrganisation(t *testing.T) {
	nodes, _, log := newOrganisationMesh(t)
	for i := range 70 {
		status, _ := nodes[0].ask(t, "/read/x", fmt.Sprint("r", i), http.Header{"X-Key": {keyNorth}})
		require.Equal(t, http.StatusOK, status)
	}
	nodes[0].ask(t, "/read/x", "r", http.Header{"X-Key": {"unknown"}})
	require.Equal(t, map[string]organisationCounts{"north": {Requests: 70, lastUsed: 70}}, nodes[0].metrics.organisations.snapshot())
	require.EqualValues(t, 70, nodes[1].metrics.organisations.snapshot()["north"].TargetRequests)
	require.Contains(t, log.String(), "msg=call_ended organisation=north")
}
