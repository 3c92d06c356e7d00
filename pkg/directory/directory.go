package directory

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"heathercroft.example/heathercroft/pkg/crashes"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// Announcement is what a node publishes about itself and its target.
type Announcement struct {
	Node mesh.NodeID           `json:"node"`
	Zone mesh.AvailabilityZone `json:"zone"`
	// StartUnixMS is the Unix time in milliseconds at which the node's process
	// started. Announcements of a later process replace those of an earlier one.
	StartUnixMS int64 `json:"start"`
	// Sequence increases with each change of the announcement within a process.
	Sequence uint64 `json:"sequence"`
	// RPCAddress and CallAddress are the listeners for messages and for requests of
	// other nodes.
	RPCAddress  netip.AddrPort `json:"rpc"`
	CallAddress netip.AddrPort `json:"call"`
	// LinkMbps is the bandwidth of the node's link in Mbit/s, 0 if not known.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// Leaving is set once the node is shutting down and should get no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Stopped is set in the last announcement of a process that ends as planned: nothing is sent to
	// it, and the announcement is kept for its departures only.
	Stopped bool    `json:"stopped,omitempty"`
	Target  *Target `json:"target,omitempty"`
	// Departed holds the targets beside the node that left, as confirmed by any of its processes:
	// at most MaxDepartures, for DepartureRetention.
	Departed []Departure `json:"departed,omitempty"`
	// Crashes is what the nodes know of requests that were running at crashes of the target beside
	// this node, as seen by any of its processes. It is in the store only: nodes tell each other all
	// that they know of requests beside the announcement.
	Crashes crashes.Evidence `json:"crashes,omitzero"`
}

// Target is the state of the target beside a node.
type Target struct {
	ID string `json:"id"`
	// StartUnixMS is the Unix time in milliseconds at which the process of the target
	// started.
	StartUnixMS int64  `json:"start,omitempty"`
	Service     string `json:"service"`
	Version     string `json:"version"`
	Slots       int    `json:"slots"`
	// Serving is false if the target is draining, gone or unreachable.
	Serving bool `json:"serving"`
	// Leaving is set once the target has reported that it shuts down. It does not return.
	Leaving bool `json:"leaving,omitempty"`
	// ColdUntilUnixMS is the Unix time in milliseconds at which the cold start of
	// the target ends, until which it is slow.
	ColdUntilUnixMS int64 `json:"cold_until,omitempty"`
}

// Process returns the process that the target currently is.
func (t Target) Process() Process { return Process{t.ID, t.StartUnixMS} }

// Supersedes reports whether a is newer than b.
func (a Announcement) Supersedes(b Announcement) bool {
	return a.StartUnixMS > b.StartUnixMS || a.StartUnixMS == b.StartUnixMS && a.Sequence > b.Sequence
}

// member is this node's record of another node.
type member struct {
	Announcement
	// lastHeard is the time of the last message of the node, heard is set once there was one.
	lastHeard time.Duration
	heard     bool
}

// MemberLifetime is how long an unresponsive node stays in the directory. A
// partitioned node may return, so until then its targets are only avoided.
const MemberLifetime = 60 * time.Second

// Directory holds the newest announcement of each node. It is not safe for
// concurrent use.
type Directory struct {
	members map[mesh.NodeID]*member
	// byAddress holds the node that owns each address.
	byAddress map[netip.AddrPort]mesh.NodeID
	// departures holds what all processes of a node announced of targets that left.
	departures map[mesh.NodeID][]Departure
	// sorted is the result of All, nil after a change.
	sorted []Announcement
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{members: map[mesh.NodeID]*member{}, byAddress: map[netip.AddrPort]mesh.NodeID{}, departures: map[mesh.NodeID][]Departure{}}
}

// initialMessageAge is the time since the last message that is assumed for a node
// known only from the store or from another node. The store also holds
// announcements of nodes that are long gone.
const initialMessageAge = 10 * time.Second

// Update merges an announcement from the store or another node, which may be
// outdated. It reports whether it changed the directory. It does not mark the node
// as alive; only MarkAlive does.
func (d *Directory) Update(a Announcement, now time.Duration) bool { return d.update(a, now, false) }

