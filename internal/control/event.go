package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/crashes"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/logpos"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/published"
)

// Time is the time of an event by the monotonic and the wall clock.
type Time struct {
	// Now is the time since the start of the process, including time in which the
	// machine was suspended.
	Now    time.Duration
	UnixMS int64
}

// Event is an input of the state machine.
type Event interface{ event() }

type (
	// Tick occurs every TickInterval.
	Tick struct{}
	// HeartbeatReceived carries a heartbeat of the local target.
	HeartbeatReceived struct{ Heartbeat directory.Heartbeat }
	// TargetLeaving reports that a target is shutting down.
	TargetLeaving struct{ ID string }
	// TargetUnreachable reports that the local target refused a connection.
	TargetUnreachable struct{}
	// TargetConnectionsClosed reports that the local target closed connections that it had used
	// just before. Its process may have been replaced.
	TargetConnectionsClosed struct{}
	// TargetHealth carries the response of the local target to ProbeHealth.
	TargetHealth struct {
		Target directory.Process
		// Healthy is set if the target confirms its id and that it neither fails nor shuts down.
		Healthy bool
		// ColdRemaining is valid if ColdKnown is set.
		ColdRemaining time.Duration
		ColdKnown     bool
	}
	// TargetResponded reports a response of the local target.
	TargetResponded struct {
		Route  string
		Failed bool
		// CallFailed is set if the target failed after a call that it made, so that its version is
		// not to blame.
		CallFailed bool
		Cold       bool
		Latency    time.Duration
	}
	// TargetSignaled carries what a target, local or not, said about itself in a response
	// that passed through this node.
	TargetSignaled struct {
		Target  directory.Process
		Signals directory.Signals
	}
	// TargetCrashed carries the identities of the requests that ran when the local
	// target crashed.
	TargetCrashed struct{ Requests []uint64 }
	// RequestCompleted reports that the local target has run a request that was running when
	// targets crashed, and RequestAsked that a caller asks for one.
	RequestCompleted struct{ Identity uint64 }
	RequestAsked     struct{ Identity uint64 }
	// ConfigPublished carries a configuration from the store or another node. It is
	// prepared and valid.
	ConfigPublished struct {
		Config *published.Config
		// From is the node that sent it, empty if it was read from the store.
		From mesh.NodeID
	}
	// AnnouncementRead carries an announcement from the store.
	AnnouncementRead struct{ Announcement directory.Announcement }
	// ZoneEvacuated and ZoneReturned carry an order of the operator, or its deletion, and the
	// position of the record. A record that cannot be read changes nothing.
	ZoneEvacuated struct {
		Zone     mesh.AvailabilityZone
		Position logpos.Position
	}
	ZoneReturned struct {
		Zone     mesh.AvailabilityZone
		Position logpos.Position
	}
	ZoneOrderUnreadable struct {
		Zone     mesh.AvailabilityZone
		Position logpos.Position
	}
	// MoveOrdered carries an order of the operator.
	MoveOrdered struct{ Order canary.Order }
	// MoveRecorded carries the state of a move in the store.
	MoveRecorded struct{ Move canary.Move }
	// RecordLost reports that a record of the nodes was deleted, or replaced by one that cannot
	// be read: the announcement of a node, or the move or status of a service.
	RecordLost struct {
		Feed Feed
		Name string
	}
	// StatusRead carries the status of a move in the store.
	StatusRead struct{ Status Status }
	// FeedRead reports that a read of a feed returned all its records as of a time.
	FeedRead struct {
		Feed Feed
		// AsOf is the time on the node's clock. The store has handled the read since.
		AsOf time.Duration
		// End is the end of the feed as of then.
		End logpos.Position
		// ReadTo is the position up to which this node itself has read the records. It differs
		// from End if another node has read the rest.
		ReadTo logpos.Position
		// Complete is set if the read returned the newest record of each key.
		Complete bool
	}
	// ConfigChecked carries the response of a reader to CheckConfig.
	ConfigChecked struct {
		From directory.Announcement
		// Failed is set if there was no response.
		Failed bool
		ConfigFreshness
		RoundTrip time.Duration
	}
	// FeedCaughtUp reports that a feed of the store was read to its end.
	FeedCaughtUp struct{ Feed Feed }
	// StoreEraSeen carries the era of a response of the store. Before is the era that was known
	// when the request was sent.
	StoreEraSeen struct{ Era, Before uint64 }
	// StoreAvailability reports whether the store responds to this node.
	StoreAvailability struct{ Available bool }
	// PeerStateReceived carries the state of another node.
	PeerStateReceived struct {
		State PeerState
		// RoundTrip is the time since the request to which the state is the response, 0 if the
		// node sent it unasked.
		RoundTrip time.Duration
	}
	// LoadMeasured carries the load of the local target and the rate of requests that
	// this node sends, by service.
	LoadMeasured struct {
		Running, Waiting int
		PerSecond        map[string]float64
	}
	// WriteCompleted reports the result of a write that an effect requested.
	WriteCompleted struct {
		Key string
		OK  bool
	}
	// Stopping reports that the node is shutting down: its target is selected only if
	// there is no other. Closing reports that the node accepts no more requests for it.
	Stopping struct{}
	Closing  struct{}
)

