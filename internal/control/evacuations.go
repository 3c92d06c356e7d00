package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/logpos"
	"heathercroft.example/heathercroft/pkg/mesh"
)

const (
	// maxZoneOrders limits the zones whose last order is kept. A deployment has a few dozen.
	maxZoneOrders = 256
	// maxOrderLead limits by how many records of the operator feed another node may know more than
	// this one has read in the same era, and maxOrderOffset the position of a record in any era. A
	// position beyond them would keep all later orders for the zone from taking effect.
	maxOrderLead   = 1 << 20
	maxOrderOffset = 1 << 40
	// orderFetchInterval is the minimum time between two requests for newer orders. Nodes of a
	// large mesh learn within checkInterval that a reader has some.
	orderFetchInterval = 200 * time.Millisecond
)

// ZoneOrder is the last order of the operator for a zone.
type ZoneOrder struct {
	Zone mesh.AvailabilityZone `json:"zone"`
	// Evacuated is set if no target of the zone may get requests. Otherwise an earlier order
	// has ended.
	Evacuated bool `json:"evacuated,omitempty"`
	// Position is that of the record of the order or of its deletion in the operator feed. If
	// the deletion was not read itself, it is the last place at which it can be.
	Position logpos.Position `json:"position"`
	// SinceUnixMS is the Unix time in milliseconds at which the first node read it.
	SinceUnixMS int64 `json:"since"`
}

// Evacuation is an order that is in force.
type Evacuation struct {
	Position    logpos.Position
	SinceUnixMS int64
}

// zoneOrders is what the node knows of the orders for zones. Orders are ordered by their position,
// so that an older copy of the feed, or of another node's knowledge, replaces nothing newer. In
// doubt a zone counts as evacuated: requests then go to other zones.
type zoneOrders struct {
	// known is set once the node knows the orders in force at its start.
	known  bool
	byZone map[mesh.AvailabilityZone]ZoneOrder
	// readTo is the position up to which this node itself has read the operator feed.
	readTo logpos.Position
	// named holds the zones of the records of the read in progress, unreadable those whose
	// newest record cannot be read.
	named, unreadable map[mesh.AvailabilityZone]bool
	// keptIn holds the era of the store in which an order is kept that the store has lost.
	keptIn    map[mesh.AvailabilityZone]uint64
	nextFetch time.Duration
	// allLogged is set while all known zones are evacuated, fullLogged once an order was ignored
	// because there are too many.
	allLogged, fullLogged bool
}

func newZoneOrders() zoneOrders {
	return zoneOrders{
		byZone: map[mesh.AvailabilityZone]ZoneOrder{}, named: map[mesh.AvailabilityZone]bool{}, unreadable: map[mesh.AvailabilityZone]bool{},
		keptIn: map[mesh.AvailabilityZone]uint64{},
	}
}

// evacuated reports whether an order for the zone is in force.
func (z *zoneOrders) evacuated(zone mesh.AvailabilityZone) bool { return z.byZone[zone].Evacuated }

// newest returns the position after the newest order, zero if there was none.
func (z *zoneOrders) newest() logpos.Position { return newestOrder(z.list()) }

func newestOrder(orders []ZoneOrder) (newest logpos.Position) {
	for _, o := range orders {
		at := o.Position
		at.Offset++
		if at.After(newest) {
			newest = at
		}
	}
	return newest
}

// list returns the orders for a message, ordered by zone, nil if there were none.
func (z *zoneOrders) list() []ZoneOrder {
	if len(z.byZone) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Values(z.byZone), func(a, b ZoneOrder) int { return cmp.Compare(a.Zone, b.Zone) })
}

// inForce returns the orders for the view, nil if there are none.
func (z *zoneOrders) inForce() map[mesh.AvailabilityZone]Evacuation {
	var out map[mesh.AvailabilityZone]Evacuation
	for zone, o := range z.byZone {
		if !o.Evacuated {
			continue
		}
		if out == nil {
			out = map[mesh.AvailabilityZone]Evacuation{}
		}
		out[zone] = Evacuation{o.Position, o.SinceUnixMS}
	}
	return out
}

