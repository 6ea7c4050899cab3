// Package follow keeps one shard's state up with its stream: it starts from the
// newest checkpoint, reads on, and tells when the end is reached.
package follow
