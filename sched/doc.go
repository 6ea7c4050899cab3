// Package sched decides whose waiting request takes the next free slot:
// weighted fair order by estimated tokens among teams, then among a team's
// callers, then among a caller's keys.
//
// The order by served tokens over weight at three levels, and the rule that
// nobody saves up credit while idle, follow the page "Fairshare engine"
// (v2.4.0); docs/design/ONLINE.md has the figures against FIFO and round robin
// for which the idea was taken, and what of that page was left out.
package sched
