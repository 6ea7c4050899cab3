// Package follow keeps the state of one shard current with its stream: it loads the newest checkpoint, reads the records
// after it, and notifies waiters when the end of the stream is reached.
package follow
