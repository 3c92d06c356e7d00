package callpath_test

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against idle connections to the target that are neither used nor closed, whatever
// the order of requests.
func TestIdleConnectionsToTheTargetAreBounded(t *testing.T) {
	const pause, idle = 230 * time.Millisecond, 600 * time.Millisecond
	for name, clients := range map[string]int{"evenly": 1, "in bursts": 8} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var open, most atomic.Int64
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(10 * time.Millisecond) }))
			s.Listener = countingListener{s.Listener, &open, &most}
			s.Start()
			t.Cleanup(s.Close)
			settings := fastSettings()
			settings.TargetIdleTimeout = idle
			m := newMesh(t)
			a := m.add("node-a", "", settings)
			m.add("node-b", s.Listener.Addr().String(), settings)
			for i := range 8 {
				var all sync.WaitGroup
				for range clients {
					all.Go(func() {
						got := m.do(a, "POST", "/courier", "")
						assert.NoError(t, got.err)
						assert.Equal(t, http.StatusOK, got.status, got.body)
					})
				}
				all.Wait()
				if i%2 == 0 {
					require.Equal(t, http.StatusOK, m.do(a, "GET", "/courier", "").status)
				}
				time.Sleep(pause)
			}
			require.LessOrEqual(t, most.Load(), int64(clients))
			require.Eventually(t, func() bool { return open.Load() == 0 }, 2*idle, 10*time.Millisecond, "idle connections expire")
		})
	}
}
