// Package gossip tells the other entries, by small datagrams, what this one
// runs on each backend server, and hears the same from them. Nothing depends
// on a datagram's arrival: the next one holds all of it again.
package gossip
