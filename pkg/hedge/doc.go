// Package hedge decides when a second copy of a request is sent to another target, because the
// first one takes longer than usual for its route.
//
// The package does no I/O and reads no clock: the caller passes the time.
package hedge
