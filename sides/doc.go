// Package sides holds an entry's view of the sides. It keeps the links to them,
// stores their reports, chooses a backend server for each attempt and tracks
// requests that are suspected of crashing backend servers.
package sides
