// Package budget divides the memory and the descriptors of a process among its clients, and decides which of them yields
// when there is too little. It uses no network and no clock.
package budget
