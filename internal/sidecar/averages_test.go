package sidecar

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against large responses that cross zones without need (load pattern "downloads"):
// the balancer must know the size of a route's responses, not only that of its requests.
func TestSizeOfResponsesIsLearned(t *testing.T) {
	n := newMesh(t, 1)[0]
	require.EqualValues(t, assumedResponseBytes, n.responseBytes.get("read", assumedResponseBytes))
	large := strings.Repeat("x", 90_000)
	n.target.serve(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signature", "s")
		_, _ = w.Write([]byte(large))
	})
	status, _, _ := n.call(t, http.MethodGet, "/read/x", "r1")
	require.Equal(t, http.StatusOK, status)
	require.GreaterOrEqual(t, n.responseBytes.get("read", 0), 90_000.0)
	// An error response tells nothing about the size of the next response.
	n.target.serve(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	_, _, _ = n.call(t, http.MethodPost, "/read/x", "r2")
	require.GreaterOrEqual(t, n.responseBytes.get("read", 0), 90_000.0)
}
