package distribution

import (
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// pulls is the state of the requests to peers.
type pulls struct {
	lastID uint64
	// pending holds the newest requests by id.
	pending map[uint64]pendingPull
	order   []uint64

	next     time.Duration
	nextZone time.Duration
	nextGap  time.Duration
}

// pendingPull is a request that has not been answered yet.
type pendingPull struct {
	to     mesh.NodeID
	status bool
}

// maxPendingPulls bounds the requests whose responses are still recognized.
const maxPendingPulls = 1024

func newPulls(number uint64) pulls {
	return pulls{lastID: number, pending: make(map[uint64]pendingPull)}
}

// runPulls asks one random peer of the zone and, on a reader, one reader of
// another zone for what is missing. The exchange between zones also runs while
// the platform answers, since a single zone may be disconnected from it.
func (m *Machine) runPulls() {
	p := &m.pulls
	if m.now >= p.next {
		p.next = m.now + m.pullDelay()
		if live := m.peers.live; len(live) > 0 {
			m.pull(live[m.rng.IntN(len(live))], PullRequest{})
		}
	}
	if m.peers.reader && m.now >= p.nextZone {
		p.nextZone = m.now + m.pullDelay()
		if zones := m.peers.remoteReaders; len(zones) > 0 {
			readers := zones[m.rng.IntN(len(zones))]
			m.pull(readers[m.rng.IntN(len(readers))], PullRequest{})
		}
	}
	if end, gap := m.buffer.gapEnd(); gap && m.now >= p.nextGap {
		p.nextGap = m.now + GapRetryInterval
		if live := m.peers.live; len(live) > 0 {
			m.pull(live[m.rng.IntN(len(live))], PullRequest{Limit: end})
		}
	}
}

func (m *Machine) pullDelay() time.Duration {
	return PullInterval*3/4 + time.Duration(m.rng.Int64N(int64(PullInterval/2)))
}

// pullFrom pulls from a peer that is known to have newer entries, at most once per
// GapRetryInterval.
func (m *Machine) pullFrom(id mesh.NodeID) {
	if m.now < m.pulls.nextGap {
		return
	}
	m.pulls.nextGap = m.now + GapRetryInterval
	end, _ := m.buffer.gapEnd()
	m.pull(id, PullRequest{Limit: end})
}

func (m *Machine) pull(to mesh.NodeID, r PullRequest) {
	p := &m.pulls
	p.lastID++
	r.From, r.ID, r.ContiguousOffset, r.Applied, r.NACK, r.Era = m.cfg.Self, p.lastID, m.buffer.contiguous, m.applied, m.nack, m.era
	p.pending[r.ID] = pendingPull{to: to, status: r.StatusOnly}
	p.order = append(p.order, r.ID)
	if len(p.order) > maxPendingPulls {
		delete(p.pending, p.order[0])
		p.order = p.order[1:]
	}
	m.emit(SendPull{To: to, Request: r})
}

// handlePullRequest answers with the entries that the sender is missing or, if they
// are trimmed, with a snapshot.
func (m *Machine) handlePullRequest(r PullRequest) {
	if !m.inEra(r.Era, 0) {
		if m.restored && m.newEra > r.Era {
			// Nodes that do not read the log learn of the restoration from others.
			m.emit(SendResponse{To: r.From, Response: PullResponse{From: m.cfg.Self, ID: r.ID, Era: m.newEra}})
		}
		return
	}
	response := PullResponse{
		Era:  m.era,
		From: m.cfg.Self, ID: r.ID, ContiguousOffset: m.buffer.contiguous, Applied: m.applied, NACK: m.nack, Ready: m.ready.ready,
	}
	if r.ContiguousOffset > m.buffer.contiguous {
		m.pullFrom(r.From)
	}
	if r.StatusOnly {
		if r.WantMembers {
			response.Members = append(append([]mesh.NodeID{m.cfg.Self}, m.peers.live...), m.peers.suspects...)
		}
		m.emit(SendResponse{To: r.From, Response: response})
		return
	}
	response.Entries = m.buffer.after(r.ContiguousOffset, r.Limit, MaxBufferEntries)
	if len(response.Entries) > 0 || m.applied <= r.ContiguousOffset {
		m.emit(SendResponse{To: r.From, Response: response})
		return
	}
	if retry, ok := m.transfers.admit(r.From, m.now); !ok {
		response.RetryAfterMS = (retry/2 + time.Duration(m.rng.Int64N(int64(retry)))).Milliseconds()
		m.emit(SendResponse{To: r.From, Response: response})
		return
	}
	m.emit(SendSnapshot{To: r.From, Revision: m.applied, Response: response})
}

func (m *Machine) handlePullResponse(r PullResponse) {
	p := &m.pulls
	request, known := p.pending[r.ID]
	if !known || request.to != r.From {
		return
	}
	delete(p.pending, r.ID)
	if !m.inEra(r.Era, 0) {
		return
	}
	m.ready.recordStatus(r, request.status, m.now)
	before := m.buffer.contiguous
	fresh := m.ingest(r.Entries)
	if r.Snapshot != nil {
		m.install(*r.Snapshot)
	}
	if m.fromOtherZone(r.From) {
		m.relay(m.cfg.Self, fresh)
	}
	switch {
	case r.RetryAfterMS > 0:
		retry := time.Duration(min(r.RetryAfterMS, BackoffMax.Milliseconds())) * time.Millisecond
		p.next = max(p.next, m.now+retry)
	case m.buffer.contiguous > before && r.ContiguousOffset > m.buffer.contiguous:
		// The response was truncated at its limit.
		m.pull(r.From, PullRequest{})
	case request.status && r.ContiguousOffset > m.buffer.contiguous:
		m.pullFrom(r.From)
	}
}

func (m *Machine) fromOtherZone(id mesh.NodeID) bool {
	for _, readers := range m.peers.remoteReaders {
		for _, reader := range readers {
			if reader == id {
				return true
			}
		}
	}
	return false
}

// transfers admits snapshot transfers.
type transfers struct {
	// deadlines holds the time at which the transfer of each receiver expires.
	deadlines map[mesh.NodeID]time.Duration
}

func newTransfers() transfers { return transfers{deadlines: make(map[mesh.NodeID]time.Duration)} }

// admit admits a transfer to a receiver. At MaxConcurrentTransfers it returns the
// time until the next transfer expires, at least BackoffMin.
func (t *transfers) admit(to mesh.NodeID, now time.Duration) (time.Duration, bool) {
	earliest := TransferTimeout
	for id, until := range t.deadlines {
		if now >= until {
			delete(t.deadlines, id)
			continue
		}
		earliest = min(earliest, until-now)
	}
	if _, again := t.deadlines[to]; !again && len(t.deadlines) >= MaxConcurrentTransfers {
		return max(earliest, BackoffMin), false
	}
	t.deadlines[to] = now + TransferTimeout
	return 0, true
}

func (t *transfers) done(to mesh.NodeID) { delete(t.deadlines, to) }
