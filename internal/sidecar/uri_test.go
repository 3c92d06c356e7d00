package sidecar

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
)

// newMeshWithRoot starts two nodes with a route for all paths. The target of the first one is
// slow to leave, so that requests go to the second one.
func newMeshWithRoot(t *testing.T) (caller, other *testNode) {
	nodes := newMesh(t, 2)
	config := testConfig()
	config.Version = 2
	root := config.Routes[0]
	root.Name, root.Prefix = "root", "/"
	config.Routes = append(config.Routes, root)
	require.NoError(t, config.Prepare())
	for _, n := range nodes {
		n.Step(control.ConfigPublished{Config: config})
	}
	nodes[0].Step(control.TargetLeaving{ID: nodes[0].target.id})
	return nodes[0], nodes[1]
}

// sendRaw sends a request line with the URI as it is.
func (n *testNode) sendRaw(t *testing.T, uri, id string) *http.Response {
	conn, err := net.Dial("tcp", n.outbound.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: shop.test\r\nX-Id: %s\r\nX-Left: 2000\r\n\r\n", uri, id)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	return resp
}

// Guards against a URI that reaches the target changed, or not at all: with an empty path
// segment at its start, with bytes that JSON does not carry, with many characters that JSON
// escapes.
func TestURIReachesTheTargetUnchanged(t *testing.T) {
	caller, other := newMeshWithRoot(t)
	for name, uri := range map[string]string{
		"empty segment":       "//read/a%2Fb?x=1&y",
		"two empty segments":  "///x",
		"only slashes":        "//",
		"not UTF-8":           "/read/\xe9t\xe9?q=\xff",
		"markup":              "/read/<a>&b?c=<d>&e",
		"quotes":              `/read/"a"\b`,
		"many ampersands":     "/read/x?" + strings.Repeat("&a", 7500),
		"almost the limit":    "/read/x?" + strings.Repeat(`&"`, 15000),
		"escaped and literal": "/read/%61a;b,c",
	} {
		t.Run(name, func(t *testing.T) {
			var seen string
			other.target.serve(func(w http.ResponseWriter, r *http.Request) {
				seen = r.RequestURI
				w.Header().Set("X-Signature", "s")
			})
			resp := caller.sendRaw(t, uri, "r-"+name)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, uri, seen)
			require.False(t, caller.view.Load().Announcements[other.settings.Node].Leaving)
		})
	}
}

// Guards against a request that is sent with another path, or that makes its target count as
// unreachable, since its URI cannot be written as it is.
func TestURIThatCannotBeForwardedIsRejected(t *testing.T) {
	caller, other := newMeshWithRoot(t)
	resp := caller.sendRaw(t, "//read/<a>", "r1")
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.Zero(t, other.target.runs.Load())
	require.Equal(t, http.StatusOK, caller.sendRaw(t, "/read/a", "r2").StatusCode)
}

// Guards against a request with many short header fields, which HTTP/2 counts several times, that
// makes other nodes count as unreachable.
func TestManyShortHeaderFieldsAreForwarded(t *testing.T) {
	caller, other := newMeshWithRoot(t)
	req, err := http.NewRequest(http.MethodGet, caller.outbound.URL+"/read/x", nil)
	require.NoError(t, err)
	req.Host = "shop.test"
	req.Header.Set("X-Id", "r1")
	for len(req.Header) < 3000 {
		req.Header[fmt.Sprintf("H%d", len(req.Header))] = []string{""}
	}
	resp, err := caller.outbound.Client().Do(req)
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.EqualValues(t, 1, other.target.runs.Load())
}
