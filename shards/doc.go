// Package shards processes the shards of batch jobs at one entry: it follows their streams, claims the shards that the
// entry should own, runs their items and hands the shards over to other entries.
package shards
