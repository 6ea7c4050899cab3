// Package intake reads from clients within the limits of the configuration and a budget: it accepts connections, bounds the
// heads and bodies of requests in bytes and in time, and closes the connections of clients that have to yield.
package intake
