package settings

import (
	"log/slog"
	"slices"
	"time"
)

// Node holds the settings of heathercroft-node.
type Node struct {
	Node         NodeIdentity `toml:"node"`
	Listen       NodeListen   `toml:"listen"`
	Advertise    Advertise    `toml:"advertise"`
	Platform     Platform     `toml:"platform"`
	Peers        Peers        `toml:"peers"`
	Limits       Limits       `toml:"limits"`
	Retry        Retry        `toml:"retry"`
	Keys         Keys         `toml:"keys"`
	Drain        Drain        `toml:"drain"`
	Distribution Distribution `toml:"distribution"`
	Membership   Membership   `toml:"membership"`
	Log          Log          `toml:"log"`
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
	// ReadWait is the long poll of a reader.
	ReadWait Duration `toml:"read_wait"`
	// ReadTimeout bounds one read beyond its long poll.
	ReadTimeout Duration `toml:"read_timeout"`
	// RetryMin and RetryMax bound the delay between attempts.
	RetryMin Duration `toml:"retry_min"`
	RetryMax Duration `toml:"retry_max"`
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
	// Connections bounds the connections of callers.
	Connections int `toml:"connections"`
	// HeaderSize bounds the header of a request.
	HeaderSize ByteSize `toml:"header_size"`
	// BodySize bounds the body of a request; 0 is no limit.
	BodySize ByteSize `toml:"body_size"`
	// UploadSize is the body size from which a request counts as an upload.
	UploadSize ByteSize `toml:"upload_size"`
	// UploadShare is the largest share of slots that uploads may take.
	UploadShare float64 `toml:"upload_share"`
	// SnapshotTransfers is how many snapshots the node sends at once.
	SnapshotTransfers int `toml:"snapshot_transfers"`
}

// Retry holds the retry budget.
type Retry struct {
	// Share is the largest share of calls that may be retries.
	Share float64 `toml:"share"`
	// Window is the time over which the share is taken.
	Window Duration `toml:"window"`
	// MinPerSecond is the number of retries that is always allowed.
	MinPerSecond float64 `toml:"min_per_second"`
	// MaxPerCall is the largest number of retries of one call.
	MaxPerCall int `toml:"max_per_call"`
	// MinDeadlineLeft is the time a call must have left to be retried.
	MinDeadlineLeft Duration `toml:"min_deadline_left"`
}

// Keys holds the times of idempotency keys. All nodes must use the same values.
type Keys struct {
	Lease Duration `toml:"lease"`
	// Margin is how long a claimant waits beyond the lease.
	Margin Duration `toml:"margin"`
	// Horizon is how long a caller may repeat a key.
	Horizon Duration `toml:"horizon"`
	// BodySize is the largest stored response body.
	BodySize ByteSize `toml:"body_size"`
}

// Drain bounds the graceful stop.
type Drain struct {
	Limit Duration `toml:"limit"`
}

// Distribution holds the spreading of records in a zone.
type Distribution struct {
	FanOut       int      `toml:"fan_out"`
	PullInterval Duration `toml:"pull_interval"`
	// ReconnectMin and ReconnectMax bound the delay between attempts to connect.
	ReconnectMin Duration `toml:"reconnect_min"`
	ReconnectMax Duration `toml:"reconnect_max"`
}

// Membership holds the times of failure detection.
type Membership struct {
	ProbeInterval    Duration `toml:"probe_interval"`
	ProbeTimeout     Duration `toml:"probe_timeout"`
	Suspicion        Duration `toml:"suspicion"`
	IndirectProbes   int      `toml:"indirect_probes"`
	FullExchange     Duration `toml:"full_exchange"`
	ZoneExchange     Duration `toml:"zone_exchange"`
	TargetSilence    Duration `toml:"target_silence"`
	DampingChanges   int      `toml:"damping_changes"`
	DampingWindow    Duration `toml:"damping_window"`
	DampingDuration  Duration `toml:"damping_duration"`
	AnnouncementKept Duration `toml:"announcement_kept"`
}

// Log holds the settings of the process's own log lines.
type Log struct {
	Level slog.Level `toml:"level"`
	// Events is how many timeline events are kept.
	Events int `toml:"events"`
}

// DefaultNode returns the defaults. Identity, listen addresses and the
// platform's URL have none.
func DefaultNode() Node {
	return Node{
		Platform: Platform{
			AppendTimeout: Duration(2 * time.Second), ReadWait: Duration(10 * time.Second),
			ReadTimeout: Duration(3 * time.Second),
			RetryMin:    Duration(100 * time.Millisecond), RetryMax: Duration(10 * time.Second),
			Retention: Duration(24 * time.Hour),
		},
		Limits: Limits{
			QueueWait: Duration(50 * time.Millisecond), Connections: 4096,
			HeaderSize: 32 * KiB, UploadSize: 64 * KiB, UploadShare: 0.5, SnapshotTransfers: 8,
		},
		Retry: Retry{
			Share: 0.2, Window: Duration(10 * time.Second), MinPerSecond: 3,
			MaxPerCall: 2, MinDeadlineLeft: Duration(5 * time.Millisecond),
		},
		Keys: Keys{
			Lease: Duration(60 * time.Second), Margin: Duration(10 * time.Second),
			Horizon: Duration(5 * time.Minute), BodySize: 64 * KiB,
		},
		Drain: Drain{Limit: Duration(5 * time.Minute)},
		Distribution: Distribution{
			FanOut: 4, PullInterval: Duration(2 * time.Second),
			ReconnectMin: Duration(100 * time.Millisecond), ReconnectMax: Duration(10 * time.Second),
		},
		Membership: Membership{
			ProbeInterval: Duration(time.Second), ProbeTimeout: Duration(500 * time.Millisecond),
			Suspicion: Duration(3 * time.Second), IndirectProbes: 2,
			FullExchange: Duration(30 * time.Second), ZoneExchange: Duration(2 * time.Second),
			TargetSilence: Duration(3 * time.Second), DampingChanges: 3,
			DampingWindow: Duration(60 * time.Second), DampingDuration: Duration(30 * time.Second),
			AnnouncementKept: Duration(time.Hour),
		},
		Log: Log{Level: slog.LevelInfo, Events: 4096},
	}
}

// Validate implements Validator.
func (n *Node) Validate() error {
	return firstProblem(slices.Concat(
		n.Node.problems(), n.Listen.problems(), n.Platform.problems(), n.Peers.problems(n.Listen.RPC),
		n.Limits.problems(), n.Retry.problems(), n.Keys.problems(),
		[]*Problem{between("drain.limit", n.Drain.Limit, 0, Duration(time.Hour))},
		n.Distribution.problems(), n.Membership.problems(),
		[]*Problem{between("log.events", n.Log.Events, 1, 1_000_000)},
	)...)
}
