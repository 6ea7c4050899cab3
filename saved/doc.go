// Package saved keeps verdicts on what ends backend servers in a compacted topic of the platform's store, so that they outlive the
// entries.
package saved
