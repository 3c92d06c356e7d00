package control

import (
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/crashes"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
)

const (
	// storeFirstTime is how long after its start a node waits for the store before it relies on
	// what another node knows of its former process.
	storeFirstTime = time.Second
	// formerAnswerTime is how long a node that has read the announcement of its former process
	// waits for what the other nodes know: the store may lack the last departures. Messages between
	// zones take some tens of milliseconds.
	formerAnswerTime = 250 * time.Millisecond
	// hearsayTime is the time since its start after which a node that could not read the store has
	// heard of the departures at the other nodes. It exceeds one gossip cycle through a large mesh.
	hearsayTime = aliveTimeoutWithoutReader
	// hearsayAnswerTime is how long a node that cannot read the store waits for the answers of the
	// other nodes after the first one that should know all departures. The store may have lacked
	// those that few nodes have heard of.
	hearsayAnswerTime = 2 * time.Second
	// maxFormerWait is the time since its start after which a node with a configuration uses its
	// target although neither the store nor another node tells what a former process confirmed.
	// Heartbeats are late by a few seconds at most.
	maxFormerWait = 8 * time.Second
	// removalInterval is the minimum time between two removals of records of stopped nodes.
	removalInterval = 10 * time.Second
)

// ReceiverKnowledge is what a node knows of the node to which it responds.
type ReceiverKnowledge struct {
	// StartUnixMS and Sequence are those of the receiver's newest announcement, 0 if none is known.
	StartUnixMS int64  `json:"start,omitempty"`
	Sequence    uint64 `json:"sequence,omitempty"`
	// Departed holds the departures that processes of the receiver announced.
	Departed []directory.Departure `json:"departed,omitempty"`
	// Complete is set if the sender has read the announcements in the store, or has run for long
	// enough to have heard of all departures.
	Complete bool `json:"complete,omitempty"`
}

// formerProcess is what the node knows of its former processes. Until it is known what they
// confirmed, the target beside the node gets no requests: a heartbeat may have been sent before
// the target left.
type formerProcess struct {
	known bool
	// newest is the newest announcement of a former process that was received.
	newest directory.Announcement
	// complete is set once a node has answered that knows all departures.
	complete bool
	// answered holds the nodes that said what they know, awaited those that have yet to say it,
	// until deadline. asked holds those that were asked without the store.
	answered map[mesh.NodeID]bool
	asked    map[mesh.NodeID]bool
	awaited  map[mesh.NodeID]bool
	deadline time.Duration
	// waitLogged is set once it was logged that a target waits.
	waitLogged bool
}

// departures holds the state of the departures in the node's announcement.
type departures struct {
	// announcedIn holds the sequence number of the first announcement with the departure of a
	// target, 0 if a former process announced it.
	announcedIn map[string]uint64
	// kept is the sequence number of the newest announcement that is in the store, or that another
	// node has acknowledged.
	kept uint64
	// changed is set until the next announcement.
	changed bool
}

// asks reports whether this node needs to know what other nodes know of it.
func (c *Control) asks() bool {
	unkept := func(d directory.Departure) bool { return c.departures.announcedIn[d.ID] > c.departures.kept }
	return !c.former.known || slices.ContainsFunc(c.self.Departed, unkept)
}

// Reply returns the state in response to that of another node.
func (c *Control) Reply(t Time, received PeerState) PeerState {
	s := c.State(t)
	if !received.Asks {
		return s
	}
	to := received.Announcement.Node
	if received.Starting {
		s.Others = c.contacts()
		s.Others = slices.Clone(s.Others[:min(len(s.Others), maxRelayedAnnouncements)])
	}
	known, _ := c.dir.Get(to)
	s.Receiver = &ReceiverKnowledge{
		StartUnixMS: known.StartUnixMS, Sequence: known.Sequence, Departed: c.dir.Departures(to),
		Complete: c.caughtUp[MeshFeed] || t.Now >= hearsayTime,
	}
	return s
}

// DepartureKept reports whether the departure that an event reported is kept outside this process.
// It is true for an event that reports none.
func (c *Control) DepartureKept(e Event) bool {
	var target string
	switch e := e.(type) {
	case HeartbeatReceived:
		if e.Heartbeat.Draining {
			target = e.Heartbeat.ID
		}
	case TargetLeaving:
		target = e.ID
	}
	in, reported := c.departures.announcedIn[target]
	return !reported || in <= c.departures.kept
}

// keepDeparture includes a departure in the announcement.
func (c *Control) keepDeparture(t Time, p directory.Process, report string) {
	departed := []directory.Departure{{Process: p, AtUnixMS: t.UnixMS}}
	if directory.Covers(c.self.Departed, p) {
		return
	}
	if err := directory.ValidateDepartures(departed, t.UnixMS); err != nil {
		// No target can have registered as such a process, and other nodes would refuse the
		// announcement.
		c.log("departure_invalid", "report", report, "error", err.Error())
		return
	}
	c.log("departure_reported", "target", p.ID, "target_start", p.StartUnixMS, "report", report, "process", c.self.StartUnixMS)
	c.addDepartures(departed, c.self.Sequence+1, t)
}

