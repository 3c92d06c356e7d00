// Package bench measures what the product costs: added time per call, control
// bytes, convergence time, memory and CPU as the mesh grows, recovery from
// faults, rollouts and the merging of changes. Some parts run the binaries as
// processes on loopback addresses, others run node reducers in one process with
// a virtual clock; each figure says which.
package bench
