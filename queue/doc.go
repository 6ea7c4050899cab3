// Package queue decides which batch job's item starts next, and what happens to
// an item that was refused.
package queue
