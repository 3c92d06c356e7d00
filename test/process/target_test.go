package process_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/target"
	"heathercroft.example/heathercroft/internal/testbed"
)

func alive(p *testbed.Process) bool {
	select {
	case <-p.Done():
		return false
	default:
		return true
	}
}

// TestCrashingRequestIsRefused guards against a request that, sent again by its
// caller, ends one target after the other, and against a refusal of other
// requests that were in flight when the targets crashed.
func TestCrashingRequestIsRefused(t *testing.T) {
	t.Parallel()
	m := newFleet(t, "")
	m.add("courier", "v1", 1, 5)
	m.configure("courier")
	for _, member := range m.Members() {
		m.fault(member, map[string]any{"crash_on_header": true})
	}
	// The same request of other callers is always under way, so that some are hit by each crash.
	bystanders := startCallers(slices.Concat(m.Members(), m.Members(), m.Members()), "/courier/stock?work_ms=150")
	time.Sleep(500 * time.Millisecond)
	crash := http.Header{target.HeaderCrash: {"1"}}
	var list []attempt
	var last attempt
	require.NoError(t, testbed.WaitFor(generous, func() error {
		last = post(m.Members()[len(list)%5], "/courier/poison", "", 2*time.Second, crash)
		list = append(list, last)
		if last.reason != "crashing-request" {
			// A caller that sends again at once would meet the next target before
			// the crash is known: a crash counts once the target's announcement stopped.
			time.Sleep(4500 * time.Millisecond)
			return fmt.Errorf("%d %s %s", last.status, last.outcome, last.reason)
		}
		return nil
	}), "%v", summary(list))
	require.Equal(t, "may-have-run", last.outcome, "%+v", last)
	for range 20 {
		again := post(m.Members()[len(list)%5], "/courier/poison", "", 2*time.Second, crash)
		list = append(list, again)
		require.Equal(t, "may-have-run crashing-request", again.outcome+" "+again.reason, "%+v", again)
	}
	living := 0
	for _, member := range m.Members() {
		if alive(member.Target) {
			living++
		}
	}
	t.Log(summary(list))
	require.Equal(t, 3, living, "%v", summary(list))
	before := len(bystanders.failed)
	time.Sleep(time.Second)
	bystanders.end()
	t.Logf("%d calls of others, %d failed: %v", len(bystanders.visits), len(bystanders.failed), bystanders.failed)
	require.Len(t, bystanders.failed, before, "other requests are refused: %v", bystanders.failed[before:])
}

// TestSilentConnectionsEnd guards against calls that wait for ever on a target or
// a node that went silent, and against a false not-run for work that may have run.
func TestSilentConnectionsEnd(t *testing.T) {
	t.Parallel()
	m := newFleet(t, "")
	m.add("courier", "v1", 1, 1)
	m.add("finder", "v1", 2, 1)
	m.configure("courier", "finder")
	courier := m.Members()[0]
	m.fault(courier, map[string]any{"faults": []any{map[string]any{"silent_share": 1.0}}})
	const limit = 15 * time.Second
	// Without a deadline of its caller, a call ends when its target made no
	// progress for 30 s.
	endless := make(chan attempt, 1)
	started := time.Now()
	go func() { endless <- post(m.Members()[1], "/courier", "", 0, nil) }()
	for _, member := range m.Members() {
		start := time.Now()
		a := post(member, "/courier", "", 2*time.Second, nil)
		require.NoError(t, a.err)
		require.Equal(t, "may-have-run deadline", a.outcome+" "+a.reason, "%+v", a)
		require.Less(t, time.Since(start), 3*time.Second)
	}
	m.fault(courier, map[string]any{"faults": []any{}})
	for _, member := range m.Members() {
		require.NoError(t, testbed.WaitFor(generous, func() error { return testbed.Get(member.CallerURL()+"/courier", nil) }))
	}
	// The link between the zones goes silent while a request is under way.
	far := m.zone(2)[0]
	done := make(chan attempt, 1)
	start := time.Now()
	go func() { done <- post(far, "/courier?work_ms=4000", "", limit, nil) }()
	time.Sleep(time.Second)
	m.Network.Cut(1, 2)
	a := <-done
	t.Logf("silent link: %d %s %s after %s", a.status, a.outcome, a.reason, time.Since(start).Round(10*time.Millisecond))
	require.NoError(t, a.err)
	require.Equal(t, "may-have-run", a.outcome, "%+v", a)
	require.Less(t, time.Since(start), limit-time.Second)
	m.Network.Heal(1, 2)
	require.NoError(t, testbed.WaitFor(generous, func() error { return testbed.Get(far.CallerURL()+"/courier", nil) }))
	_, requests := m.executions()
	require.LessOrEqual(t, requests[a.id], 1)
	a = <-endless
	t.Logf("silent target: %d %s %s after %s", a.status, a.outcome, a.reason, time.Since(started).Round(10*time.Millisecond))
	require.NoError(t, a.err)
	require.Equal(t, "may-have-run silent-connection", a.outcome+" "+a.reason, "%+v", a)
	require.Less(t, time.Since(started), 35*time.Second)
}
