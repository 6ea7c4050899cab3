// Package sched implements hierarchical weighted fair queueing: it decides which
// waiting request takes the next free slot, by estimated tokens among teams,
// then among a team's callers, then among a caller's keys.
//
// The order by served tokens over weight at three levels, and the rule that idle
// teams, callers and keys collect no credit, follow the page "Fairshare engine"
// (v2.4.0). docs/design/ONLINE.md compares the order with FIFO and round robin
// and lists what of that page is not implemented.
package sched
