// Package bundle validates, splits, compares and signs configuration bundles, and
// holds a side's copy of the configuration in force.
package bundle
