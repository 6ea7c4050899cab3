// Package prefix keeps which backend servers are believed to have which prefixes
// of prompts cached. It has no network, clock or goroutine, and the caller holds
// the lock.
package prefix
