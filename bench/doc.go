// Package bench shows and measures the system: the demo, the replay of recorded
// traces with its report, and the seeded generator of the traces in traces/.
package bench
