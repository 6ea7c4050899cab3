// Package buffer holds the outcomes of a shard's items until they are in the log.
package buffer
