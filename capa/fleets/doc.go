// Package fleets measures fleets: how fast a configuration spreads, and what idle
// nodes cost, in one process and as separate ones.
package fleets
