package app_test

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/app"
)

// blockingWriter blocks all writes until open is closed.
type blockingWriter struct {
	open chan struct{}
	mu   sync.Mutex
	data bytes.Buffer
}

func (g *blockingWriter) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.data.Write(p)
}

func (g *blockingWriter) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.data.String()
}

// Guards against a slow log output that blocks requests: logging never waits, and
// lines that exceed the buffer are dropped and counted, warnings last.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := &blockingWriter{open: make(chan struct{})}
	b := app.NewLogBuffer(out)
	logger := slog.New(b.Handler(slog.LevelInfo))
	done := make(chan struct{})
	go func() {
		for range 20000 {
			logger.Info("request")
		}
		logger.Warn("important")
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks on the output")
	}
	require.Positive(t, b.Dropped())
	close(out.open)
	require.Eventually(t, func() bool { return strings.Contains(out.text(), `"msg":"important"`) }, 10*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return strings.Contains(out.text(), "log_lines_dropped") }, 10*time.Second, 10*time.Millisecond)
}

// Guards against a process that exits before its last lines are written, and against one that
// waits for an output that is blocked.
func TestFlushWritesTheLastLines(t *testing.T) {
	out := &blockingWriter{open: make(chan struct{})}
	b := app.NewLogBuffer(out)
	slog.New(b.Handler(slog.LevelInfo)).Info("last")
	b.Flush(10 * time.Millisecond)
	require.Empty(t, out.text())
	close(out.open)
	b.Flush(10 * time.Second)
	require.Contains(t, out.text(), `"msg":"last"`)
}
