package callpath

import (
	"net"
	"time"
)

// Settings are the limits of the call path.
type Settings struct {
	// QueueTimeout is how long a request waits for a slot of the target.
	QueueTimeout time.Duration
	// UploadBytes is the body size in bytes over which a request is an upload;
	// a body of unknown length is one too.
	UploadBytes int64
	// TargetSilence is how long an exchange with the target may make no progress.
	TargetSilence time.Duration
	// TargetIdle is how long an unused connection to the target is kept.
	TargetIdle time.Duration
	// DialTimeout bounds the setup of a connection.
	DialTimeout time.Duration
	// PingAfter is the silence on a connection between nodes before a ping.
	PingAfter time.Duration
	// PingTimeout is how long the answer to a ping may take.
	PingTimeout time.Duration
	// MaxHeaderBytes bounds the header of a call. It must leave room for the
	// headers that nodes add under the limit of their servers.
	MaxHeaderBytes int
	// LocalAddr is the source address of connections to other nodes; nil leaves
	// it to the system.
	LocalAddr net.Addr
	// DetachedLimit is how long a keyed request may go on after its caller left.
	DetachedLimit time.Duration
}

// DefaultSettings returns the limits of the design.
func DefaultSettings() Settings {
	return Settings{
		QueueTimeout:   50 * time.Millisecond,
		UploadBytes:    64 << 10,
		TargetSilence:  30 * time.Second,
		TargetIdle:     5 * time.Second,
		DialTimeout:    time.Second,
		PingAfter:      time.Second,
		PingTimeout:    time.Second,
		MaxHeaderBytes: 30 << 10,
		DetachedLimit:  30 * time.Second,
	}
}