func (Tick) event()                    {}
func (HeartbeatReceived) event()       {}
func (TargetLeaving) event()           {}
func (TargetUnreachable) event()       {}
func (TargetConnectionsClosed) event() {}
func (TargetHealth) event()            {}
func (TargetResponded) event()         {}
func (TargetSignaled) event()          {}
func (TargetCrashed) event()           {}
func (RequestCompleted) event()        {}
func (RequestAsked) event()            {}
func (ConfigPublished) event()         {}
func (AnnouncementRead) event()        {}
func (ZoneEvacuated) event()           {}
func (ZoneReturned) event()            {}
func (ZoneOrderUnreadable) event()     {}
func (MoveOrdered) event()             {}
func (MoveRecorded) event()            {}
func (RecordLost) event()              {}
func (StatusRead) event()              {}
func (FeedRead) event()                {}
func (ConfigChecked) event()           {}
func (FeedCaughtUp) event()            {}
func (StoreEraSeen) event()            {}
func (StoreAvailability) event()       {}
func (PeerStateReceived) event()       {}
func (LoadMeasured) event()            {}
func (WriteCompleted) event()          {}
func (Stopping) event()                {}
func (Closing) event()                 {}

// Feed is a stream of records of the store.
type Feed int

// Feeds of the store.
const (
	// OperatorFeed contains configurations and orders.
	OperatorFeed Feed = iota
	// MeshFeed contains the announcements of the nodes.
	MeshFeed
	// MoveFeed contains the states of moves. It is separate from MeshFeed, since all
	// nodes follow it while a move is open and must not be woken by each announcement.
	MoveFeed
	// StatusFeed contains the statuses of moves.
	StatusFeed
	// FeedCount is the number of feeds.
	FeedCount
)

// String returns the name of the feed used in logs.
func (f Feed) String() string {
	names := [...]string{"operator", "mesh", "moves", "status"}
	if f < 0 || int(f) >= len(names) {
		return "unknown"
	}
	return names[f]
}

// Status is the status of a move that is reported to operators.
type Status struct {
	Service string
	Version string
	State   StatusState
}

// Validate reports what makes a status one that no node writes.
func (s Status) Validate() error {
	switch {
	case s.Service == "" || s.Version == "":
		return errors.New("no service or no version")
	case s.State != StatusActive && s.State != StatusCompleted && s.State != StatusReverted:
		return errors.Newf("unknown state %q", string(s.State))
	default:
		return nil
	}
}

// StatusState is the state of a move that is reported to operators.
type StatusState string

// Reported states of a move.
const (
	StatusActive    StatusState = "active"
	StatusCompleted StatusState = "completed"
	StatusReverted  StatusState = "reverted"
)

