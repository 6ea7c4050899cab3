// Package adopt takes over the jobs of unavailable entries by recording claims in the ledger.
package adopt
