package control

import (
	"maps"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// MoveSummary is what a node knows of an open move from all nodes. In a large mesh the
// readers, which hear from every node, send it to the others: otherwise each node would
// have to exchange messages with all others within seconds.
type MoveSummary struct {
	Service string `json:"service"`
	Number  uint64 `json:"number"`
	// Current and Old hold the responses of the new and the old version.
	Current canary.VersionStats `json:"current"`
	Old     canary.VersionStats `json:"old"`
	// NewTargets is the number of targets of the new version, OldRequests the number of
	// requests that those of the old version serve.
	NewTargets  int `json:"new_targets"`
	OldRequests int `json:"old_requests"`
	// AcknowledgedRevision is the revision of the move that all live nodes have.
	AcknowledgedRevision int `json:"acknowledged"`
	// PerSecond is the rate of requests for the service in the mesh.
	PerSecond float64 `json:"per_second"`
	// Reached is the number of requests that have reached targets of the service since the order,
	// or fewer.
	Reached int `json:"reached,omitempty"`
	// Suspected is set while a live node suspects the new version.
	Suspected bool `json:"suspected,omitempty"`
}

// receivedSummary is a summary of a reader.
type receivedSummary struct {
	MoveSummary
	at time.Duration
}

// summaryMaxAge is the age at which a summary is no longer used. A node contacts a reader
// every moveGossipInterval.
const summaryMaxAge = 3 * time.Second

// summarize returns what this node itself knows of a move.
func (c *Control) summarize(t Time, m canary.Move) MoveSummary {
	s := MoveSummary{
		Service: m.Service, Number: m.Number, AcknowledgedRevision: m.Revision, PerSecond: c.load.PerSecond[m.Service],
		Suspected: c.suspects()[m.Service] == m.Number,
	}
	s.Reached = c.countReached(m)
	s.addTarget(c.self.Target, m, c.evidence, c.recent)
	s.addLoad(c.self.Target, m, c.load.Running+c.load.Waiting)
	for _, p := range c.peers {
		s.addTarget(p.Announcement.Target, m, p.Evidence, p.Recent)
		s.PerSecond += p.PerSecond[m.Service]
	}
	for _, id := range c.alive(t) {
		if id == c.self.Node {
			continue
		}
		p := c.peers[id]
		s.addLoad(p.Announcement.Target, m, p.Running+p.Waiting)
		s.AcknowledgedRevision = min(s.AcknowledgedRevision, revisionOf(p.Moves, m))
		s.Suspected = s.Suspected || p.Suspects[m.Service] == m.Number
	}
	return s
}

// suspects returns the number of each open move whose new version this node itself suspects, by
// service.
func (c *Control) suspects() map[string]uint64 {
	var out map[string]uint64
	for service, m := range c.moves {
		if !m.cut || !m.move.Open() {
			continue
		}
		if out == nil {
			out = map[string]uint64{}
		}
		out[service] = m.move.Number
	}
	return out
}

// addTarget adds the responses of a target.
func (s *MoveSummary) addTarget(target *directory.Target, m canary.Move, e canary.Evidence, r canary.RecentCounts) {
	switch {
	case target == nil || target.Service != m.Service:
	case target.Version == m.Version:
		s.Current.Add(target.ID, e, r)
	default:
		// Only the sum over all targets of the old version counts.
		s.Old.Add("", e, r)
	}
}

// addLoad adds the requests that a target of a live node serves.
func (s *MoveSummary) addLoad(target *directory.Target, m canary.Move, requests int) {
	switch {
	case target == nil || target.Service != m.Service:
	case target.Version != m.Version:
		s.OldRequests += requests
	case target.Serving:
		s.NewTargets++
	}
}

// revisionOf returns the revision of the move that a node reports, or 0.
func revisionOf(moves []canary.Move, m canary.Move) int {
	for _, o := range moves {
		if o.Service == m.Service && o.Number == m.Number {
			return o.Revision
		}
	}
	return 0
}

// ownSummaries returns the summaries that a reader sends to the others, as of its last
// tick.
func (c *Control) ownSummaries() []MoveSummary {
	if !c.large() || !c.isReader() {
		return nil
	}
	var out []MoveSummary
	for _, service := range slices.Sorted(maps.Keys(c.moves)) {
		if m := c.moves[service]; m.recorded && m.move.Open() && m.known.Number == m.move.Number {
			out = append(out, m.known)
		}
	}
	return out
}

// adoptSummaries stores the summaries of a reader. One that counts fewer responses than the
// last one is older, or its sender has not heard from all nodes.
func (c *Control) adoptSummaries(t Time, summaries []MoveSummary) {
	for _, s := range summaries {
		last, ok := c.summaries[s.Service]
		if ok && last.Number == s.Number && t.Now-last.at < summaryMaxAge && s.responses() < last.responses() {
			continue
		}
		c.summaries[s.Service] = receivedSummary{s, t.Now}
	}
}

func (s MoveSummary) responses() int {
	return s.Current.Evidence.Total().Responses + s.Old.Evidence.Total().Responses
}

// summaryOf returns what is known of a move: the summary of a reader, or what this node
// knows itself if it is a reader or hears of none.
func (c *Control) summaryOf(t Time, m canary.Move) MoveSummary {
	if s, ok := c.readerSummary(t, m); ok {
		return s
	}
	return c.summarize(t, m)
}

func (c *Control) readerSummary(t Time, m canary.Move) (MoveSummary, bool) {
	s, ok := c.summaries[m.Service]
	if !ok || !c.large() || c.isReader() || s.Number != m.Number || t.Now-s.at >= summaryMaxAge {
		return MoveSummary{}, false
	}
	return s.MoveSummary, true
}

// movesSummarized reports whether a reader's summary of each open move is known, so that
// this node needs no direct exchange with all others.
func (c *Control) movesSummarized(t Time) bool {
	for _, m := range c.moves {
		if !m.move.Open() {
			continue
		}
		if _, ok := c.readerSummary(t, m.move); !ok && !c.isReader() {
			return false
		}
	}
	return true
}

// followsMoves reports whether this node itself reads the states of moves in the store. In
// a large mesh the readers pass them on while they prove that the store answers them: each
// state would wake the reads of all nodes, which are billed.
func (c *Control) followsMoves(t Time) bool {
	if !c.moveOpen() && !c.movesUnverified {
		return false
	}
	return !c.large() || c.isReader() || !c.toldFresh(t)
}

// moveWriters returns the nodes in the order in which they write the next phase of a move:
// in a large mesh the readers first, which know most.
func (c *Control) moveWriters(t Time, key string) []mesh.NodeID {
	ranked := mesh.RankNodes(key, c.alive(t))
	if len(c.readers) == 0 {
		return ranked
	}
	out := slices.Clone(c.readers)
	for _, id := range ranked {
		if !slices.Contains(c.readers, id) {
			out = append(out, id)
		}
	}
	return out
}
