// Package crowd tests an entry against crowds of clients that exceed limits or don't finish what they send. Its tests
// start real processes on loopback addresses.
package crowd
