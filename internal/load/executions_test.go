package load

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/target"
)

// Counts of one key on two targets add up, and a target that restarted must not pass
// as checked, since it forgot what it had executed.
func TestAuditOverTargets(t *testing.T) {
	answers := []target.Executions{
		{Session: "a", Keys: map[string]int{"run-k1": 1, "run-k2": 1}, Requests: map[string]int{"run-1": 2, "run-2": 1}},
		{Session: "b", Keys: map[string]int{"run-k1": 1}, Requests: map[string]int{"run-2": 1}},
		{Session: "c", Uncounted: 1},
		{Session: "d"},
	}
	a := &auditor{client: http.DefaultClient, sessions: map[string]string{}}
	for _, answer := range answers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(answer)
		}))
		t.Cleanup(server.Close)
		a.targets = append(a.targets, server.URL)
	}
	a.begin(t.Context())
	a.sessions[a.targets[3]] = "earlier"
	got := a.end(t.Context(), "run", func(id string) bool { return id == "run-2" })
	require.Equal(t, Duplicates{
		Duplicated: 2, RepeatedReads: 1, Executed: 2, Checked: 2,
		Unchecked: a.targets[2:], Names: []string{"run-2", "run-k1"},
	}, got)
}
