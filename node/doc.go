// Package node assembles an entry on the users' platform and runs it from start
// to shutdown. All durable state is in the platform's store: a process starts
// with nothing but its settings.
package node
