package directory

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// Announcement is what a node tells the others about itself and its target.
type Announcement struct {
	Node mesh.NodeID           `json:"node"`
	Zone mesh.AvailabilityZone `json:"zone"`
	// StartUnixMS is the Unix time in milliseconds at which the process of the node
	// started; a later one replaces all that an earlier one said.
	StartUnixMS int64 `json:"start"`
	// Sequence increases with each change of the announcement in one process.
	Sequence uint64 `json:"sequence"`
	// RPCAddress and Call are where the node takes messages and requests of other nodes.
	RPCAddress  netip.AddrPort `json:"rpc"`
	CallAddress netip.AddrPort `json:"call"`
	// LinkMbps is the bandwidth of the node's link in Mbit/s, 0 if not known.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// Leaving is set once the node stops and wants no new work.
	Leaving bool    `json:"leaving,omitempty"`
	Target  *Target `json:"target,omitempty"`
}

// Target is the target beside a node.
type Target struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	// Serving is false once the target leaves, is gone or is not reachable.
	Serving bool `json:"serving"`
	// ColdUntilUnixMS is the Unix time in milliseconds until which the target is slow
	// after its start.
	ColdUntilUnixMS int64 `json:"cold_until,omitempty"`
}

// newer reports whether a replaces b.
func (a Announcement) newer(b Announcement) bool {
	return a.StartUnixMS > b.StartUnixMS || a.StartUnixMS == b.StartUnixMS && a.Sequence > b.Sequence
}

// member is a node as this node knows it.
type member struct {
	Announcement
	// heard is when the node was last known to live.
	heard time.Duration
}

// MemberLifetime is how long a silent node stays in the directory. A node that
// is cut off may come back, so its targets are only passed over while it is
// silent; the entry goes after this time.
const MemberLifetime = 60 * time.Second

// Directory is not safe for concurrent use.
type Directory struct {
	members map[mesh.NodeID]*member
}

// New returns an empty directory.
func New() *Directory { return &Directory{members: map[mesh.NodeID]*member{}} }

// unheardFor is the silence of a node that is known from a store or another node only.
// The store keeps what nodes that went long ago have written.
const unheardFor = 10 * time.Second

// Update takes an announcement that may be old, from a store or another node. It
// reports whether it changed anything. Only MarkAlive marks a node as alive.
func (d *Directory) Update(a Announcement, now time.Duration) bool {
	if a.Node == "" || !a.CallAddress.IsValid() {
		return false
	}
	if !d.claim(a) {
		return false
	}
	m, ok := d.members[a.Node]
	if !ok {
		d.members[a.Node] = &member{Announcement: a, heard: now - unheardFor}
		return true
	}
	if !a.newer(m.Announcement) {
		return false
	}
	m.Announcement = a
	return true
}

// claim settles which node an address belongs to: addresses of nodes that went
// are used again, and the node that started last has it.
func (d *Directory) claim(a Announcement) bool {
	for id, m := range d.members {
		if id == a.Node || m.CallAddress != a.CallAddress {
			continue
		}
		if m.StartUnixMS > a.StartUnixMS {
			return false
		}
		delete(d.members, id)
	}
	return true
}

// MarkAlive marks a node as alive. It is called for messages of the node itself.
func (d *Directory) MarkAlive(id mesh.NodeID, now time.Duration) {
	if m, ok := d.members[id]; ok {
		m.heard = now
	}
}

// Expire drops the nodes that were silent for MemberLifetime and returns them.
func (d *Directory) Expire(now time.Duration) []mesh.NodeID {
	var gone []mesh.NodeID
	for id, m := range d.members {
		if now-m.heard > MemberLifetime {
			delete(d.members, id)
			gone = append(gone, id)
		}
	}
	return gone
}

// Len returns how many nodes are known.
func (d *Directory) Len() int { return len(d.members) }

// Get returns the announcement of a node.
func (d *Directory) Get(id mesh.NodeID) (Announcement, bool) {
	if m, ok := d.members[id]; ok {
		return m.Announcement, true
	}
	return Announcement{}, false
}

// SinceLastMessage returns how long nothing was heard of a node.
func (d *Directory) SinceLastMessage(id mesh.NodeID, now time.Duration) time.Duration {
	if m, ok := d.members[id]; ok {
		return now - m.heard
	}
	return MemberLifetime
}

// All returns all announcements, ordered by node.
func (d *Directory) All() []Announcement {
	out := make([]Announcement, 0, len(d.members))
	for _, m := range d.members {
		out = append(out, m.Announcement)
	}
	slices.SortFunc(out, func(a, b Announcement) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return out
}
