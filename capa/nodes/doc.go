// Package nodes measures what one link, ping, change, listed instance, decision or
// caller costs a node.
package nodes