// endedBefore reports whether an order at a position has ended according to what this node has
// read: its record would be known otherwise. A read in another era of the store does not tell:
// the store may have lost the record.
func (z *zoneOrders) endedBefore(o ZoneOrder) bool {
	return o.Evacuated && o.Position.Era == z.readTo.Era && o.Position.Offset+1 < z.readTo.Offset && !z.unreadable[o.Zone]
}

// handleZoneRecord processes a record of the operator feed.
func (c *Control) handleZoneRecord(t Time, o ZoneOrder) {
	z := &c.zones
	z.named[o.Zone] = true
	delete(z.unreadable, o.Zone)
	o.SinceUnixMS = t.UnixMS
	if c.adoptZoneOrder(t, o, "store") {
		c.zoneOrdersChanged(t)
	}
}

// handleUnreadableZone keeps the last known order of a zone whose record cannot be read.
func (c *Control) handleUnreadableZone(e ZoneOrderUnreadable) {
	z := &c.zones
	z.named[e.Zone] = true
	if !z.unreadable[e.Zone] && len(z.unreadable) < maxZoneOrders {
		z.unreadable[e.Zone] = true
		c.log("zone_order_unreadable", "zone", string(e.Zone), "offset", e.Position.Offset, "evacuated", z.evacuated(e.Zone))
	}
}

// finishZoneRead processes the end of a read of the operator feed. A complete read without the
// record of an order ends it.
func (c *Control) finishZoneRead(t Time, e FeedRead) {
	z := &c.zones
	named := z.named
	z.named = map[mesh.AvailabilityZone]bool{}
	if e.ReadTo.After(z.readTo) {
		z.readTo = e.ReadTo
	}
	if !e.Complete {
		return
	}
	maps.DeleteFunc(z.unreadable, func(zone mesh.AvailabilityZone, _ bool) bool { return !named[zone] })
	changed := false
	for _, o := range z.list() {
		switch {
		case named[o.Zone] || !o.Evacuated:
		case o.Position.Era != e.ReadTo.Era && z.keptIn[o.Zone] == e.ReadTo.Era:
		case o.Position.Era != e.ReadTo.Era:
			z.keptIn[o.Zone] = e.ReadTo.Era
			c.log("zone_order_kept", "zone", string(o.Zone), "era", o.Position.Era, "offset", o.Position.Offset, "store_era", e.ReadTo.Era)
		case z.endedBefore(o):
			changed = c.endZoneOrder(t, o.Zone, "store") || changed
		}
	}
	if changed {
		c.zoneOrdersChanged(t)
	}
}

// endZoneOrder ends the order of a zone as of what this node has read.
func (c *Control) endZoneOrder(t Time, zone mesh.AvailabilityZone, source string) bool {
	at := c.zones.readTo
	at.Offset--
	return c.adoptZoneOrder(t, ZoneOrder{Zone: zone, Position: at, SinceUnixMS: t.UnixMS}, source)
}

// adoptPeerOrders adopts the orders that another node knows, if they are newer. It reports whether
// it did. Outdated ones of the other node are contradicted by what the response holds.
func (c *Control) adoptPeerOrders(t Time, s PeerState) bool {
	changed := false
	for _, o := range s.ZoneOrders {
		mine, ok := c.zones.byZone[o.Zone]
		switch {
		case ok && !o.Position.After(mine.Position), o.Position.Era > c.storeEra+maxEraStep, c.zones.tooFarAhead(o):
		case c.zones.endedBefore(o):
			changed = c.endZoneOrder(t, o.Zone, string(s.Announcement.Node)) || changed
		default:
			changed = c.adoptZoneOrder(t, o, string(s.Announcement.Node)) || changed
		}
	}
	if !s.OrdersUnknown {
		c.learnZoneOrders(t, string(s.Announcement.Node))
	}
	return changed
}

