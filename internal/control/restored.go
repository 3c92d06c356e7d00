package control

import (
	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/directory"
)

// maxEraStep limits by how many restorations another node may know more than this one, which reads
// the store itself when it starts.
const maxEraStep = 64

// handleStoreEra records the era of the store. A response to a request that was sent before
// the last change of the era tells nothing.
func (c *Control) handleStoreEra(t Time, e StoreEraSeen) {
	if e.Before != c.storeEra {
		return
	}
	if e.Era == c.storeEra {
		c.storeEraKnown = true
		return
	}
	c.adoptStoreEra(t, e.Era)
}

// adoptStoreEra handles a restoration of the store from an older copy: what this node knows to be
// written may be lost, and only the nodes can write it again.
func (c *Control) adoptStoreEra(t Time, era uint64) {
	before, known := c.storeEra, c.storeEraKnown
	c.storeEra, c.storeEraKnown = era, true
	if known {
		c.log("store_era_changed", "era", era, "era_before", before)
		c.forgetWrites()
	}
	c.publishView(t)
}

// forgetWrites makes the node read again what the store holds of the nodes' writes before it
// decides what to write.
func (c *Control) forgetWrites() {
	c.statuses, c.storedMoves = map[string]Status{}, map[string]canary.Move{}
	c.caughtUp[MoveFeed], c.caughtUp[StatusFeed] = false, false
	for _, m := range c.moves {
		m.statusSince = 0
	}
	c.movesUnverified = len(c.moves) > 0
	clear(c.stopped)
	if c.withdrawn {
		return
	}
	c.announced, c.departures.kept = directory.Announcement{}, 0
	if c.isReader() {
		// The store may still have the announcement.
		c.caughtUp[MeshFeed] = false
	}
}

// adoptPeerEra learns of a restoration from a reader. Nodes of a large mesh that do not read
// the store themselves have to write their announcements again.
func (c *Control) adoptPeerEra(t Time, s PeerState) {
	if c.large() && !c.isReader() && s.StoreEra > c.storeEra && s.StoreEra-c.storeEra <= maxEraStep {
		c.adoptStoreEra(t, s.StoreEra)
	}
}

// recordStored records which state of a move the store holds.
func (c *Control) recordStored(m canary.Move) { c.storedMoves[m.Service] = m }

// storedIsOutdated reports whether the store lacks the recorded state of a move.
func (c *Control) storedIsOutdated(m *moveState) bool {
	stored, ok := c.storedMoves[m.move.Service]
	return m.recorded && (!ok || m.move.Supersedes(stored))
}

// verifyMoves ends the verification of the moves in a restored store once it holds them all.
func (c *Control) verifyMoves() {
	if !c.movesUnverified || !c.caughtUp[MoveFeed] {
		return
	}
	for _, m := range c.moves {
		if c.storedIsOutdated(m) {
			return
		}
	}
	c.movesUnverified = false
}
