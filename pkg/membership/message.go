package membership

import (
	"net/netip"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// State is the state of a member.
type State string

// The states of a member, in ascending precedence at the same incarnation.
// A member declares itself alive or leaving; others declare it suspect or dead.
const (
	Alive   State = "alive"
	Leaving State = "leaving"
	Suspect State = "suspect"
	Dead    State = "dead"
)

// Detail is the state that a member publishes about itself.
type Detail struct {
	Info mesh.NodeInfo `json:"info"`
	// Leaving is set once the node is shutting down.
	Leaving bool `json:"leaving,omitempty"`
	// Target is nil if the node has none.
	Target   *mesh.Target    `json:"target,omitempty"`
	Revision record.Revision `json:"revision"`
	// NACK is why the node cannot apply the record after Revision.
	NACK string `json:"nack,omitempty"`
}

// Update describes the state of a member. Of two updates, the one with the higher
// incarnation takes effect, then the one with the greater session, then the one
// whose state takes precedence.
type Update struct {
	Node        mesh.NodeID    `json:"node"`
	Session     mesh.SessionID `json:"session"`
	Incarnation uint64         `json:"incarnation"`
	State       State          `json:"state"`
	// Detail is absent if State is dead.
	Detail *Detail `json:"detail,omitempty"`
}

// ZoneLink reports whether the readers of a zone reach another zone. Of two links
// to the same zone, the higher version takes effect, and at equal versions the
// reachable one.
type ZoneLink struct {
	Zone      mesh.AvailabilityZone `json:"zone"`
	Reachable bool                  `json:"reachable"`
	Version   uint64                `json:"version"`
}

// Header identifies the sender of a message and reports its revision.
type Header struct {
	Node    mesh.NodeID           `json:"node"`
	Session mesh.SessionID        `json:"session"`
	Zone    mesh.AvailabilityZone `json:"zone"`
	// RPCAddress is where the sender receives messages.
	RPCAddress  netip.AddrPort  `json:"rpc"`
	Incarnation uint64          `json:"incarnation"`
	Revision    record.Revision `json:"revision"`
	NACK        string          `json:"nack,omitempty"`
}

// Message travels between nodes. At most one of the pointer fields is set; a
// message without any reports the sender's revision.
type Message struct {
	From    Header     `json:"from"`
	Updates []Update   `json:"updates,omitempty"`
	Links   []ZoneLink `json:"links,omitempty"`
	// Exchange is set on the updates of an exchange, which the receiver does
	// not disseminate if they are many and come from its own zone.
	Exchange bool `json:"exchange,omitempty"`

	Probe    *Probe         `json:"probe,omitempty"`
	Ack      *ProbeAck      `json:"answer,omitempty"`
	Indirect *IndirectProbe `json:"indirect,omitempty"`
	Digest   *Digest        `json:"digest,omitempty"`
	Entries  *Entries       `json:"entries,omitempty"`
	Want     *Want          `json:"want,omitempty"`
	Busy     *Busy          `json:"busy,omitempty"`
}

// Probe asks for an ack with the same sequence number.
type Probe struct {
	Sequence uint64 `json:"sequence"`
}

// ProbeAck acknowledges a probe.
type ProbeAck struct {
	Sequence uint64 `json:"sequence"`
	// View is the hash of all members and links at the acknowledging node, 0 if
	// the ack is relayed.
	View uint64 `json:"view,string,omitempty"`
}

// IndirectProbe asks the receiver to probe a member and to relay the ack.
type IndirectProbe struct {
	Sequence uint64      `json:"sequence"`
	Node     mesh.NodeID `json:"node"`
}

// Digest opens an exchange: it summarizes the sender's state of each zone.
type Digest struct {
	Zones []ZoneDigest `json:"zones"`
	// Join is set by a node without live peers.
	Join bool `json:"join,omitempty"`
	// Refresh asks a reader of the same zone to contact all other zones now.
	Refresh bool `json:"refresh,omitempty"`
}

// ZoneDigest summarizes the live members of a zone.
type ZoneDigest struct {
	Zone  mesh.AvailabilityZone `json:"zone"`
	Count int                   `json:"count"`
	// Hash is an order-independent hash over the live members' updates.
	Hash    uint64       `json:"hash,string"`
	Summary *ZoneSummary `json:"summary,omitempty"`
	// ContactAgeMS is the time in milliseconds since the sender or its source
	// received a message from the zone, -1 if it never did.
	ContactAgeMS int64 `json:"contact_age_ms"`
}

// Entries answers a digest with the versions of the members of the zones that
// differ. Its digests cover all zones.
type Entries struct {
	Zones   []ZoneDigest `json:"zones"`
	Entries []Entry      `json:"entries,omitempty"`
}

// Entry is the version of one member's update.
type Entry struct {
	Zone mesh.AvailabilityZone `json:"zone"`
	Node mesh.NodeID           `json:"node"`
	// Incarnation and Hash identify the update.
	Incarnation uint64 `json:"incarnation"`
	Hash        uint64 `json:"hash,string"`
}

// Want asks for the updates of members.
type Want struct {
	Nodes []mesh.NodeID `json:"nodes"`
}

// Busy declines a join; the receiver may try again after RetryAfterMS
// milliseconds.
type Busy struct {
	RetryAfterMS int64 `json:"retry_ms"`
}

// NACK reports a member that cannot apply a record.
type NACK struct {
	Node     mesh.NodeID     `json:"node"`
	Revision record.Revision `json:"revision"`
	Reason   string          `json:"reason"`
}

// ZoneSummary summarizes the members of a zone and the revisions in force there,
// as known to a reader of the zone.
type ZoneSummary struct {
	Zone   mesh.AvailabilityZone `json:"zone"`
	Author mesh.NodeID           `json:"author"`
	// Version orders the summaries of one zone; an author uses a version above those it has seen.
	Version uint64 `json:"version"`
	// Members counts the live members, Leaving and Suspect those among them.
	Members int `json:"members"`
	Leaving int `json:"leaving,omitempty"`
	Suspect int `json:"suspect,omitempty"`
	// MinRevision and MaxRevision bound the revisions that members reported.
	MinRevision record.Revision `json:"min_revision"`
	MaxRevision record.Revision `json:"max_revision"`
	// NACKCount counts the members with a NACK; NACKs holds the first few.
	NACKCount int    `json:"nack_count,omitempty"`
	NACKs     []NACK `json:"nacks,omitempty"`
}

// Member is the local view of one node. Detail.Revision and Detail.NACK are the
// last ones received from it; they are up to date only on the readers of its zone,
// see ReportInterval.
type Member struct {
	Detail
	Incarnation uint64
	State       State
	// Since is the local time at which the state was entered.
	Since time.Duration
	// Damped is set while the member is flapping.
	Damped bool
}

// Endpoint is a target together with what limits its use.
type Endpoint struct {
	mesh.Endpoint
	// Leaving: accepts no new work.
	Leaving bool
	// Suspect: missed a probe and may be dead.
	Suspect bool
	// Damped: changed state too often; use it only as a last resort.
	Damped bool
	// Unreachable: its zone does not answer.
	Unreachable bool
}

// ZoneStatus is the local view of a zone.
type ZoneStatus struct {
	Zone      mesh.AvailabilityZone
	Reachable bool
	// LastContact is the local time at which this node, or the node that it has
	// the contact time from, last received a message from the zone. ContactKnown
	// is false if neither did.
	LastContact  time.Duration
	ContactKnown bool
	// Summary is the newest report from the zone. Its Version is 0 if there is
	// none; the counts then come from the local member list.
	Summary ZoneSummary
}
