// Package speed estimates how fast each backend server produces events, from the responses of this
// entry and the reports of others. It uses neither the network nor a clock of its own.
package speed