// probeReturning asks a target that is reported to have left, and whose heartbeats go on, whether it is
// healthy: the report may have been of a former process and late.
func (c *Control) probeReturning() {
	p, ok := c.local.Returning()
	if path := c.service(c.local.Service).HealthPath; ok && path != "" {
		c.emit(ProbeHealth{Target: p, Path: path})
	}
}

// handleReturn uses a target again that was reported to have left and says that it is healthy. The
// departure stays in the announcement, since other nodes hold it as well: after a restart of this node
// the target has to show again that it runs.
func (c *Control) handleReturn(t Time, p directory.Process) {
	before := c.self.Target
	h, ok := c.local.ConfirmReturn(p, t.Now)
	if !ok {
		return
	}
	c.log("target_returned", "target", p.ID, "target_start", p.StartUnixMS)
	c.targetAccepted(t, before, h)
}

// expireDepartures drops departures that are no longer kept. That is no change of the announcement:
// other nodes drop them as well.
func (c *Control) expireDepartures(t Time) {
	c.dir.ExpireDepartures(t.UnixMS)
	if slices.ContainsFunc(c.self.Departed, func(d directory.Departure) bool { return d.Expired(t.UnixMS) }) {
		c.self.Departed = directory.MergeDepartures(c.self.Departed, nil, t.UnixMS)
		c.announced.Departed = directory.MergeDepartures(c.announced.Departed, nil, t.UnixMS)
	}
}

func (c *Control) addDepartures(departed []directory.Departure, announcedIn uint64, t Time) {
	c.self.Departed = directory.MergeDepartures(c.self.Departed, departed, t.UnixMS)
	before := c.departures.announcedIn
	c.departures.announcedIn = make(map[string]uint64, len(c.self.Departed))
	for _, d := range c.self.Departed {
		c.departures.announcedIn[d.ID] = before[d.ID]
	}
	for _, d := range departed {
		c.departures.announcedIn[d.ID] = announcedIn
	}
	c.departures.changed = true
}

// setKept records that the store or another node has an announcement of this process.
func (c *Control) setKept(sequence uint64, by string) {
	if sequence <= c.departures.kept || sequence > c.self.Sequence {
		return
	}
	before := c.departures.kept
	c.departures.kept = sequence
	for _, d := range c.self.Departed {
		if in := c.departures.announcedIn[d.ID]; in > before && in <= sequence {
			c.log("departure_kept", "target", d.ID, "target_start", d.StartUnixMS, "by", by, "process", c.self.StartUnixMS)
			c.emit(DepartureKept{})
		}
	}
}

// adoptFormer takes over what a former process of this node announced.
func (c *Control) adoptFormer(t Time, former directory.Announcement) {
	if former.StartUnixMS == c.self.StartUnixMS {
		return
	}
	if c.former.newest.Node == "" || former.Supersedes(c.former.newest) {
		c.former.newest = former
		c.log("former_process", "former", former.StartUnixMS, "process", c.self.StartUnixMS,
			"target", targetID(former), "leaving", targetLeaving(former), "stopped", former.Stopped, "departed", len(former.Departed))
	}
	c.adoptDepartures(t, former.Departures(t.UnixMS), "store")
}

// adoptDepartures takes over departures that former processes of this node confirmed. A heartbeat
// that a target sent before, and that arrives late, must not bring it back. They are announced
// again for the processes of this node that follow.
func (c *Control) adoptDepartures(t Time, departed []directory.Departure, source string) {
	for _, d := range departed {
		if d.Expired(t.UnixMS) || directory.Covers(c.self.Departed, d.Process) {
			continue
		}
		c.log("departure_adopted", "target", d.ID, "target_start", d.StartUnixMS, "from", source, "process", c.self.StartUnixMS)
		if c.local.MarkDeparted(d.Process, t.Now) {
			c.log("target_left", "target", d.ID)
		}
		c.addDepartures([]directory.Departure{d}, 0, t)
	}
	if c.departures.changed {
		c.refreshAnnouncement(t)
	}
}

// meshCaughtUp handles the end of the first read of the announcements. The other nodes are asked
// for what they know of this one, and whether they are alive: if two nodes start together, one
// exchange is enough for both.
func (c *Control) meshCaughtUp(t Time) {
	c.former.deadline = t.Now + formerAnswerTime
	var to []mesh.NodeID
	for _, a := range c.contacts() {
		unasked := c.former.newest.Node != "" && !c.former.answered[a.Node] && !c.former.known
		// The machines of targets that left are taken away, often without a planned stop.
		if unasked && !a.Leaving && !targetLeaving(a) {
			c.former.awaited[a.Node] = true
		}
		if unasked || c.dir.SinceLastMessage(a.Node, t.Now) > aliveTimeout {
			to = append(to, a.Node)
		}
	}
	if len(to) > 0 {
		c.emit(SendState{To: to, State: c.State(t)})
	}
	c.checkFormer(t)
}

