// Package control implements the state machine of a node that reads complete
// configurations from a store. One function takes each event with its time, updates
// the state and returns the effects to carry out as data. It does no I/O.
package control
