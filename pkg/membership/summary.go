package membership

import (
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// updateOwnSummary updates the summary of the local zone if the local node is one of
// its readers.
func (m *Machine) updateOwnSummary() {
	if !m.isReader() {
		return
	}
	own := m.zones.get(m.cfg.Self.Zone)
	s := m.localSummary(m.cfg.Self.Zone)
	s.Version, s.Author = own.summary.Version, own.summary.Author
	if !equalSummary(s, own.summary) || s.Version == 0 {
		s.Version++
		s.Author = m.cfg.Self.ID
		own.summary = s
	}
}

func equalSummary(a, b ZoneSummary) bool {
	nacks := slices.Equal(a.NACKs, b.NACKs)
	a.NACKs, b.NACKs = nil, nil
	return nacks && a.Zone == b.Zone && a.Members == b.Members && a.Leaving == b.Leaving && a.Suspect == b.Suspect &&
		a.MinRevision == b.MinRevision && a.MaxRevision == b.MaxRevision && a.NACKCount == b.NACKCount
}

// localSummary summarizes the members of a zone from the local view.
func (m *Machine) localSummary(name mesh.AvailabilityZone) ZoneSummary {
	s := ZoneSummary{Zone: name}
	if name == m.cfg.Self.Zone {
		state := Alive
		if m.detail.Leaving {
			state = Leaving
		}
		s.count(m.detail, state)
	}
	for _, id := range m.table.list(name, notDead) {
		k := m.table.members[id]
		s.count(k.detail, k.state)
	}
	return s
}

func (s *ZoneSummary) count(d Detail, state State) {
	if s.Members == 0 || d.Revision < s.MinRevision {
		s.MinRevision = d.Revision
	}
	s.MaxRevision = max(s.MaxRevision, d.Revision)
	s.Members++
	switch state {
	case Leaving:
		s.Leaving++
	case Suspect:
		s.Suspect++
	}
	if d.NACK == "" {
		return
	}
	s.NACKCount++
	if len(s.NACKs) < MaxSummaryNACKs {
		s.NACKs = append(s.NACKs, NACK{Node: d.Info.ID, Revision: d.Revision, Reason: d.NACK})
	}
}

// acceptDigests applies newer summaries and, from nodes of the local zone, later
// contact times of other zones.
func (m *Machine) acceptDigests(from mesh.AvailabilityZone, digests []ZoneDigest) {
	for _, d := range digests {
		if !validID(string(d.Zone)) {
			m.malformed++
			continue
		}
		z := m.zones.get(d.Zone)
		if s := d.Summary; s != nil && s.Zone == d.Zone && s.Version > z.summary.Version {
			z.summary = *s
		}
		age := time.Duration(d.ContactAgeMS) * time.Millisecond
		if from != m.cfg.Self.Zone || d.ContactAgeMS < 0 || age > m.now {
			continue
		}
		if contact := m.now - age; !z.contactKnown || contact > z.lastContact {
			z.lastContact, z.contactKnown = contact, true
		}
	}
}

func (m *Machine) contactAge(name mesh.AvailabilityZone) int64 {
	z := m.zones.get(name)
	switch {
	case name == m.cfg.Self.Zone:
		return 0
	case !z.contactKnown:
		return -1
	default:
		return (m.now - z.lastContact).Milliseconds()
	}
}
