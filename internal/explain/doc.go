// Package explain tells the story of one request from the log lines of many
// processes.
package explain
