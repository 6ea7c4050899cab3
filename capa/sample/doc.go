// Package sample holds the bundles, instances, connections and the log that the
// measurements share.
package sample
