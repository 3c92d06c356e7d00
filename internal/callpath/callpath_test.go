package callpath_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/callpath"
)

// Guards against a request or response that is changed on its way through two
// nodes.
func TestCallPassesUnchanged(t *testing.T) {
	m := newMesh(t)
	var seen *http.Request
	var seenBody string
	a := m.add("node-a", "", fastSettings())
	m.add("node-b", target(t, func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		seen, seenBody = r, string(data)
		w.Header().Set("Trailer", "X-Sum")
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "1")
		w.Header().Set("X-Public", "2")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "stored")
		w.Header().Set("X-Sum", "abc")
	}), fastSettings())
	got := m.do(a, "POST", "/courier/a%2Fb?x=1&y", "hello", "X-One", "1", callpath.HeaderDeadline, "5000")
	require.NoError(t, got.err)
	require.Equal(t, http.StatusCreated, got.status)
	require.Equal(t, "stored", got.body)
	require.Equal(t, "2", got.header.Get("X-Public"))
	require.Empty(t, got.header.Get("X-Private"))
	require.Empty(t, got.header.Get(callpath.HeaderLoad))
	require.NotEmpty(t, got.header.Get(callpath.HeaderRequestID))
	require.Equal(t, "hello", seenBody)
	require.Equal(t, "/courier/a%2Fb?x=1&y", seen.RequestURI)
	require.Equal(t, a.caller.Listener.Addr().String(), seen.Host)
	require.Equal(t, "1", seen.Header.Get("X-One"))
	require.Equal(t, "1", seen.Header.Get(callpath.HeaderDepth))
	require.Empty(t, seen.Header.Get(callpath.HeaderHop))
	require.NotEmpty(t, seen.Header.Get(callpath.HeaderDeadline))
}
