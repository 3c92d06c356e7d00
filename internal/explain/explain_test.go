package explain_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/explain"
)

// The clock of node b is one second ahead.
const logs = `  12.1 a {"time":"2026-01-01T00:00:00.100Z","msg":"call_ended","node":"a","request":"r1","outcome":"failed","reason":"answer-lost","status":502,"attempts":[{"node":"b","target":"t","outcome":"reset-after-write","at_ms":1}]}
{"time":"2026-01-01T00:00:01.090Z","msg":"target_failed","node":"b","request":"r1","reason":"answer-lost"}
{"time":"2026-01-01T00:00:00.100Z","msg":"call_ended","node":"c","request":"r10","outcome":"refused","reason":"queue"}
{"time":"2026-01-01T00:00:00.300Z","msg":"call_ended","node":"c","request":"r2","outcome":"answered","reason":"","status":500}
{"time":"2026-01-01T00:00:00.400Z","msg":"call_ended","node":"c","request":"r2.x","outcome":"refused","reason":"queue","status":503}
{"broken r1
`

func run(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = explain.Run(args, strings.NewReader(logs), &o, &e)
	return code, o.String(), e.String()
}

// Guards against events in the wrong order when the clocks of nodes differ, and
// against lines of other requests or malformed lines in the report.
func TestEventsAreOrderedDespiteClockSkew(t *testing.T) {
	code, out, errs := run("r1")
	require.Equal(t, explain.ExitFound, code)
	require.Contains(t, out, "cause   failed, answer-lost")
	require.Less(t, strings.Index(out, "target_failed"), strings.Index(out, "call_ended"))
	require.Contains(t, out, "attempt 1: at_ms=1 node=b")
	require.NotContains(t, out, "queue")
	require.Contains(t, errs, "1 lines are not JSON objects")
}

// Guards against a failed request whose cause doesn't name the failed nested call.
func TestCauseNamesTheFailedNestedCall(t *testing.T) {
	_, out, _ := run("r2")
	require.Contains(t, out, "cause   the call r2.x made for it: refused, queue")
}

// Guards against wrong exit codes for missing requests and bad usage.
func TestExitCodes(t *testing.T) {
	code, out, _ := run("r3")
	require.Equal(t, explain.ExitNotFound, code)
	require.Contains(t, out, "no log line names the request")
	code, _, errs := run()
	require.Equal(t, explain.ExitUsage, code)
	require.Contains(t, errs, "id")
	code, _, _ = run("r1", "--file", "does-not-exist")
	require.Equal(t, explain.ExitUsage, code)
	code, out, _ = run("r1", "--output", "json")
	require.Equal(t, explain.ExitFound, code)
	require.Contains(t, out, `"cause": "failed, answer-lost"`)
}
