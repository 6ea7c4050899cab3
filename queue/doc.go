// Package queue decides which batch job's item starts next, and whether an item
// is retried after a refusal.
package queue
