// Package link implements the connection between an entry and a side. One long
// drpc call per pair carries requests, tokens, heartbeats and configuration.
// Connections on which heartbeats are not answered are replaced.
package link