// PeerState is the message that nodes exchange directly.
type PeerState struct {
	// Number orders the states of one process, since messages may arrive out of order.
	Number       uint64                 `json:"number"`
	Announcement directory.Announcement `json:"announcement"`
	Config       published.Version      `json:"config"`
	// ConfigAgeMS and ConfigPosition tell how recent Config is, as in ConfigFreshness.
	ConfigAgeMS    int64           `json:"config_age_ms,omitempty"`
	ConfigPosition logpos.Position `json:"config_position,omitzero"`
	Running        int             `json:"running"`
	Waiting        int             `json:"waiting"`
	Evidence       canary.Evidence `json:"evidence,omitempty"`
	// Recent holds the recent responses of the node's target.
	Recent canary.RecentCounts `json:"recent,omitzero"`
	Moves  []canary.Move       `json:"moves,omitempty"`
	// PerSecond is the rate of requests that this node sends, for each service with
	// a move.
	PerSecond map[string]float64 `json:"per_second,omitempty"`
	// Suspects holds the number of each move whose new version this node suspects, by service.
	Suspects map[string]uint64 `json:"suspects,omitempty"`
	// CrashEvidence is what the node knows of the requests that were running when targets crashed.
	// Crashes holds that of the refused ones for nodes of earlier versions.
	CrashEvidence crashes.Evidence `json:"crash_evidence,omitzero"`
	Crashes       []CrashRecord    `json:"crash_records,omitempty"`
	// StoreLost is set while the store does not respond to the node.
	StoreLost bool `json:"store_lost,omitempty"`
	// StoreEra is the era of the store, as far as the node knows.
	StoreEra uint64 `json:"store_era,omitempty"`
	// Unresponsive holds the nodes from which a reader of a large mesh has received
	// nothing for aliveTimeout.
	Unresponsive []mesh.NodeID `json:"silent,omitempty"`
	// ZoneOrders holds the last order for each zone that had one. OrdersUnknown is set while the
	// sender has just started and does not know those in force.
	ZoneOrders    []ZoneOrder `json:"zone_orders,omitempty"`
	OrdersUnknown bool        `json:"orders_unknown,omitempty"`
	// Summaries holds what a reader of a large mesh knows of the open moves.
	Summaries []MoveSummary `json:"summaries,omitempty"`
	// MeshSize is the greatest number of nodes that the sender knows of in quota.SizeRetention,
	// and MeshSizeAgeMS the time since it was observed last. 0 if the sender has not read the list of
	// the nodes, or its configuration has no usage caps.
	MeshSize      int   `json:"mesh_size,omitempty"`
	MeshSizeAgeMS int64 `json:"mesh_size_age_ms,omitempty"`
	// Others holds announcements that the receiver may not know.
	Others []directory.Announcement `json:"others,omitempty"`
	// Starting is set while the sender cannot read the announcements in the store. The response
	// holds those that the receiver knows.
	Starting bool `json:"starting,omitempty"`
	// Asks is set if the sender needs Receiver in the response.
	Asks bool `json:"asks,omitempty"`
	// Receiver is set in responses to messages that ask for it.
	Receiver *ReceiverKnowledge `json:"receiver,omitempty"`

	// receivedAt is the time on the clock of the receiver.
	receivedAt time.Duration
}

// freshness returns how recent the configuration of the node is.
func (s PeerState) freshness() ConfigFreshness {
	return ConfigFreshness{s.Config, s.ConfigAgeMS, s.ConfigPosition, s.StoreLost, newestOrder(s.ZoneOrders)}
}

// Effect is an action that the caller of Step carries out.
type Effect interface{ effect() }

type (
	// PublishView replaces the view that the call path uses.
	PublishView struct{ View *View }
	// WriteAnnouncement writes the node's announcement to the store.
	WriteAnnouncement struct{ Announcement directory.Announcement }
	// WithdrawAnnouncement deletes it, and RemoveStopped that of another node which has stopped, if
	// the feed has not changed since it was read.
	WithdrawAnnouncement struct{}
	RemoveStopped        struct{ Node mesh.NodeID }
	// DepartureKept reports that departures are kept outside this process that were not before.
	DepartureKept struct{}
	// RecordMove writes a move to the store if the feed has not changed since it was
	// read.
	RecordMove struct{ Move canary.Move }
	// WriteStatus writes the status of a move under the same condition.
	WriteStatus struct{ Status Status }
	// SendState sends the node's state to other nodes.
	SendState struct {
		To    []mesh.NodeID
		State PeerState
	}
	// ProbeNode sends the state to a node that the view does not contain.
	ProbeNode struct {
		To    directory.Announcement
		State PeerState
	}
	// ContradictState tells a node what others say of it.
	ContradictState struct {
		To    directory.Announcement
		State PeerState
	}
	// RewriteAnnouncement writes the announcement of another node to the store again.
	RewriteAnnouncement struct{ Announcement directory.Announcement }
	// FetchConfig requests a newer configuration from a node.
	FetchConfig struct{ From directory.Announcement }
	// CheckConfig asks a reader for the version of its configuration and how recent that is.
	CheckConfig struct{ To directory.Announcement }
	// ProbeHealth asks the local target at its health path whether it is healthy and how long it is
	// cold.
	ProbeHealth struct {
		Target directory.Process
		Path   string
	}
	// RereadFeed reads a feed on a new connection, beside a read in progress.
	RereadFeed struct{ Feed Feed }
	// LogEvent writes a log line.
	LogEvent struct {
		Kind   string
		Fields []any
	}
)

func (PublishView) effect()          {}
func (WriteAnnouncement) effect()    {}
func (WithdrawAnnouncement) effect() {}
func (RemoveStopped) effect()        {}
func (DepartureKept) effect()        {}
func (RecordMove) effect()           {}
func (WriteStatus) effect()          {}
func (SendState) effect()            {}
func (ProbeNode) effect()            {}
func (ContradictState) effect()      {}
func (RewriteAnnouncement) effect()  {}
func (FetchConfig) effect()          {}
func (CheckConfig) effect()          {}
func (ProbeHealth) effect()          {}
func (RereadFeed) effect()           {}
func (LogEvent) effect()             {}
