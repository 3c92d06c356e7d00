package app

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedLines bounds the lines that wait for the writer: about 2 MB.
	maxBufferedLines = 8192
	// priorityReserve is the part of the buffer that only warnings and errors may use,
	// so that ordinary lines are dropped first.
	priorityReserve = maxBufferedLines / 4
	// dropReportInterval is the least time between two lines about dropped lines.
	dropReportInterval = time.Second
)

// LogBuffer writes log lines from a goroutine of its own. A slow or closed
// output stops nothing: lines over the bound are dropped and counted.
type LogBuffer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	failed  atomic.Int64
}

// NewLogBuffer starts a writer to out. It ends with the process.
func NewLogBuffer(out io.Writer) *LogBuffer {
	b := &LogBuffer{out: out, lines: make(chan []byte, maxBufferedLines)}
	go b.write()
	return b
}

// Dropped returns how many lines were dropped, Failed how many writes failed.
func (b *LogBuffer) Dropped() int64 { return b.dropped.Load() }

// Failed returns how many writes failed.
func (b *LogBuffer) Failed() int64 { return b.failed.Load() }

func (b *LogBuffer) write() {
	var reported int64
	var last time.Time
	for line := range b.lines {
		if _, err := b.out.Write(line); err != nil {
			b.failed.Add(1)
		}
		if dropped := b.dropped.Load(); dropped > reported && time.Since(last) > dropReportInterval {
			slog.New(slog.NewJSONHandler(b.out, nil)).Warn("log_lines_dropped", "count", dropped-reported)
			reported, last = dropped, time.Now()
		}
	}
}

// enqueue queues a line, or drops it.
func (b *LogBuffer) enqueue(line []byte, important bool) {
	if !important && len(b.lines) > maxBufferedLines-priorityReserve {
		b.dropped.Add(1)
		return
	}
	select {
	case b.lines <- line:
	default:
		b.dropped.Add(1)
	}
}

// Handler returns a slog handler that writes JSON lines to the buffer.
func (b *LogBuffer) Handler(level slog.Leveler) slog.Handler {
	ordinary := slog.NewJSONHandler(lineWriter{b, false}, &slog.HandlerOptions{Level: level})
	important := slog.NewJSONHandler(lineWriter{b, true}, &slog.HandlerOptions{Level: level})
	return priorityHandler{ordinary, important}
}

// lineWriter takes one line a call, as the handlers of slog write them.
type lineWriter struct {
	buffer       *LogBuffer
	highPriority bool
}

// Write implements io.Writer.
func (w lineWriter) Write(p []byte) (int, error) {
	w.buffer.enqueue(append([]byte(nil), p...), w.highPriority)
	return len(p), nil
}

// priorityHandler sends warnings and errors to a handler of their own.
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
