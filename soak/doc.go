// Package soak holds a randomized test of the real program: entries as separate
// processes on loopback, faults brought to them from outside by proxies and
// signals, and callers that check what was promised. Each run follows from its seed.
package soak
