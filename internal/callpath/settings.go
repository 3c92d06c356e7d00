package callpath

import (
	"net"
	"time"
)

// Settings are the limits of the call path.
type Settings struct {
	// QueueTimeout is how long a request waits for a slot of the target.
	QueueTimeout time.Duration
	// UploadThresholdBytes is the body size in bytes above which a request is an
	// upload. A request with a body of unknown length is one too.
	UploadThresholdBytes int64
	// TargetStallTimeout is how long an exchange with the target may make no
	// progress.
	TargetStallTimeout time.Duration
	// TargetIdleTimeout is how long an unused connection to the target is kept.
	TargetIdleTimeout time.Duration
	// DialTimeout limits the setup time of a connection.
	DialTimeout time.Duration
	// PingIdleTime is how long a connection between nodes must receive nothing
	// before a ping is sent.
	PingIdleTime time.Duration
	// PingTimeout is how long the response to a ping may take.
	PingTimeout time.Duration
	// MaxHeaderBytes limits the header size of a call. It must leave room for the
	// headers that nodes add, below the limit of their servers.
	MaxHeaderBytes int
	// LocalAddr is the source address of connections to other nodes; if nil, the
	// system selects it.
	LocalAddr net.Addr
	// DetachedTimeout is how long a keyed request may continue after its caller
	// disconnected.
	DetachedTimeout time.Duration
}

// DefaultSettings returns the default limits.
func DefaultSettings() Settings {
	return Settings{
		QueueTimeout:         50 * time.Millisecond,
		UploadThresholdBytes: 64 << 10,
		TargetStallTimeout:   30 * time.Second,
		TargetIdleTimeout:    5 * time.Second,
		DialTimeout:          time.Second,
		PingIdleTime:         time.Second,
		PingTimeout:          time.Second,
		MaxHeaderBytes:       30 << 10,
		DetachedTimeout:      30 * time.Second,
	}
}
