// Package claim decides when an entry claims a shard and when it hands one over. Only the log's order determines the
// owner; this package determines which entries append claims.
package claim
