// Package quota enforces the usage caps of organisations on the sum over all nodes, without a
// store and without agreement.
//
// Each node has an equal share of each cap. An allocator, one for each slot of organisations,
// leases the shares of the nodes that it reaches and grants tokens of the caps to the nodes that
// have requests. A share is used either by its node or by one allocator, never by both, so that
// the sum over all nodes keeps the cap under any partition.
//
// The package does no I/O, reads no clock and starts no goroutine: time is a parameter, and
// messages are values.
package quota
