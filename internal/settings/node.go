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

// NodeIdentity says which node this is and where it stands.
type NodeIdentity struct {
	ID     Name `toml:"id"`
	Zone   Name `toml:"zone"`
	Region Name `toml:"region"`
}

// NodeListen holds the listen addresses of a node.
type NodeListen struct {
	// Caller takes the requests of callers.
	Caller Address `toml:"caller"`
	// RPC takes the jsonrpc2 connections of other nodes.
	RPC Address `toml:"rpc"`
	// Call takes the calls that other nodes forward to the local target.
	Call Address `toml:"call"`
	// Admin takes announcements, commands, events and metrics.
	Admin Address `toml:"admin"`
	// Outbound takes the calls that the local target makes.
	Outbound Address `toml:"outbound"`
}

// Platform says how the log service is reached.
type Platform struct {
	URL BaseURL `toml:"url"`
	// AppendTimeout bounds one append.
	AppendTimeout Duration `toml:"append_timeout"`
	// ReadTimeout bounds one read beyond its long poll.
	ReadTimeout Duration `toml:"read_timeout"`
	// Retention is how long the platform keeps a record; 0 is unknown. A snapshot
	// is appended at least every quarter of it.
	Retention Duration `toml:"retention"`
}

// Peers holds the nodes to contact first.
type Peers struct {
	// Seeds are RPC addresses of other nodes.
	Seeds []Address `toml:"seeds"`
}

// Limits bounds what a node takes on.
type Limits struct {
	// QueueWait is how long a request may wait for a slot of the target.
	QueueWait Duration `toml:"queue_wait"`
	// MaxConnections bounds the connections of callers.
	MaxConnections int `toml:"connections"`
	// UploadSize is the body size from which a request counts as an upload.
	UploadSize ByteSize `toml:"upload_size"`
}

// Keys holds the times of idempotency keys. All nodes must use the same values.
type Keys struct {
	Lease Duration `toml:"lease"`
	// LeaseMargin is how long a claimant waits beyond the lease.
	LeaseMargin Duration `toml:"margin"`
	// RetryHorizon is how long a caller may repeat a key.
	RetryHorizon Duration `toml:"horizon"`
}

// Drain bounds the graceful stop.
type Drain struct {
	Limit Duration `toml:"limit"`
}

// Log holds the settings of the process's own log lines.
type Log struct {
	Level slog.Level `toml:"level"`
	// MaxEvents is how many timeline events are kept.
	MaxEvents int `toml:"events"`
}

// DefaultNode returns the defaults. Identity, listen addresses and the
// platform's URL have none. Protocol times and retry limits are no settings: all
// nodes must agree on them, and their bounds are proved for these values.
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
