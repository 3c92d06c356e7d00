package idempotency

import (
	"strconv"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

const (
	// rankDelay staggers claims by rank, so that usually only one node claims.
	rankDelay = 5 * time.Second
	// preferredOwners bounds the nodes that own slots in the usual case. Each owner
	// renews every 20 s and each renewal goes to every node of the mesh: with 64
	// owners, relaying them cost a zone reader 5 KB/s of its 11 KB/s.
	preferredOwners = 16
	// renewalsPerLease leaves two more tries if one renewal is lost.
	renewalsPerLease = 3
	// renewalsKept bounds the renewals without an outcome; an older one that is
	// accepted late extends nothing.
	renewalsKept = 16
)

func (m *Machine) tick(now time.Duration) []Effect {
	effects := m.proceedStop(now)
	if m.stop.phase >= handingOver {
		return effects
	}
	if m.OwnedSlots() > 0 && now-m.renewedAt >= m.config.Lease/renewalsPerLease {
		effects = append(effects, m.renew(now))
	}
	if m.stop.phase != running {
		return effects
	}
	for i := range m.view {
		if m.shouldClaim(i, now) {
			effects = append(effects, m.claim(i, now))
		}
	}
	return effects
}

func (m *Machine) renew(now time.Duration) Effect {
	m.nonce++
	m.renewedAt = now
	m.renewals[m.nonce] = now
	delete(m.renewals, m.nonce-renewalsKept)
	return AppendRecord{m.newRecord(record.RenewKeySlots{
		Node: string(m.config.Node), Session: string(m.config.Session), Nonce: m.nonce,
	}, 0)}
}

func (m *Machine) shouldClaim(i int, now time.Duration) bool {
	s, slot := &m.slots[i], m.view[i]
	if s.claimID != "" || m.owns(i) || len(m.live) == 0 {
		return false
	}
	if slot.Released && slot.Successor == string(m.config.Node) {
		return true
	}
	from := max(s.seen, m.started)
	if slot.Epoch != 0 && !slot.Released {
		from += m.config.Lease + m.config.LeaseMargin
		// A read of the log that began after the wait shows that no renewal came.
		if m.confirmed < from {
			return false
		}
	}
	if now < from {
		return false
	}
	return m.isTurn(i, slot.Released, now-from)
}

// isTurn staggers the claims of a slot by rank: first among the few nodes that
// own slots by preference, then among all others, for the case that none of the
// few can reach the platform. The rank among all takes a hash of each live node,
// so it is not computed before.
func (m *Machine) isTurn(i int, released bool, waited time.Duration) bool {
	if m.preferred == nil {
		ranked := mesh.RankNodes("key-owners", m.live)
		m.preferred = ranked[:min(len(ranked), preferredOwners)]
	}
	key := "key-slot/" + strconv.Itoa(i)
	rank, ok := mesh.Rank(key, m.config.Node, m.preferred)
	if !ok && waited < time.Duration(len(m.preferred))*rankDelay {
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
	return waited >= time.Duration(rank)*rankDelay
}

func (m *Machine) claim(i int, now time.Duration) Effect {
	rec := m.newRecord(record.ClaimKeySlot{
		Slot: i, Node: string(m.config.Node), Session: string(m.config.Session),
	}, m.view[i].Renewal)
	m.slots[i].claimID, m.slots[i].claimedAt = rec.ID, now
	return AppendRecord{rec}
}

// applied follows the log.
func (m *Machine) applied(e RecordApplied) []Effect {
	before := m.view
	m.view = *e.Slots
	m.revision = max(m.revision, e.Result.Outcome.Offset)
	for i := range m.view {
		if m.view[i].Renewal != before[i].Renewal {
			m.slots[i].seen = e.Now
		}
	}
	switch body := e.Result.Record.Body.(type) {
	case record.ClaimKeySlot:
		m.claimApplied(body.Slot, e, before)
	case record.RenewKeySlots:
		m.renewalApplied(body, e.Result.Outcome.Code)
	case record.ReleaseKeySlots:
		return m.proceedStop(e.Now)
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
	s.leaseFrom = s.claimedAt
	m.takeOver(i, before[i].Epoch, e.Now)
}

// takeOver decides what the new owner knows about the keys of earlier owners:
// all if it has their memory or if there was none, else nothing.
func (m *Machine) takeOver(i int, earlier record.Epoch, now time.Duration) {
	s := &m.slots[i]
	inherited := s.inherited
	s.inherited = nil
	s.refuseUntil = 0
	switch {
	case earlier == 0:
	case inherited != nil && inherited.epoch == earlier:
		m.memory.adopt(inherited)
	default:
		s.refuseUntil = now + m.config.RetryHorizon + m.config.RetryHorizon/driftShare
	}
	if inherited != nil {
		m.memory.forgetInheritance(inherited)
	}
}

func (m *Machine) renewalApplied(body record.RenewKeySlots, code state.Code) {
	if body.Node != string(m.config.Node) || body.Session != string(m.config.Session) {
		return
	}
	sent, ok := m.renewals[body.Nonce]
	delete(m.renewals, body.Nonce)
	if !ok || code != state.Accepted {
		return
	}
	for i := range m.slots {
		if m.owns(i) {
			m.slots[i].leaseFrom = max(m.slots[i].leaseFrom, sent)
		}
	}
}

// loaded replaces the view. A claim of this session may have been accepted in
// the part of the log that was skipped; who owned the slot before is then not
// known, so its keys may have run.
func (m *Machine) loaded(e SnapshotLoaded) []Effect {
	before := m.view
	m.view = *e.Slots
	for i := range m.view {
		if m.view[i].Renewal == before[i].Renewal {
			continue
		}
		s := &m.slots[i]
		s.seen = e.Now
		if s.claimID != "" && m.view[i].Epoch != before[i].Epoch {
			s.claimID = ""
		}
		if m.owns(i) && m.view[i].Epoch != before[i].Epoch {
			s.leaseFrom = s.claimedAt
			if s.inherited != nil {
				m.memory.forgetInheritance(s.inherited)
				s.inherited = nil
			}
			s.refuseUntil = e.Now + m.config.RetryHorizon + m.config.RetryHorizon/driftShare
		}
	}
	return nil
}
