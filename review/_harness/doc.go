// Command harness runs the scripted cases of the review: it starts the project's own entries as separate processes on loopback
// addresses, with stand-ins of the platform's store, backend servers and clients, and checks one rule from what these see.
package main
