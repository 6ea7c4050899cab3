// Package claim decides when an entry claims a shard, and when it hands one
// over. The log's order decides who owns; this decides only who tries.
package claim
