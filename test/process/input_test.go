package process_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/logclient"
	"heathercroft.example/heathercroft/internal/query"
	"heathercroft.example/heathercroft/internal/testbed"
	"heathercroft.example/heathercroft/pkg/record"
)

// addressAt returns host and port of one of a member's URLs with another port.
func addressAt(url string, port int) string {
	host, _, _ := strings.Cut(strings.TrimPrefix(url, "http://"), ":")
	return fmt.Sprintf("%s:%d", host, port)
}

// sendRaw writes bytes to an address and returns what came back before the
// connection ended or a second passed.
func sendRaw(t *testing.T, address string, data []byte) string {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	require.NoError(t, err, address)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = conn.Write(data)
	answer, _ := io.ReadAll(io.LimitReader(conn, 64<<10))
	return string(answer)
}

// appendRaw appends bytes to the stream of decisions.
func (m *fleet) appendRaw(data string) record.Revision {
	m.t.Helper()
	client := logclient.New(m.PlatformURL(), &http.Client{Timeout: 10 * time.Second})
	offset, err := client.Append(context.Background(), configStream, []byte(data))
	require.NoError(m.t, err)
	return offset
}

type distributionVars struct {
	Distribution struct {
		Revision  uint64 `json:"revision"`
		Malformed uint64 `json:"malformed_records_total"`
	} `json:"heathercroft_distribution"`
	MalformedMessages int64 `json:"heathercroft_rpc_malformed_messages_total"`
}

func (m *fleet) vars(member *testbed.Member) distributionVars {
	m.t.Helper()
	var v distributionVars
	require.NoError(m.t, testbed.Get(member.AdminURL()+"/debug/vars", &v))
	return v
}

// ports of a node, as internal/testbed assigns them.
var nodePorts = map[string]int{"rpc": 7001, "call": 7002, "admin": 7003, "outbound": 7004, "caller": 8000}

// TestMalformedInput guards against a process that stops, hangs or acts on
// malformed input of callers, nodes, operators and the log, and against nodes
// that disagree on what to pass over (G2, G3).
func TestMalformedInput(t *testing.T) {
	t.Parallel()
	m := newFleet(t, "")
	m.add("courier", "v1", 2, 2)
	m.configure("courier")
	run := startCallers(m.Members(), "/courier")
	victim := m.Members()[0]
	random := rand.New(rand.NewPCG(1, 2))
	noise := make([]byte, 4096)
	for i := range noise {
		noise[i] = byte(random.Uint32())
	}
	for _, port := range []string{"caller", "call", "admin", "outbound"} {
		for name, data := range map[string]string{
			"noise":          string(noise),
			"version":        "GET /courier HTTP/9.9\r\n\r\n",
			"length":         "POST /courier HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
			"two lengths":    "POST /courier HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
			"length, chunks": "POST /courier HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: gzip\r\n\r\nabc",
			"bad chunk":      "POST /courier HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc",
			"long header":    "GET /courier HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 2<<20) + "\r\n\r\n",
			"no end":         "GET /courier HTTP/1.1\r\nHost",
		} {
			answer := sendRaw(t, addressAt(victim.CallerURL(), nodePorts[port]), []byte(data))
			require.False(t, strings.HasPrefix(answer, "HTTP/1.1 2"), "%s to %s: %s", name, port, answer)
		}
	}
	before := m.vars(victim).MalformedMessages
	rpc := addressAt(victim.CallerURL(), nodePorts["rpc"])
	frame := func(body string) []byte { return append(binary.AppendUvarint(nil, uint64(len(body))), body...) }
	for _, data := range [][]byte{
		noise, binary.AppendUvarint(nil, 1<<40), frame("{"), frame("[]"), frame(`{"jsonrpc":"2.0","id":1,"method":"no.such"}`),
		frame(`{"jsonrpc":"2.0","id":2,"method":"membership.message","params":7}`),
		frame(`{"jsonrpc":"2.0","id":3,"method":"distribution.push","params":{"entries":[{"offset":-1}]}}`),
		frame(`{"jsonrpc":"2.0","id":4,"method":"rollout.evidence","params":null}`),
		frame(`{"jsonrpc":"2.0","id":5,"method":"idempotency.handover","params":{"slots":[{"slot":-7},{"slot":9999}]}}`),
		frame(`{"jsonrpc":"2.0","method":"callpath.crash"}`),
	} {
		sendRaw(t, rpc, data)
	}
	require.Greater(t, m.vars(victim).MalformedMessages, before)
	for _, body := range []string{"", "{", `{"command": 7}`, `{"command": "put"}`, `{"id":"x","command":"put route a prefix b to c"}`, `{"id":"x","command":"show routes","more":1}`} {
		resp, err := http.Post(victim.AdminURL()+query.CommandPath, "application/json", strings.NewReader(body))
		require.NoError(t, err)
		answer, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		require.Equal(t, http.StatusBadRequest, resp.StatusCode, "%s: %s", body, answer)
		require.Contains(t, string(answer), `"not-run"`)
	}
	malformed := []string{
		"no record", "{}", `{"schema":1,"id":"a","kind":"put-route","author":"t","body":7}`,
		`{"schema":1,"id":"b","kind":"claim-key-slot","author":"t","body":{"slot":"x"}}`,
		`{"schema":1,"id":"c","kind":"batch","author":"t","body":[]}`, "\x00\xff\xfe",
	}
	for _, data := range malformed {
		m.appendRaw(data)
	}
	// Well-formed records that break rules change nothing either.
	for _, data := range []string{
		`{"schema":1,"id":"d","kind":"claim-key-slot","author":"t","body":{"slot":-1,"node":"t","session":"s"}}`,
		`{"schema":1,"id":"e","kind":"claim-key-slot","author":"t","body":{"slot":64,"node":"t","session":"s"}}`,
		`{"schema":1,"id":"f","kind":"step-rollout","author":"t","body":{"rollout":1,"weight_bp":-5}}`,
		`{"schema":1,"id":"g","kind":"put-route","author":"t","body":{"name":"x","prefix":"/x","service":"none"}}`,
		`{"schema":1,"id":"h","kind":"delete-service","author":"t","body":{"name":"courier"}}`,
		`{"schema":1,"id":"i","kind":"node-announced","author":"t","body":{"node":"t","rpc_address":"x","call_address":"y"}}`,
	} {
		m.appendRaw(data)
	}
	reply, _ := m.command(victim, "put route after prefix \"/after\" to courier within 30s")
	require.Equal(t, query.StatusDone, reply.Status, reply.Reason)
	for _, member := range m.Members() {
		require.EqualValues(t, len(malformed), m.vars(member).Distribution.Malformed, member.Name)
	}
	run.end()
	require.Empty(t, run.failed)

	// A record that this binary does not know stops all nodes at the same revision.
	m.unknownRecord(reply.Revision)
}

