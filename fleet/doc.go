// Package fleet runs a whole fleet in one process on loopback: entries, sides,
// and fakes of the backend servers and the platform's services. The demo, the
// replay and tests use it.
package fleet
