// Package rights decides which slots an entry may ask for while the slots of a service are scarce. It
// uses neither the network nor a clock or random source of its own.
package rights