// tooFarAhead reports whether no node can know an order at the position.
func (z *zoneOrders) tooFarAhead(o ZoneOrder) bool {
	return o.Position.Offset > maxOrderOffset || o.Position.Era == z.readTo.Era && o.Position.Offset > z.readTo.Offset+maxOrderLead
}

// learnZoneOrders records that the node knows the orders that were in force when it started.
func (c *Control) learnZoneOrders(t Time, source string) {
	if c.zones.known {
		return
	}
	c.zones.known = true
	c.log("zone_orders_known", "source", source, "evacuated", slices.Sorted(maps.Keys(c.zones.inForce())))
	c.refreshAnnouncement(t)
}

// awaitZoneOrders gives up waiting for the orders after the time that a node waits for departures.
func (c *Control) awaitZoneOrders(t Time) {
	if !c.zones.known && t.Now >= maxFormerWait && c.config != nil {
		c.learnZoneOrders(t, "none")
	}
}

// adoptZoneOrder stores an order unless a newer one is known. It reports whether it did.
func (c *Control) adoptZoneOrder(t Time, o ZoneOrder, source string) bool {
	z := &c.zones
	before, ok := z.byZone[o.Zone]
	if ok && !o.Position.After(before.Position) {
		return false
	}
	if !ok && len(z.byZone) >= maxZoneOrders {
		if z.fullLogged {
			return false
		}
		z.fullLogged = true
		c.log("zone_order_ignored", "zone", string(o.Zone), "evacuated", o.Evacuated, "known", len(z.byZone))
		return false
	}
	switch {
	case ok && before.Evacuated && o.Evacuated:
		o.SinceUnixMS = before.SinceUnixMS
	case !directory.ValidStart(o.SinceUnixMS, t.UnixMS):
		// The clock of another node is wrong.
		o.SinceUnixMS = t.UnixMS
	}
	z.byZone[o.Zone] = o
	if ok && before.Evacuated == o.Evacuated {
		return true
	}
	kind := "zone_returned"
	if o.Evacuated {
		kind = "zone_evacuated"
	}
	c.log(kind, "zone", string(o.Zone), "era", o.Position.Era, "offset", o.Position.Offset, "source", source,
		"was_evacuated", before.Evacuated, "nodes", c.nodesIn(o.Zone), "own", o.Zone == c.self.Zone)
	if before.Evacuated {
		c.returnTargets(t, o.Zone)
	}
	return true
}

// nodesIn returns the number of known nodes of a zone. It is 0 for a zone that no node names.
func (c *Control) nodesIn(zone mesh.AvailabilityZone) (count int) {
	for _, a := range append(c.dir.All(), c.self) {
		if a.Zone == zone {
			count++
		}
	}
	return count
}

// zoneOrdersChanged puts changed orders in force. The readers of a large mesh inform all nodes.
func (c *Control) zoneOrdersChanged(t Time) {
	c.adoptPendingClaim()
	c.logAllEvacuated()
	c.refreshAnnouncement(t)
	c.publishView(t)
	if c.isReader() && c.large() {
		c.broadcast(t)
	}
}

// logAllEvacuated logs when no known zone is left and when there is one again.
func (c *Control) logAllEvacuated() {
	all := true
	for _, a := range append(c.dir.All(), c.self) {
		all = all && c.zones.evacuated(a.Zone)
	}
	if all != c.zones.allLogged {
		c.zones.allLogged = all
		c.log("all_zones_evacuated", "all", all)
	}
}

// fetchZoneOrders asks a node that has newer orders for its state.
func (c *Control) fetchZoneOrders(t Time, newest logpos.Position, from directory.Announcement) {
	if !newest.After(c.zones.newest()) || t.Now < c.zones.nextFetch {
		return
	}
	c.zones.nextFetch = t.Now + orderFetchInterval
	c.emit(SendState{To: []mesh.NodeID{from.Node}, State: c.State(t)})
}

// valid reports whether a node can have sent the order.
func (o ZoneOrder) valid() bool { return o.Zone != "" && len(o.Zone) <= mesh.MaxNameBytes }
