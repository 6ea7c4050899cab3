// Package owner assigns jobs, partitions and clean-up tasks to live entries by rendezvous
// hashing, and decides when an entry takes over the jobs of another one that is unavailable.
// Entries with the same list of live entries agree on the assignment without exchanging messages.
package owner
