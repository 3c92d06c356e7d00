// Package admission implements the admission control of a target: each request is run,
// queued or refused. The queue is kept by the node beside the target. All requests to the
// target pass through this node, so that decisions use the actual load of the target and
// not estimates by many senders.
//
// The package does no I/O and reads no clock: the caller passes the time.
package admission
