// Package watch follows topics of the platform's store: it applies each change in order, and after
// a gap the newest record of each key. The views of the configuration, of the backend servers and of
// the members are built on it.
package watch
