// Package bundle checks, cuts into sections, compares and signs configuration
// bundles, and keeps a side's part of the one in force.
package bundle
