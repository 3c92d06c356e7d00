// Package canary decides how a service's traffic moves to a new version by a deadline:
// a small share first and all traffic shortly before the deadline, or back to the old
// version as soon as the new one shows a fault.
//
// Every node reaches the same decision from the same evidence. A phase takes effect for
// all nodes through a conditional write, so no leader is needed. The package does no
// I/O and reads no clock.
package canary
