package control

import (
	"time"

	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/published"
)

// Time is the time of an event on both clocks.
type Time struct {
	// Now counts from the start of the process and includes suspensions.
	Now    time.Duration
	UnixMS int64
}

// Event is something that happened.
type Event interface{ event() }

type (
	// Tick comes every TickInterval.
	Tick struct{}
	// HeartbeatReceived is a heartbeat of the local target.
	HeartbeatReceived struct{ Heartbeat directory.Heartbeat }
	// TargetLeaving is the word of a target that it leaves.
	TargetLeaving struct{ ID string }
	// TargetUnreachable says that the local target refused a connection.
	TargetUnreachable struct{}
	// TargetResponded counts an answer of the local target.
	TargetResponded struct {
		Route   string
		Failed  bool
		Cold    bool
		Latency time.Duration
	}
	// TargetCrashed names the requests that ran when the local target crashed, by
	// fingerprint.
	TargetCrashed struct{ Requests []uint64 }
	// ConfigPublished is a configuration from the store or another node. It is
	// prepared and valid.
	ConfigPublished struct{ Config *published.Config }
	// AnnouncementRead is an announcement from the store.
	AnnouncementRead struct{ Announcement directory.Announcement }
	// MoveOrdered is an order of the operator.
	MoveOrdered struct{ Order canary.Order }
	// MoveRecorded is the state of a move as the store holds it.
	MoveRecorded struct{ Move canary.Move }
	// StatusRead is the report on a move as the store holds it.
	StatusRead struct{ Status Status }
	// FeedCaughtUp says that a feed of the store was read up to its end.
	FeedCaughtUp struct{ Feed Feed }
	// StoreAvailability says whether the store answers this node.
	StoreAvailability struct{ Available bool }
	// PeerStateReceived is the state of another node.
	PeerStateReceived struct{ State PeerState }
	// LoadMeasured is the load of the local target.
	LoadMeasured struct {
		Running, Waiting int
		PerSecond        map[string]float64
	}
	// WriteCompleted is the end of a write that an effect asked for.
	WriteCompleted struct {
		Key string
		OK  bool
	}
	// Stopping says that the node stops: its target is chosen only if no other is
	// left. Closing says that the node takes no more requests for it.
	Stopping struct{}
	Closing  struct{}
)

func (Tick) event()              {}
func (HeartbeatReceived) event() {}
func (TargetLeaving) event()     {}
func (TargetUnreachable) event() {}
func (TargetResponded) event()   {}
func (TargetCrashed) event()     {}
func (ConfigPublished) event()   {}
func (AnnouncementRead) event()  {}
func (MoveOrdered) event()       {}
func (MoveRecorded) event()      {}
func (StatusRead) event()        {}
func (FeedCaughtUp) event()      {}
func (StoreAvailability) event() {}
func (PeerStateReceived) event() {}
func (LoadMeasured) event()      {}
func (WriteCompleted) event()    {}
func (Stopping) event()          {}
func (Closing) event()           {}

// Feed is a stream of records of the store.
type Feed int

// The feeds.
const (
	// OperatorFeed holds configurations and orders.
	OperatorFeed Feed = iota
	// MeshFeed holds the announcements of the nodes.
	MeshFeed
	// MoveFeed holds the states of moves. All nodes follow it while a move is open, and
	// are not to be woken by each announcement then.
	MoveFeed
	// StatusFeed holds the reports on moves.
	StatusFeed
	feedCount
)

// String returns the name of the feed in logs.
func (f Feed) String() string {
	names := [...]string{"operator", "mesh", "moves", "status"}
	if f < 0 || int(f) >= len(names) {
		return "unknown"
	}
	return names[f]
}

// Status is the report on a move as operators read it.
type Status struct {
	Service string
	Version string
	State   StatusState
}

// StatusState is the state of a move as operators read it.
type StatusState string

// The states of a report.
const (
	StatusActive    StatusState = "active"
	StatusCompleted StatusState = "completed"
	StatusReverted  StatusState = "reverted"
)

// PeerState is what nodes tell each other directly.
type PeerState struct {
	// Number orders the states of one process: messages may overtake each other.
	Number       uint64                 `json:"number"`
	Announcement directory.Announcement `json:"announcement"`
	Config       published.Version      `json:"config"`
	Running      int                    `json:"running"`
	Waiting      int                    `json:"waiting"`
	Evidence     canary.Evidence        `json:"evidence,omitempty"`
	// Recent are the newest answers of the node's target.
	Recent canary.RecentCounts `json:"recent,omitzero"`
	Moves  []canary.Move       `json:"moves,omitempty"`
	// PerSecond is the rate of requests that this node sends, by service with a move.
	PerSecond map[string]float64 `json:"per_second,omitempty"`
	// Crashes counts the crashes of this node's target by the fingerprint of the
	// requests that ran.
	Crashes map[uint64]int `json:"crashes,omitempty"`
	// StoreLost is set while the store does not answer the node.
	StoreLost bool `json:"store_lost,omitempty"`
	// Unresponsive are the nodes that a reader of a large mesh has not heard of for aliveWithin.
	Unresponsive []mesh.NodeID `json:"silent,omitempty"`
	// Others are announcements that the receiver may not know.
	Others []directory.Announcement `json:"others,omitempty"`
}

// Effect is something to be done.
type Effect interface{ effect() }

type (
	// PublishView swaps in a new view for the call path.
	PublishView struct{ View *View }
	// WriteAnnouncement writes the node's announcement to the store.
	WriteAnnouncement struct{ Announcement directory.Announcement }
	// RecordMove writes a move to the store if nothing was written since the feed
	// was read.
	RecordMove struct{ Move canary.Move }
	// WriteStatus writes the report on a move on the same condition.
	WriteStatus struct{ Status Status }
	// SendState sends the node's state to other nodes.
	SendState struct {
		To    []mesh.NodeID
		State PeerState
	}
	// FetchConfig asks a node for a newer configuration.
	FetchConfig struct{ From directory.Announcement }
	// LogEvent is a line for the log.
	LogEvent struct {
		Kind   string
		Fields []any
	}
)

func (PublishView) effect()       {}
func (WriteAnnouncement) effect() {}
func (RecordMove) effect()        {}
func (WriteStatus) effect()       {}
func (SendState) effect()         {}
func (FetchConfig) effect()       {}
func (LogEvent) effect()          {}
