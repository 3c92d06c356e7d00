// Package rollout moves the traffic of a service from an old version to a new
// one: it plans the steps back from the deadline, compares the two versions, and
// takes a bad version back.
//
// Controller runs on every node and acts on the one that holds the rollout's claim.
// Breaker runs on every node and cuts the node's own share of a version on the
// node's own evidence, without the platform. Both are pure: the caller passes
// events that carry the time, and carries out the effects that Step returns.
package rollout
