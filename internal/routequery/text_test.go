package routequery

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against text that leaves out why a target gets nothing, or what a caller is told.
func TestTextTellsReasonsAndRefusal(t *testing.T) {
	limit, left, age := 15.0, 0.2, 450.0
	a := Answer{
		Node: "n1", Zone: "z1", Config: &Config{Version: 28, AgeMS: 12_340, ProofAgeMS: 400, StoreLost: true},
		Route:   &Route{Name: "r1", Host: "a.example", Prefix: "/x/", Kind: "safe", TimeoutMS: 1200, ObjectiveMS: 300, AllowedRegions: []string{"north"}, Split: []Weight{{"s1", 90}, {"s2", 10}}},
		Request: Request{Service: "s1", MoveOpen: true, NewShare: 0.25},
		Targets: []Target{
			{Target: "t1", Node: "n1", Candidate: true, Cost: 1.5, Reasons: []string{"cold-limit-used-up", "disturbed"}, RateLimit: &limit, RateLeft: &left, Disturbance: 2.5, ReportAgeMS: &age, PickShare: 1},
			{Target: "t2", Node: "n2", Reasons: []string{"zone-evacuated"}},
			{Target: "t3", Node: "n3", Cost: 1, Reasons: []string{"unreachable"}, UnreachableForMS: 730},
			{Target: "t4", Node: "n4", Cost: 1, Candidate: true, Reasons: []string{"node-unresponsive", "failing"}, OverdueMS: 900, FailureRate: 0.3},
		},
		First:     &Choice{Target: "t1", Node: "n1", Zone: "z1", WaitMS: 53.3},
		Refusal:   &Refusal{Status: 503, Reason: "target-cold", Expected: true, RetryAfterS: 0.053, RetryAfterMaxS: 0.08},
		Cap:       &Cap{PerSecond: 262, Burst: 131, Verdict: "waiting", Allocator: "n3", Lent: true},
		Copy:      Copy{Possible: true, AfterMS: 144, Target: "t4"},
		Evacuated: []Zone{{"z2", 5000}},
	}
	var b strings.Builder
	require.NoError(t, a.WriteText(&b))
	for _, part := range []string{
		"config   version 28, received 12.3 s ago, known to be the newest 0.4 s ago, the store does not respond",
		"only regions north", "s1 90, s2 10; the next request goes to s1; a move is open, 25.0 % go to the new version",
		"evacuated zone z2 for 5.0 s", "first    t1 at node n1, zone z1, expected wait 53.3 ms, not expected to be admitted", "second   none",
		"refusal  503 target-cold, Retry-After 0.053 to 0.080 s, expected of the target's node",
		"cap      262 a second, burst 131: waiting, allocator n3, 0 tokens at hand, own share lent",
		"copy     possible after 144.0 ms, to t4",
		"cold-limit-used-up (15 a second), disturbed x2.5", "zone-evacuated", "unreachable for another 730 ms",
		"node-unresponsive, response overdue by 900 ms, failing 30 %", "100 %", "0.5 s",
	} {
		require.Contains(t, b.String(), part)
	}
}
