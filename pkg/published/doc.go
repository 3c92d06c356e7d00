// Package published holds a configuration that an operator publishes as a whole:
// versioned, validated before it is used, and only ever replaced by a newer one.
package published
