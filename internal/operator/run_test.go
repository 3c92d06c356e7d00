package operator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/query"
	"heathercroft.example/heathercroft/internal/routequery"
)

// fakeNode replies to every command with a fixed HTTP status and body, or breaks
// the connection after it has read the command.
type fakeNode struct {
	url    string
	status int
	body   string
	broken bool
	last   atomic.Pointer[query.CommandRequest]
}

func (n *fakeNode) start(t *testing.T) *fakeNode {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req query.CommandRequest
		if json.NewDecoder(r.Body).Decode(&req) == nil && r.URL.Path == query.CommandPath {
			n.last.Store(&req)
		}
		if n.broken {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(n.status)
		_, _ = w.Write([]byte(n.body))
	}))
	t.Cleanup(server.Close)
	n.url = server.URL
	return n
}

func replies(t *testing.T, body string) *fakeNode {
	return (&fakeNode{status: 200, body: body}).start(t)
}

// closedNode is a port on which nothing listens.
const closedNode = "http://127.0.0.1:1"

func runProgram(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var o, e bytes.Buffer
	code = Run(t.Context(), args, IO{In: strings.NewReader("show nodes # from standard input"), Out: &o, Err: &e})
	return code, o.String(), e.String()
}

// Guards against an exit code that tells scripts something else than the reply.
func TestExitCodes(t *testing.T) {
	for body, want := range map[string]int{
		`{"status":"done"}`:        query.ExitDone,
		`{"status":"refused"}`:     query.ExitRefused,
		`{"status":"waiting"}`:     query.ExitNotDone,
		`{"status":"in-progress"}`: query.ExitNotDone,
		`{"status":"reversed"}`:    query.ExitNotDone,
		`{"status":"unknown"}`:     query.ExitNotDone,
		`{}`:                       query.ExitNotDone,
		`no json`:                  query.ExitNotDone,
	} {
		code, out, _ := runProgram(t, "--node", replies(t, body).url, "put service x version v")
		require.Equal(t, want, code, body)
		require.NotEmpty(t, out)
	}
}

// Guards against bad usage that reaches a node or is reported as a refusal.
func TestBadUsage(t *testing.T) {
	node := replies(t, `{"status":"done"}`)
	for want, args := range map[string][]string{
		"1:6: unexpected \"node\"":         {"--node", node.url, "show node"},
		"unknown long flag":                {"--nodes", node.url, "show nodes"},
		"no node is given":                 {"show nodes"},
		"is no base URL":                   {"--node", "http://localhost:80", "show nodes"},
		"must be one of text,json":         {"--node", node.url, "--output", "xml", "show nodes"},
		"is no valid id":                   {"--node", node.url, "--id", "a b", "show nodes"},
		"either as arguments or by --file": {"--node", node.url, "--file", "-", "show nodes"},
		"no such file":                     {"--node", node.url, "--file", filepath.Join(t.TempDir(), "x")},
		"the command ends too early":       {"--node", node.url},
		"the option is given twice":        {"--node", node.url, "--wait", "1s", "delete route r wait 2s"},
		"no settings file is given":        {"--check-settings"},
	} {
		code, out, errOut := runProgram(t, args...)
		require.Equal(t, query.ExitUsage, code, want)
		require.Contains(t, errOut, want)
		require.Empty(t, out)
	}
	require.Nil(t, node.last.Load())
}

// Guards against a command that is lost or given two ids on its way to a node.
func TestCommandReachesTheNode(t *testing.T) {
	node := replies(t, `{"status":"done","id":"op-7","revision":4}`)
	code, out, _ := runProgram(t, "--node", node.url, "--output", "json", "--id", "op-7", "put", "service", "x", "version", "v", "--wait", "2s", "--within", "5s")
	require.Equal(t, query.ExitDone, code)
	require.JSONEq(t, node.body, out)
	require.Equal(t, "op-7", node.last.Load().ID)
	require.Equal(t, "put service x version v wait 2s within 5s", node.last.Load().Command)
	require.LessOrEqual(t, *node.last.Load().WaitMS, int64(5000))
	require.Positive(t, *node.last.Load().WaitMS)

	code, _, _ = runProgram(t, "--node", node.url, "--file", "-")
	require.Equal(t, query.ExitDone, code)
	require.Equal(t, "show nodes # from standard input", node.last.Load().Command)

	file := filepath.Join(t.TempDir(), "operator.toml")
	require.NoError(t, os.WriteFile(file, []byte(`nodes = ["`+node.url+`"]`), 0o600))
	code, out, _ = runProgram(t, "--settings", file, "show routes")
	require.Equal(t, query.ExitDone, code)
	require.Equal(t, "done\nid:           op-7\nrevision:     4\n", out)
}

// Guards against a second effect, and against a claim that a command did not run
// when an earlier node may have run it.
func TestNextNodeIsTried(t *testing.T) {
	done := replies(t, `{"status":"done"}`)
	broken := (&fakeNode{broken: true}).start(t)
	failing := (&fakeNode{status: 503, body: `{}`}).start(t)
	elsewhere := replies(t, `{"status":"refused","outcome":"not-run","elsewhere":true,"reason":"no platform"}`)
	refused := replies(t, `{"status":"refused","outcome":"not-run","reason":"too late"}`)
	decided := replies(t, `{"status":"refused","outcome":"not-run","decided":true,"reason":"conflict"}`)
	for _, c := range []struct {
		name    string
		nodes   []string
		code    int
		outcome query.RunOutcome
	}{
		{"no connection, then done", []string{closedNode, done.url}, query.ExitDone, ""},
		{"no connection at all", []string{closedNode, closedNode}, query.ExitRefused, query.NotRun},
		{"the node points elsewhere", []string{elsewhere.url, done.url}, query.ExitDone, ""},
		{"all nodes point elsewhere", []string{elsewhere.url, closedNode}, query.ExitRefused, query.NotRun},
		{"the connection breaks", []string{broken.url}, query.ExitNotDone, query.MayHaveRun},
		{"the node fails", []string{failing.url}, query.ExitNotDone, query.MayHaveRun},
		{"broken, then done", []string{broken.url, done.url}, query.ExitDone, ""},
		{"broken, then a refusal that says nothing of the first", []string{broken.url, refused.url}, query.ExitNotDone, query.MayHaveRun},
		{"broken, then a refusal by the log", []string{broken.url, decided.url}, query.ExitRefused, query.NotRun},
	} {
		args := []string{"--output", "json", "put service x version v"}
		for _, n := range c.nodes {
			args = append(args, "--node", n)
		}
		code, out, _ := runProgram(t, args...)
		require.Equal(t, c.code, code, c.name)
		var reply query.Reply
		require.NoError(t, json.Unmarshal([]byte(out), &reply))
		require.Equal(t, c.outcome, reply.Outcome, c.name)
	}
	runProgram(t, "--node", broken.url, "--node", done.url, "put service x version v")
	require.Equal(t, broken.last.Load().ID, done.last.Load().ID)
}

// Guards against a subcommand that is sent to a node as a command of the operators' language.
func TestRouteIsASubcommand(t *testing.T) {
	var out, errs strings.Builder
	code := Run(t.Context(), []string{"route", "--node", "127.0.0.1:1", "GET", "shop.test", "/x"}, IO{In: strings.NewReader(""), Out: &out, Err: &errs})
	require.Equal(t, routequery.ExitNotAnswered, code)
	require.Contains(t, errs.String(), "heathercroft route: node 127.0.0.1:1 was not reached")
	require.Empty(t, out.String())
}
