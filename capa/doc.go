// Command capa measures the slopes that docs/CAPACITY.md works with: what one
// more link, backend server, caller, item or change costs, each over at least
// three sizes.
package main
