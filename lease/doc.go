// Package lease keeps track of how long ago the configuration in force was proven to be
// the newest: by this entry's own reads of the store or, while the store is unreachable
// from this entry, by those of a peer.
package lease
