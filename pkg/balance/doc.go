// Package balance chooses the target of a request by the answer time that is
// expected there: work in front, pace seen, failures seen, and the distance.
//
// The package does no I/O, reads no clock and draws no random numbers: each call
// carries them.
package balance
