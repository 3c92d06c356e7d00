// Package published implements the configuration that an operator publishes. Each
// version is complete, is validated before it is used, and is replaced only by a
// newer one.
package published
