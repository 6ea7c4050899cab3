// Package retain plans the retention work of a shard's owner: checkpoints, copies of records that the log will drop soon,
// and the expiry of results and jobs.
package retain
