package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/internal/logclient"
	"heathercroft.example/heathercroft/internal/settings"
	"heathercroft.example/heathercroft/pkg/distribution"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/snapshot"
	"heathercroft.example/heathercroft/pkg/state"
)

// Streams of the platform's log.
const (
	streamRecords   = "heathercroft"
	streamSnapshots = "heathercroft-snapshots"
)

const (
	// snapshotTimeout limits the time to read or write all parts of a snapshot.
	snapshotTimeout = 30 * time.Second
	// initialSnapshotTail is how many entries of the snapshot stream are read first.
	// A snapshot of the state at the planned size has a few parts.
	initialSnapshotTail = 16
)

// platform executes the effects that concern the log service. Each request runs in
// its own goroutine, which posts the result as an event.
type platform struct {
	loop     *loop
	client   *logclient.Client
	settings settings.Platform

	mu         sync.Mutex
	cancelRead context.CancelFunc
	ctx        context.Context
	cancel     context.CancelFunc
}

func newPlatform(l *loop, client *logclient.Client, s settings.Platform) *platform {
	ctx, cancel := context.WithCancel(context.Background())
	return &platform{loop: l, client: client, settings: s, ctx: ctx, cancel: cancel, cancelRead: func() {}}
}

func (p *platform) close() { p.cancel() }

// read reads entries of the log and cancels an earlier read that is still open.
func (p *platform) read(e core.ReadLog) {
	ctx, cancel := context.WithTimeout(p.ctx, e.Wait+p.settings.ReadTimeout.Std())
	p.mu.Lock()
	p.cancelRead()
	p.cancelRead = cancel
	p.mu.Unlock()
	go func() {
		defer cancel()
		page, err := p.client.Read(ctx, streamRecords, e.From, e.Max, e.Wait)
		if errors.Is(err, context.DeadlineExceeded) {
			p.client.Reconnect()
		}
		p.loop.post(p.readResult(e.Read, page, err))
	}()
}

func (p *platform) readResult(read uint64, page logclient.Page, err error) core.Event {
	var outOfRange *logclient.OutOfRangeError
	switch {
	case errors.As(err, &outOfRange):
		return core.LogOutOfRange{Read: read, Era: outOfRange.Era, First: outOfRange.First, Next: outOfRange.Next}
	case err != nil:
		return core.LogReadFailed{Read: read, Reason: err.Error()}
	}
	entries := make([]distribution.Entry, 0, len(page.Entries))
	for _, entry := range page.Entries {
		entries = append(entries, distribution.Entry{Offset: entry.Offset, Data: entry.Data})
	}
	return core.LogPage{
		Read: read, Era: page.Era, First: page.First, Next: page.Next, Entries: entries, Retention: p.settings.Retention.Std(),
	}
}

func (p *platform) append(e core.Append) {
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, p.settings.AppendTimeout.Std())
		defer cancel()
		offset, err := p.client.Append(ctx, streamRecords, e.Data)
		result := core.AppendResult{ID: e.ID, Offset: offset}
		if err != nil {
			result = core.AppendResult{ID: e.ID, NotRun: !errors.Is(err, logclient.ErrUnknown), Reason: err.Error()}
		}
		p.loop.post(result)
	}()
}

func (p *platform) readSnapshots(e core.ReadSnapshots) {
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, snapshotTimeout)
		defer cancel()
		s, err := p.newestSnapshot(ctx)
		if err != nil {
			p.loop.post(core.LogReadFailed{Read: e.Read, Reason: err.Error()})
			return
		}
		p.loop.post(core.SnapshotRead{Read: e.Read, Snapshot: s})
	}()
}

// newestSnapshot reads the end of the snapshot stream, and further back until a
// complete snapshot is found or the start of the stream is reached.
func (p *platform) newestSnapshot(ctx context.Context) (distribution.Snapshot, error) {
	first, next, err := p.snapshotRange(ctx)
	if err != nil {
		return distribution.Snapshot{}, err
	}
	for tail := record.Revision(initialSnapshotTail); ; tail *= 4 {
		from := first
		if next > first+tail {
			from = next - tail
		}
		entries, err := p.snapshotEntries(ctx, from, next)
		if err != nil {
			return distribution.Snapshot{}, err
		}
		if revision, data, ok := snapshot.Join(entries); ok {
			return distribution.Snapshot{Revision: revision, Data: data}, nil
		}
		if from == first {
			return distribution.Snapshot{}, nil
		}
	}
}

func (p *platform) snapshotRange(ctx context.Context) (first, next record.Revision, err error) {
	page, err := p.client.Read(ctx, streamSnapshots, 1, 1, 0)
	var outOfRange *logclient.OutOfRangeError
	if errors.As(err, &outOfRange) {
		return outOfRange.First, outOfRange.Next, nil
	}
	return page.First, page.Next, errors.Wrap(err, "read range of the snapshot stream")
}

func (p *platform) snapshotEntries(ctx context.Context, from, next record.Revision) ([][]byte, error) {
	var entries [][]byte
	for from < next {
		page, err := p.client.Read(ctx, streamSnapshots, from, int(next-from), 0)
		if err != nil {
			return nil, errors.Wrap(err, "read snapshot stream")
		}
		if len(page.Entries) == 0 {
			break
		}
		for _, entry := range page.Entries {
			entries = append(entries, entry.Data)
			from = entry.Offset + 1
		}
	}
	return entries, nil
}

func (p *platform) appendSnapshot(s *state.State) {
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, snapshotTimeout)
		defer cancel()
		result := core.SnapshotAppended{Revision: s.Revision}
		if err := p.writeSnapshot(ctx, s); err != nil {
			result.Err = err.Error()
		}
		p.loop.post(result)
	}()
}

func (p *platform) writeSnapshot(ctx context.Context, s *state.State) error {
	data, err := snapshot.Encode(s)
	if err != nil {
		return err
	}
	parts, err := snapshot.Split(s.Revision, data)
	if err != nil {
		return err
	}
	for _, part := range parts {
		if _, err := p.client.Append(ctx, streamSnapshots, part); err != nil {
			return errors.Wrap(err, "append snapshot part")
		}
	}
	return nil
}
