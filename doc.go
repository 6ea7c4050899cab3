// Package sardinerock defines the interfaces and data types that the packages
// of the module share. It imports none of them.
package sardinerock
