// Package usage measures how much slot time each team has used in the last seconds. It does
// no network I/O, and callers pass the current time.
package usage
