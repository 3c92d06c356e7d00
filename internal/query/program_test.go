package query_test

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/operator"
	"heathercroft.example/heathercroft/internal/query"
)

// Guards against an operator tool and a node that disagree on the format of the
// request or the reply.
func TestProgramTalksToTheHandler(t *testing.T) {
	server := httptest.NewServer(query.Handler(query.NewFakeBackend()))
	t.Cleanup(server.Close)
	run := func(args ...string) (int, string) {
		var out, errOut bytes.Buffer
		args = append([]string{"--node", server.URL, "--output", "json"}, args...)
		code := operator.Run(t.Context(), args, operator.IO{In: strings.NewReader(""), Out: &out, Err: &errOut})
		require.Empty(t, errOut.String())
		return code, out.String()
	}
	code, first := run("--id", "op-1", "put service finder version v1")
	require.Equal(t, query.ExitDone, code)
	code, again := run("--id", "op-1", "put service finder version v1")
	require.Equal(t, query.ExitDone, code)
	var a, b query.Reply
	require.NoError(t, json.Unmarshal([]byte(first), &a))
	require.NoError(t, json.Unmarshal([]byte(again), &b))
	require.Equal(t, a.Revision, b.Revision)
	code, out := run("put service finder version v1", "--within", "1s")
	require.Equal(t, query.ExitRefused, code)
	require.Contains(t, out, `service \"finder\" exists`)
	code, out = run("show services")
	require.Equal(t, query.ExitDone, code)
	require.Contains(t, out, `"services":[{"name":"courier"`)
}
