// Package routequery is the question where a node would send a request, with its answer: the messages
// between the operators' program and the node, and the command that asks.
package routequery
