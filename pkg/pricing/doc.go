// Package pricing decides when the configuration changes that wait at a node are
// appended to the log, and what a change costs.
//
// A change states how long it may wait. An urgent one (0 s) is appended at once.
// The others are merged with it, or with each other at the end of the shortest
// wait, into one batch record. The package is pure: Queue.Step takes events that
// carry the time and returns effects that an adapter carries out.
package pricing
