package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an announcement of another writer that makes a target one that no request can
// reach, or that no later process replaces.
func TestOddAnnouncementsOfTargetsAreRefused(t *testing.T) {
	const good = `{"service":"s","version":"v1","address":"10.0.0.1:80","slots":4,"connections":10,"state":"serving","started":1700000000000}`
	announce := func(body string) int {
		n := &Node{loop: &loop{ended: make(chan struct{})}}
		close(n.loop.ended)
		w := httptest.NewRecorder()
		n.handleAnnouncement(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", strings.NewReader(body)))
		return w.Code
	}
	require.Equal(t, http.StatusNoContent, announce(good))
	for name, change := range map[string][2]string{
		"null":           {good, `null`},
		"port 0":         {`:80"`, `:0"`},
		"port 99999":     {`:80"`, `:99999"`},
		"slots":          {`"slots":4`, `"slots":9000000000000000000`},
		"slots negative": {`"slots":4`, `"slots":-5`},
		"connections":    {`"connections":10`, `"connections":-1`},
		"started":        {`1700000000000`, `9223372036854775807`},
		"started before": {`1700000000000`, `-1`},
		"number":         {`1700000000000`, `1e400`},
		"nested":         {`"slots":4`, `"slots":` + strings.Repeat("[", 15_000)},
		"long name":      {`"service":"s"`, `"service":"` + strings.Repeat("s", 300) + `"`},
	} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, good, change[0])
			require.Equal(t, http.StatusBadRequest, announce(strings.Replace(good, change[0], change[1], 1)))
		})
	}
}
