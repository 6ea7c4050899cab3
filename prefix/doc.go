// Package prefix tracks which backend servers probably have which prompt prefixes
// in their caches. It uses no network, clock or goroutine and is not safe for
// concurrent use: the caller must hold a lock.
package prefix
