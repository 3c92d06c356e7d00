// Package rollout shifts the traffic of a service from an old version to a new one in
// steps that end by a deadline. It compares the error rates and latencies of both
// versions and rolls a bad version back.
//
// Controller runs on every node and acts on the node that holds the rollout's claim.
// Breaker runs on every node and acts as a circuit breaker: from the calls that the node
// itself observed, and without the platform, it sets the weight of a version to 0 on this
// node (a cut). Both are deterministic and do no I/O: the caller passes in events that
// carry the time, and carries out the effects that Step returns.
package rollout
