// Package leave follows the requests of an entry while it shuts down, and decides which of them can still end in time. It
// uses no network.
package leave
