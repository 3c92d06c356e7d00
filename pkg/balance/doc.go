// Package balance chooses the target of a request by expected cost, which depends on the
// response time (queue length, slowdown and link utilization of the target), its failure
// rate and its zone.
//
// The package does no I/O, reads no clock and generates no random numbers: time and
// randomness are passed in by the caller.
package balance
