// Package directory keeps what is known of the nodes of a mesh and the targets
// beside them. Each node is the only source for its own target; the others hold
// copies that are replaced by newer announcements and age out.
//
// The package does no I/O and reads no clock: each call carries the time.
package directory
