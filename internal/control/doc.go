// Package control is the reducer of a node that takes whole configurations from
// a store: one function takes each event with its time, changes the state and
// returns what is to be done as data. It does no I/O.
package control
