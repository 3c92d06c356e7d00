// Package canary decides about a move of a service's traffic to a new version
// that must end by a deadline: a small share first, all traffic shortly before
// the deadline, or back at once when the new version shows a fault.
//
// Every node draws the same conclusion from the same evidence. A phase becomes
// valid for all by a conditional write, so that no node has to lead.
// The package does no I/O and reads no clock.
package canary
