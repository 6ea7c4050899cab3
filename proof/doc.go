// Package proof holds tests of the whole system as separate processes under
// failure; docs/PROOFS.md tells which promise each of them is for.
package proof