// update merges an announcement, which the node itself sent if direct is set.
func (d *Directory) update(a Announcement, now time.Duration, direct bool) bool {
	if a.Node == "" || !a.CallAddress.IsValid() {
		return false
	}
	if _, known := d.members[a.Node]; a.Stopped && !known {
		return false
	}
	if !d.claimAddress(a, now, direct) {
		return false
	}
	m, ok := d.members[a.Node]
	if !ok {
		d.members[a.Node] = &member{Announcement: a, lastHeard: now - initialMessageAge}
		d.byAddress[a.CallAddress], d.sorted = a.Node, nil
		return true
	}
	if !a.Supersedes(m.Announcement) {
		return false
	}
	if m.CallAddress != a.CallAddress {
		d.releaseAddress(m.Announcement)
	}
	m.Announcement = a
	d.byAddress[a.CallAddress], d.sorted = a.Node, nil
	return true
}

// remove deletes a node.
func (d *Directory) remove(id mesh.NodeID) {
	d.releaseAddress(d.members[id].Announcement)
	delete(d.members, id)
	d.sorted = nil
}

func (d *Directory) releaseAddress(a Announcement) {
	if d.byAddress[a.CallAddress] == a.Node {
		delete(d.byAddress, a.CallAddress)
	}
}

const (
	// ownerSilence is the time without a message after which the owner of an address gives way
	// to a node that is heard at it, although it started earlier by its clock.
	ownerSilence = 6 * time.Second
	// heardOwnerSilence is that after which it gives way to a node that only others tell of. In
	// a large mesh two nodes hear of each other every half minute.
	heardOwnerSilence = 30 * time.Second
)

// UpdateFromNode merges an announcement that the node itself sent. Unlike one from the store
// or another node, it shows that the node lives.
func (d *Directory) UpdateFromNode(a Announcement, now time.Duration) bool {
	if owner, ok := d.byAddress[a.CallAddress]; ok && owner != a.Node && now-d.members[owner].lastHeard >= ownerSilence {
		d.remove(owner)
	}
	return d.update(a, now, true)
}

// claimAddress resolves a conflict between nodes with the same address: addresses of
// removed nodes are reused, and the node that started last owns the address. A node that others
// tell of does not take the address of one that lives. It returns false if the announcing node
// does not own the address.
func (d *Directory) claimAddress(a Announcement, now time.Duration, direct bool) bool {
	owner, ok := d.byAddress[a.CallAddress]
	if !ok || owner == a.Node {
		return true
	}
	m := d.members[owner]
	if m.StartUnixMS > a.StartUnixMS || !direct && m.heard && now-m.lastHeard < heardOwnerSilence {
		return false
	}
	d.remove(owner)
	return true
}

// MarkAlive records that a message of the node itself was received.
func (d *Directory) MarkAlive(id mesh.NodeID, now time.Duration) {
	if m, ok := d.members[id]; ok {
		m.lastHeard, m.heard = now, true
	}
}

// Expire removes and returns the nodes whose last message is older than
// MemberLifetime.
func (d *Directory) Expire(now time.Duration) []Announcement {
	var gone []Announcement
	for id, m := range d.members {
		if now-m.lastHeard > MemberLifetime {
			d.remove(id)
			gone = append(gone, m.Announcement)
		}
	}
	slices.SortFunc(gone, compareNodes)
	return gone
}

// Owner returns the node that has an address for requests between nodes.
func (d *Directory) Owner(callAddress netip.AddrPort) (mesh.NodeID, bool) {
	id, ok := d.byAddress[callAddress]
	return id, ok
}

func compareNodes(a, b Announcement) int { return strings.Compare(string(a.Node), string(b.Node)) }

// Len returns the number of known nodes.
func (d *Directory) Len() int { return len(d.members) }

// Get returns the announcement of a node.
func (d *Directory) Get(id mesh.NodeID) (Announcement, bool) {
	if m, ok := d.members[id]; ok {
		return m.Announcement, true
	}
	return Announcement{}, false
}

// SinceLastMessage returns the time since the last message of a node, or
// MemberLifetime if the node is not known.
func (d *Directory) SinceLastMessage(id mesh.NodeID, now time.Duration) time.Duration {
	if m, ok := d.members[id]; ok {
		return now - m.lastHeard
	}
	return MemberLifetime
}

// All returns the announcements of all known nodes, ordered by node. The caller must not
// modify them.
func (d *Directory) All() []Announcement {
	if d.sorted != nil {
		return d.sorted
	}
	out := make([]Announcement, 0, len(d.members))
	for _, m := range d.members {
		out = append(out, m.Announcement)
	}
	slices.SortFunc(out, compareNodes)
	d.sorted = slices.Clip(out)
	return d.sorted
}
