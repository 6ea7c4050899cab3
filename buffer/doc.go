// Package buffer holds what came of a shard's items until the log has it.
package buffer
