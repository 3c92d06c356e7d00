// Package explain reconstructs what happened to one request from the logs of
// several processes.
package explain