// receiverKnowledge handles what another node knows of this one.
func (c *Control) receiverKnowledge(t Time, from directory.Announcement, k ReceiverKnowledge) {
	if k.StartUnixMS == c.self.StartUnixMS && !from.Leaving {
		c.setKept(k.Sequence, string(from.Node))
	}
	c.adoptDepartures(t, k.Departed, string(from.Node))
	if c.former.known {
		return
	}
	c.former.answered[from.Node] = true
	if k.Complete && !c.former.complete {
		c.former.complete = true
		if !c.caughtUp[MeshFeed] {
			c.former.deadline = t.Now + hearsayAnswerTime
		}
	}
	delete(c.former.awaited, from.Node)
}

// checkFormer decides whether it is known what the former processes of this node confirmed: from
// the store and the nodes that respond, or if the store does not respond, from another node.
func (c *Control) checkFormer(t Time) {
	if c.former.known {
		return
	}
	source := "store"
	if !c.caughtUp[MeshFeed] {
		if !c.startsWithoutStore(t) {
			return
		}
		missing := c.askContacts(t)
		switch {
		case c.former.complete && (missing == 0 || t.Now >= c.former.deadline):
			source = "node"
		case t.Now >= maxFormerWait && c.config != nil:
			source = "none"
		default:
			return
		}
	} else if len(c.former.awaited) > 0 && t.Now < c.former.deadline {
		return
	}
	c.former.known = true
	c.log("former_process_known", "found", c.former.newest.Node != "", "source", source, "departed", len(c.self.Departed), "silent", len(c.former.awaited))
	c.former.answered, c.former.awaited, c.former.asked = nil, nil, nil
	c.refreshAnnouncement(t)
}

// startsWithoutStore reports whether this node has to learn from other nodes what its former
// process confirmed.
func (c *Control) startsWithoutStore(t Time) bool {
	return !c.former.known && !c.caughtUp[MeshFeed] && t.Now >= storeFirstTime
}

// askContacts asks the nodes that were not asked yet for what they know of this one. It returns how
// many have not answered.
func (c *Control) askContacts(t Time) (missing int) {
	var to []mesh.NodeID
	for _, a := range c.contacts() {
		if !c.former.asked[a.Node] {
			// An earlier answer did not hold the announcements that the node knows.
			c.former.asked[a.Node], c.former.answered[a.Node] = true, false
			to = append(to, a.Node)
		}
		if !c.former.answered[a.Node] {
			missing++
		}
	}
	if len(to) > 0 {
		c.emit(SendState{To: to, State: c.State(t)})
	}
	return missing
}

// logWait logs that a target has to wait until it is known what the former process confirmed.
func (c *Control) logWait(target string) {
	if !c.former.known && !c.former.waitLogged {
		c.former.waitLogged = true
		c.log("target_waits_for_former_process", "target", target, "store_read", c.caughtUp[MeshFeed], "answered", len(c.former.answered))
	}
}

// contacts returns the other nodes to which messages are sent.
func (c *Control) contacts() []directory.Announcement {
	all := c.dir.All()
	stopped := func(a directory.Announcement) bool { return a.Stopped }
	if !slices.ContainsFunc(all, stopped) {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), stopped)
}

// stoppedRecord is what the record of a stopped node is kept for.
type stoppedRecord struct {
	departed []directory.Departure
	// crashesUntilMS is the Unix time in milliseconds until which its evidence of crashes counts.
	crashesUntilMS int64
}

// trackStopped records the announcement of another node in the store if it is that of a stopped
// one, which the nodes have to remove when its departures and its evidence have expired.
func (c *Control) trackStopped(a directory.Announcement, evidence crashes.Evidence) {
	if a.Stopped && a.Node != c.self.Node {
		c.stopped[a.Node] = stoppedRecord{a.Departed, evidence.AtUnixMS + crashes.RefusalRetention.Milliseconds()}
	} else {
		delete(c.stopped, a.Node)
	}
}

// removeStopped removes the record of a stopped node that is kept for nothing any more.
func (c *Control) removeStopped(t Time) {
	if len(c.stopped) == 0 || t.Now < c.nextRemoval || !c.caughtUp[MeshFeed] || !c.isReader() {
		return
	}
	candidates := c.readers
	if !c.large() {
		candidates = c.alive(t)
	}
	for id, record := range c.stopped {
		if len(directory.MergeDepartures(record.departed, nil, t.UnixMS)) > 0 || t.UnixMS < record.crashesUntilMS || mesh.RankNodes("stopped/"+string(id), candidates)[0] != c.self.Node {
			continue
		}
		c.nextRemoval = t.Now + removalInterval
		c.log("stopped_record_removed", "peer", string(id))
		c.emit(RemoveStopped{Node: id})
		return
	}
}
