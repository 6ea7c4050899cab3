// Package pool decides which backend server a request goes to. It keeps one
// view of the backend servers: what this entry runs on each, what the other
// entries said they run, and which of them failed lately. It has no network;
// time is passed in.
package pool
