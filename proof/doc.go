// Package proof holds end-to-end tests: they run the system as separate processes
// and inject faults. docs/PROOFS.md lists which guarantee each of them tests.
package proof
