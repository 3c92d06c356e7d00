// Package pricing decides when the configuration changes that wait at a node are
// appended to the log, and estimates what a change costs.
//
// A change states how long it may wait. An urgent change (0 s) is appended immediately.
// The others are merged with it, or with each other at the end of the shortest wait,
// into one batch record. The package is deterministic and does no I/O: Queue.Step takes
// events that carry the time and returns effects that an adapter carries out.
package pricing
