// Package idle closes callers' connections that nothing has come on for too long.
package idle