func (m *fleet) unknownRecord(known record.Revision) {
	t := m.t
	offset := m.appendRaw(`{"schema":1,"id":"newer","kind":"put-mirror","author":"t","base":1,"body":{"name":"x"}}`)
	for _, member := range m.Members() {
		require.NoError(t, testbed.WaitFor(generous, func() error {
			reply, _ := m.command(member, "show in force")
			nacks := 0
			for _, row := range reply.InForce {
				nacks += len(row.NACKs)
			}
			if nacks != len(m.Members()) {
				return fmt.Errorf("%s shows %d refusals of revision %d", member.Name, nacks, offset)
			}
			return nil
		}))
	}
	reply, _ := m.command(m.Members()[1], "put route later prefix \"/later\" to courier within 3s")
	require.NotEqual(t, query.StatusDone, reply.Status, "%+v", reply)
	for _, member := range m.Members() {
		got, err := revision(member)
		require.NoError(t, err)
		require.Equal(t, uint64(offset)-1, got, member.Name)
		require.GreaterOrEqual(t, got, uint64(known))
		require.NoError(t, testbed.Get(member.CallerURL()+"/after", nil))
		require.Error(t, testbed.Get(member.CallerURL()+"/later", nil))
	}
}

// TestSettingsErrors guards against a process that starts with wrong settings, or
// does not say which file, line and key are wrong.
func TestSettingsErrors(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ binary, example, old, replacement, key string }{
		{"heathercroft-node", "node.toml", `zone = "casa-a"`, `zone = "casa a"`, "node.zone"},
		{"heathercroft-node", "node.toml", `id = "casa-a-1"`, `ident = "casa-a-1"`, "node.ident"},
		{"heathercroft-node", "node.toml", `url = "http://10.1.9.1:7100"`, `url = "ftp://10.1.9.1:7100"`, "platform.url"},
		{"heathercroft-node", "node.toml", `# lease = "60s"`, `lease = "60"`, "keys.lease"},
		{"heathercroft-target", "target.toml", `slots = 12`, `slots = "x"`, "slots"},
		{"heathercroft-platform", "platform.toml", `append_burst = 50`, `append_bursts = 50`, "append_bursts"},
		{"heathercroft-load", "load.toml", `max_retries = 3`, `max_retries = 3.5`, "max_retries"},
		{"heathercroft", "operator.toml", `nodes = [`, `node = [`, "node"},
		{"heathercroft-timeline", "timeline.toml", `# timeout = "10s"`, `timeout = 10`, "timeout"},
	} {
		data, err := os.ReadFile(filepath.Join("..", "..", "examples", c.example))
		require.NoError(t, err)
		require.Contains(t, string(data), c.old, c.example)
		wrong := strings.Replace(string(data), c.old, c.replacement, 1)
		line := 1 + strings.Count(wrong[:strings.Index(wrong, c.replacement)], "\n")
		path := filepath.Join(t.TempDir(), c.example)
		require.NoError(t, os.WriteFile(path, []byte(wrong), 0o600))
		cmd := exec.Command(filepath.Join(binaries, c.binary), "--settings", path)
		out, err := cmd.CombinedOutput()
		require.Error(t, err, c.binary)
		require.Equal(t, 2, cmd.ProcessState.ExitCode(), "%s: %s", c.binary, out)
		require.Contains(t, string(out), fmt.Sprintf("%s:%d", path, line), c.binary)
		require.Contains(t, string(out), c.key, c.binary)
	}
}
