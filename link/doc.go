// Package link carries all that an entry and a side say to each other over one
// long drpc call per pair: requests, tokens, heartbeats and configuration. It
// finds connections that have gone silent and replaces them.
package link
