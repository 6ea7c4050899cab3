// Package sardinerock holds the interfaces and plain data that the packages
// below it share; it imports none of them.
package sardinerock
