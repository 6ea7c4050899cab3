// Package sides is an entry's view of the sides: the links to them, what they
// report, which of them a request goes to, and which requests are suspected of
// crashing backend servers.
package sides
