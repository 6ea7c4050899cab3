// Package chunk splits a large value into several records of the store and
// reassembles it.
package chunk
