// Package queue decides which batch job's item starts next.
package queue
