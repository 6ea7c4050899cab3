// Package gossip exchanges the state of entries in small datagrams, such as the
// requests that each runs on each backend server. Lost datagrams aren't sent again: each
// message carries the sender's whole state.
package gossip
