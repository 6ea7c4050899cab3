// Package trace holds the form of recorded traces, their generator and the
// bundles under which they are played.
package trace
