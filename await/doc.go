// Package await provides the adaptive timeout of calls to the store, and waits that end with
// a context.
package await
