package settings

import (
	"log/slog"
	"slices"
	"time"
)

// Node holds the settings of heathercroft-node.
type Node struct {
	Node      NodeIdentity `toml:"node"`
	Listen    NodeListen   `toml:"listen"`
	Advertise Advertise    `toml:"advertise"`
	Platform  Platform     `toml:"platform"`
	Peers     Peers        `toml:"peers"`
	Limits    Limits       `toml:"limits"`
	Keys      Keys         `toml:"keys"`
	Drain     Drain        `toml:"drain"`
	Log       Log          `toml:"log"`
}

// NodeIdentity holds the node's ID and location.
type NodeIdentity struct {
	ID     Name `toml:"id"`
	Zone   Name `toml:"zone"`
	Region Name `toml:"region"`
}

// NodeListen holds the listen addresses of a node.
type NodeListen struct {
	// Caller accepts requests of callers.
	Caller Address `toml:"caller"`
	// RPC accepts jsonrpc2 connections of other nodes.
	RPC Address `toml:"rpc"`
	// Call accepts calls that other nodes forward to the local target.
	Call Address `toml:"call"`
	// Admin serves announcements, commands, events and metrics.
	Admin Address `toml:"admin"`
	// Outbound accepts calls that the local target makes.
	Outbound Address `toml:"outbound"`
}

// Platform holds the settings of the connection to the log service.
type Platform struct {
	URL BaseURL `toml:"url"`
	// AppendTimeout is the time limit for one append.
	AppendTimeout Duration `toml:"append_timeout"`
	// ReadTimeout is the time limit for one read, in addition to its long poll.
	ReadTimeout Duration `toml:"read_timeout"`
	// Retention is how long the platform keeps a record; 0 means unknown. A snapshot
	// is appended at least once per quarter of this time.
	Retention Duration `toml:"retention"`
}

// Peers holds the nodes to contact first.
type Peers struct {
	// Seeds are RPC addresses of other nodes.
	Seeds []Address `toml:"seeds"`
}

// Limits holds the load limits of a node.
type Limits struct {
	// QueueWait is the maximum time that a request waits for a slot of the target.
	QueueWait Duration `toml:"queue_wait"`
	// MaxConnections is the maximum number of open connections from callers.
	MaxConnections int `toml:"connections"`
	// UploadSize is the minimum body size of a request that is treated as an upload.
	UploadSize ByteSize `toml:"upload_size"`
}

// Keys holds the timing of idempotency keys. All nodes must use the same values.
type Keys struct {
	Lease Duration `toml:"lease"`
	// LeaseMargin is how long a claimant waits after the lease has expired.
	LeaseMargin Duration `toml:"margin"`
	// RetryHorizon is how long a caller may retry with the same key.
	RetryHorizon Duration `toml:"horizon"`
}

// Drain holds the time limit of the graceful shutdown.
type Drain struct {
	Limit Duration `toml:"limit"`
}

// Log holds the settings of the process log and the timeline.
type Log struct {
	Level slog.Level `toml:"level"`
	// MaxEvents is the maximum number of timeline events that are kept.
	MaxEvents int `toml:"events"`
}

// DefaultNode returns the default settings. Identity, listen addresses and the URL
// of the platform have no defaults. Protocol timers and retry limits are not
// configurable, since all nodes must agree on them and their bounds are proved
// only for the values in the code.
func DefaultNode() Node {
	return Node{
		Platform: Platform{
			AppendTimeout: Duration(2 * time.Second), ReadTimeout: Duration(3 * time.Second),
			Retention: Duration(24 * time.Hour),
		},
		Limits: Limits{QueueWait: Duration(50 * time.Millisecond), MaxConnections: 4096, UploadSize: 64 * KiB},
		Keys: Keys{
			Lease: Duration(60 * time.Second), LeaseMargin: Duration(10 * time.Second), RetryHorizon: Duration(5 * time.Minute),
		},
		Drain: Drain{Limit: Duration(5 * time.Minute)},
		Log:   Log{Level: slog.LevelInfo, MaxEvents: 1024},
	}
}

// Validate implements Validator.
func (n *Node) Validate() error {
	return firstProblem(slices.Concat(
		n.Node.problems(), n.Listen.problems(), n.Platform.problems(), n.Peers.problems(n.Listen.RPC),
		n.Limits.problems(), n.Keys.problems(),
		[]*Problem{inRange("drain.limit", n.Drain.Limit, 0, Duration(time.Hour))},
		[]*Problem{inRange("log.events", n.Log.MaxEvents, 1, 1_000_000)},
	)...)
}
