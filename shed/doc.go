// Package shed closes new connections of callers unread while this process can't keep up with those that it has read.
// The callers connect to another entry at once. The decision is in Limiter, which uses no network.
package shed
