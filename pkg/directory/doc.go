// Package directory tracks the nodes of a mesh and the targets beside them. Each
// node is the only source of the state of its own target; other nodes hold copies,
// which newer announcements replace and which expire.
//
// The package does no I/O and reads no clock: callers pass the time.
package directory
