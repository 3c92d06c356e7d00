// Package sidecar runs a node that takes whole published configurations from a
// store: it carries the requests of the callers beside it, is the only way to
// the target beside it, and exchanges state with the other nodes.
//
// The names that a deployment uses on the wire come in through Headers, and its
// store through Store, so that the package speaks only its own types.
package sidecar
