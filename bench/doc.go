// Package bench measures the system: the replay of recorded traces with its report.
package bench
