package app

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedLines is the capacity of the buffer, about 2 MB of lines.
	maxBufferedLines = 8192
	// priorityReserve is the part of the buffer reserved for warnings and errors, so
	// that lines of lower levels are dropped first.
	priorityReserve = maxBufferedLines / 4
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// LogBuffer writes log lines asynchronously, so that a slow or closed output does
// not block the callers. Lines that exceed the capacity are dropped and counted.
type LogBuffer struct {
	out   io.Writer
	lines chan []byte
	// pending is the number of lines that were accepted and not written.
	pending atomic.Int64
	dropped atomic.Int64
	failed  atomic.Int64
}

// NewLogBuffer returns a buffer whose goroutine writes to out until the process
// exits.
func NewLogBuffer(out io.Writer) *LogBuffer {
	b := &LogBuffer{out: out, lines: make(chan []byte, maxBufferedLines)}
	go b.write()
	return b
}

// Dropped returns the number of dropped lines.
func (b *LogBuffer) Dropped() int64 { return b.dropped.Load() }

// Failed returns the number of failed writes.
func (b *LogBuffer) Failed() int64 { return b.failed.Load() }

// flushPollInterval is the time between two checks of the lines that are not written.
const flushPollInterval = time.Millisecond

// Flush waits until all lines are written, at most for the limit: the output may be blocked.
func (b *LogBuffer) Flush(limit time.Duration) {
	for end := time.Now().Add(limit); b.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(flushPollInterval)
	}
}

func (b *LogBuffer) write() {
	var reported int64
	var last time.Time
	for line := range b.lines {
		if _, err := b.out.Write(line); err != nil {
			b.failed.Add(1)
		}
		b.pending.Add(-1)
		if dropped := b.dropped.Load(); dropped > reported && time.Since(last) > dropReportInterval {
			slog.New(slog.NewJSONHandler(b.out, nil)).Warn("log_lines_dropped", "count", dropped-reported)
			reported, last = dropped, time.Now()
		}
	}
}

// enqueue adds a line to the buffer, or drops it if its part of the buffer is full.
func (b *LogBuffer) enqueue(line []byte, important bool) {
	if !important && len(b.lines) > maxBufferedLines-priorityReserve {
		b.dropped.Add(1)
		return
	}
	b.pending.Add(1)
	select {
	case b.lines <- line:
	default:
		b.pending.Add(-1)
		b.dropped.Add(1)
	}
}

// Handler returns a slog.Handler that writes JSON lines to the buffer.
func (b *LogBuffer) Handler(level slog.Leveler) slog.Handler {
	ordinary := slog.NewJSONHandler(lineWriter{b, false}, &slog.HandlerOptions{Level: level})
	important := slog.NewJSONHandler(lineWriter{b, true}, &slog.HandlerOptions{Level: level})
	return priorityHandler{ordinary, important}
}

// lineWriter adds lines to a LogBuffer. Each Write must hold exactly one line, as
// slog handlers guarantee.
type lineWriter struct {
	buffer       *LogBuffer
	highPriority bool
}

// Write implements io.Writer.
func (w lineWriter) Write(p []byte) (int, error) {
	w.buffer.enqueue(append([]byte(nil), p...), w.highPriority)
	return len(p), nil
}

// priorityHandler passes warnings and errors to a separate handler.
type priorityHandler struct{ ordinary, important slog.Handler }

// Enabled implements slog.Handler.
func (h priorityHandler) Enabled(ctx context.Context, l slog.Level) bool {
	return h.ordinary.Enabled(ctx, l)
}

// Handle implements slog.Handler.
func (h priorityHandler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level >= slog.LevelWarn {
		return h.important.Handle(ctx, r)
	}
	return h.ordinary.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h priorityHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return priorityHandler{h.ordinary.WithAttrs(attrs), h.important.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h priorityHandler) WithGroup(name string) slog.Handler {
	return priorityHandler{h.ordinary.WithGroup(name), h.important.WithGroup(name)}
}
