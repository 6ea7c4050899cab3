// Package idle closes callers' connections that have been idle for too long.
package idle
