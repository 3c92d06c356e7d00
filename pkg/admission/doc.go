// Package admission decides at the door of a target who runs, who waits and who
// is refused. One queue stands in front of each target, at the node beside it,
// which is the only way to the target: so the decision goes by what the target
// will really run, not by an estimate of many senders.
//
// The package does no I/O and reads no clock: each call carries the time.
package admission
