// Package sidecar implements a node that reads complete published configurations from a
// store. It forwards the requests of the callers on its machine, is the only access to the
// target on its machine, and exchanges state with the other nodes.
// The header names of a deployment are passed in as Headers and its store as Store, so
// that the package uses only its own types.
package sidecar
