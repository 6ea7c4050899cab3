// Package fleet embeds a whole fleet in one process on loopback: entries,
// sides, and stand-ins for all that the platform gives. The demo, the replay
// and tests run on it.
package fleet
