package idempotency

import (
	"strconv"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

const (
	// claimRankDelay staggers claims by rank, so that usually only one node claims a slot.
	claimRankDelay = 5 * time.Second
	// maxPreferredOwners limits the nodes that usually own slots. Each owner renews its
	// lease every 20 s and each renewal is sent to every node of the mesh: with 64 owners,
	// relaying them took 5 KB/s of the 11 KB/s of a zone reader.
	maxPreferredOwners = 16
	// renewalsPerLease allows two more attempts if a renewal is lost.
	renewalsPerLease = 3
	// maxPendingRenewals limits the renewals without an outcome. An older renewal that is
	// accepted late does not extend the lease.
	maxPendingRenewals = 16
)

func (m *Machine) handleTick(now time.Duration) []Effect {
	effects := m.advanceStop(now)
	if m.stop.phase >= phaseHandingOver {
		return effects
	}
	if m.OwnedSlots() > 0 && now-m.lastRenewalAt >= m.config.Lease/renewalsPerLease {
		effects = append(effects, m.renew(now))
	}
	if m.stop.phase != phaseRunning {
		return effects
	}
	for i := range m.logSlots {
		if m.shouldClaim(i, now) {
			effects = append(effects, m.claim(i, now))
		}
	}
	return effects
}

func (m *Machine) renew(now time.Duration) Effect {
	m.renewalNonce++
	m.lastRenewalAt = now
	m.pendingRenewals[m.renewalNonce] = now
	delete(m.pendingRenewals, m.renewalNonce-maxPendingRenewals)
	return AppendRecord{m.newRecord(record.RenewKeySlots{
		Node: string(m.config.Node), Session: string(m.config.Session), Nonce: m.renewalNonce,
	}, 0)}
}

func (m *Machine) shouldClaim(i int, now time.Duration) bool {
	s, slot := &m.slots[i], m.logSlots[i]
	if s.claimID != "" || m.owns(i) || len(m.live) == 0 {
		return false
	}
	if slot.Released && slot.Successor == string(m.config.Node) {
		return true
	}
	eligibleAt := max(s.lastSeenAt, m.startedAt)
	if slot.Epoch != 0 && !slot.Released {
		eligibleAt += m.config.Lease + m.config.LeaseMargin
		// Only a log read that began after this time proves that the lease was not renewed.
		if m.confirmedAt < eligibleAt {
			return false
		}
	}
	if now < eligibleAt {
		return false
	}
	return m.claimDelayElapsed(i, slot.Released, now-eligibleAt)
}

// claimDelayElapsed reports whether this node may claim a slot after the given wait. Claims
// are staggered by rank, first among the preferred owners, then among all nodes in case no
// preferred owner can reach the platform. The rank among all nodes needs a hash of each live
// node, so it is only computed after the preferred owners had their turn.
func (m *Machine) claimDelayElapsed(i int, released bool, waited time.Duration) bool {
	if m.preferred == nil {
		ranked := mesh.RankNodes("key-owners", m.live)
		m.preferred = ranked[:min(len(ranked), maxPreferredOwners)]
	}
	key := "key-slot/" + strconv.Itoa(i)
	rank, ok := mesh.Rank(key, m.config.Node, m.preferred)
	if !ok && waited < time.Duration(len(m.preferred))*claimRankDelay {
		return false
	}
	if !ok {
		if rank, ok = mesh.Rank(key, m.config.Node, m.live); !ok {
			return false
		}
		rank += len(m.preferred)
	}
	if released {
		rank++
	}
	return waited >= time.Duration(rank)*claimRankDelay
}

func (m *Machine) claim(i int, now time.Duration) Effect {
	rec := m.newRecord(record.ClaimKeySlot{
		Slot: i, Node: string(m.config.Node), Session: string(m.config.Session),
	}, m.logSlots[i].Renewal)
	m.slots[i].claimID, m.slots[i].claimedAt = rec.ID, now
	return AppendRecord{rec}
}

// handleRecordApplied updates the state from a record of the log.
func (m *Machine) handleRecordApplied(e RecordApplied) []Effect {
	before := m.logSlots
	m.logSlots = *e.Slots
	m.revision = max(m.revision, e.Result.Outcome.Offset)
	for i := range m.logSlots {
		if m.logSlots[i].Renewal != before[i].Renewal {
			m.slots[i].lastSeenAt = e.Now
		}
	}
	switch body := e.Result.Record.Body.(type) {
	case record.ClaimKeySlot:
		m.claimApplied(body.Slot, e, before)
	case record.RenewKeySlots:
		m.renewalApplied(body, e.Result.Outcome.Code)
	case record.ReleaseKeySlots:
		return m.advanceStop(e.Now)
	}
	return nil
}

func (m *Machine) claimApplied(i int, e RecordApplied, before Slots) {
	if i < 0 || i >= len(m.slots) || e.Result.ID != m.slots[i].claimID {
		return
	}
	s := &m.slots[i]
	s.claimID = ""
	if e.Result.Outcome.Code != state.Accepted || e.Result.Duplicate {
		return
	}
	s.leaseStart = s.claimedAt
	m.takeOverSlot(i, before[i].Epoch, e.Now)
}

// takeOverSlot sets up a slot that this node now owns. Its keys are fully known if there was
// no earlier owner or if the handover of that owner was received. Otherwise unknown keys are
// refused until the retry horizon of the earlier owner's keys has passed.
func (m *Machine) takeOverSlot(i int, earlier record.Epoch, now time.Duration) {
	s := &m.slots[i]
	inherited := s.inherited
	s.inherited = nil
	s.refuseUnknownUntil = 0
	switch {
	case earlier == 0:
	case inherited != nil && inherited.epoch == earlier:
		m.store.adoptInherited(inherited)
	default:
		s.refuseUnknownUntil = now + m.config.RetryHorizon + m.config.RetryHorizon/driftDivisor
	}
	if inherited != nil {
		m.store.dropInherited(inherited)
	}
}

func (m *Machine) renewalApplied(body record.RenewKeySlots, code state.Code) {
	if body.Node != string(m.config.Node) || body.Session != string(m.config.Session) {
		return
	}
	sent, ok := m.pendingRenewals[body.Nonce]
	delete(m.pendingRenewals, body.Nonce)
	if !ok || code != state.Accepted {
		return
	}
	for i := range m.slots {
		if m.owns(i) {
			m.slots[i].leaseStart = max(m.slots[i].leaseStart, sent)
		}
	}
}

// handleSnapshotLoaded replaces the state of the slots. A claim of this session may have been
// accepted in the skipped part of the log. The previous owner of the slot is then unknown,
// so its keys may have run.
func (m *Machine) handleSnapshotLoaded(e SnapshotLoaded) []Effect {
	before := m.logSlots
	m.logSlots = *e.Slots
	for i := range m.logSlots {
		if m.logSlots[i].Renewal == before[i].Renewal {
			continue
		}
		s := &m.slots[i]
		s.lastSeenAt = e.Now
		if s.claimID != "" && m.logSlots[i].Epoch != before[i].Epoch {
			s.claimID = ""
		}
		if m.owns(i) && m.logSlots[i].Epoch != before[i].Epoch {
			s.leaseStart = s.claimedAt
			if s.inherited != nil {
				m.store.dropInherited(s.inherited)
				s.inherited = nil
			}
			s.refuseUnknownUntil = e.Now + m.config.RetryHorizon + m.config.RetryHorizon/driftDivisor
		}
	}
	return nil
}
